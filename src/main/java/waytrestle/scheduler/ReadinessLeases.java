package waytrestle.scheduler;

import waytrestle.scheduler.SchedulerCommand.CheckHealth;
import waytrestle.scheduler.SchedulerEvent.HealthCheckCompleted;

/**
 * Decides whether new work may begin at an invoker while service discovery is unreachable, so that
 * an invoker whose draining was not announced gets none. The endpoint list is valid for one lease,
 * which is somewhat shorter than the drain grace, after it was last received. After that, an
 * invoker gets new work only within one lease of sending a health check that it passed.
 *
 * <p>Only a health check renews a lease. A draining invoker fails health checks from the start, but
 * still accepts requests and preloads for a while, so a response to one of these does not prove
 * readiness. Checks are sent to invokers that a request or preload would go to, and to invokers in
 * use before their lease expires, so the number of requests limits the number of checks. If the
 * settings allow no health checks, new work waits for service discovery.
 *
 * <p>Not thread-safe: called from the controller's event loop.
 */
final class ReadinessLeases {
    /** Lease as a share of the drain grace; the rest is left for messages under way. */
    private static final double LEASE_SHARE = 0.8;

    /** Share of a lease that remains when it is first renewed ahead. */
    private static final double RENEWAL_SHARE = 0.5;

    /** Time after which a health check counts as slow; far above a usual round trip. */
    private static final long SLOW_CHECK_MICROS = 40_000;

    /** Pause after a failed health check; doubles with each further failure in a row. */
    private static final long RETRY_MICROS = 200_000;

    /** Longest pause after failed health checks; lets a few checks fall into a usual drain. */
    private static final long MAX_RETRY_MICROS = 1_600_000;

    /** Doublings after which the pause has reached its longest. */
    private static final int MAX_DOUBLINGS = 3;

    /** Deferred preloads of one invoker; as many may be in flight. */
    private static final int MAX_DEFERRED_PRELOADS = 2;

    /** Shortest time in which an invoker drains, ends and starts again. */
    private static final long SHORTEST_RESTART_MICROS = 3_000_000;

    private final SchedulerState state;

    /**
     * When the endpoint list counts as last received, in microseconds; may lie ahead. {@link
     * SchedulerEvent.ListFreshnessChanged#CURRENT} if the list does not become outdated.
     */
    private long listReceivedAt = SchedulerEvent.ListFreshnessChanged.CURRENT;

    /** Whether service discovery is delivering the missed changes of the endpoint list. */
    private boolean listCatchingUp;

    ReadinessLeases(SchedulerState state) {
        this.state = state;
    }

    /** Records how fresh the endpoint list is. */
    void freshnessChanged(SchedulerEvent.ListFreshnessChanged event) {
        listReceivedAt = event.receivedAtMicros();
        listCatchingUp = event.catchingUp();
    }

    /** Returns whether the endpoint list is recent enough to send work without a lease. */
    boolean isListValid() {
        return isListValid(state.now);
    }

    private boolean isListValid(long nowMicros) {
        return nowMicros - leaseMicros() <= listReceivedAt;
    }

    private long leaseMicros() {
        return (long) (LEASE_SHARE * state.settings.rules().drainGraceMicros());
    }

    /**
     * Returns whether the endpoint list or the invoker's lease allows new work at the given time.
     */
    boolean mayStartWork(InvokerState invoker, long nowMicros) {
        return isListValid(nowMicros) || nowMicros <= invoker.readinessLease.expiresAt;
    }

    /** Returns whether the endpoint list or the invoker's lease allows new work now. */
    boolean mayStartWork(InvokerState invoker) {
        return mayStartWork(invoker, state.now);
    }

    /**
     * Returns whether a request may choose the invoker: it may get new work now, or a health check
     * may be sent now or is in flight and not yet slow.
     */
    boolean isCandidate(InvokerState invoker) {
        if (mayStartWork(invoker)) {
            return true;
        }
        ReadinessLease lease = invoker.readinessLease;
        boolean checkIsSlow =
                lease.isCheckInFlight() && state.now - lease.checkSentAt > SLOW_CHECK_MICROS;
        return mayCheck() && state.now >= lease.nextCheckAt && !checkIsSlow;
    }

    /**
     * Returns whether no invoker can be found ready until service discovery is back, and its missed
     * changes are not being delivered yet.
     */
    boolean isBlocked() {
        return !mayCheck() && !listCatchingUp && !isListValid();
    }

    private boolean mayCheck() {
        return state.settings.limits().mayCheckHealth();
    }

    /** Checks the invoker's health; the request is routed again when the check ends. */
    void routeAfterCheck(InvokerState invoker, RequestState request) {
        invoker.readinessLease.addWaitingRequest(request);
        check(invoker);
    }

    /**
     * Checks the invoker's health and defers a preload of the function until a check passes. Does
     * nothing if the invoker is no candidate now.
     */
    void deferPreload(InvokerState invoker, FunctionState function, int instances) {
        if (isCandidate(invoker)) {
            invoker.readinessLease.deferPreload(function, instances, MAX_DEFERRED_PRELOADS);
            check(invoker);
        }
    }

    /**
     * Checks the health of an invoker in use when less than the renewal share of its lease is left.
     */
    void renewAhead(InvokerState invoker) {
        long renewalDueAt =
                invoker.readinessLease.expiresAt - (long) (RENEWAL_SHARE * leaseMicros());
        if (!isListValid() && state.now > renewalDueAt && mayCheck()) {
            check(invoker);
        }
    }

    private void check(InvokerState invoker) {
        ReadinessLease lease = invoker.readinessLease;
        if (!lease.isCheckInFlight() && state.now >= lease.nextCheckAt) {
            lease.checkSentAt = state.now;
            state.commands.add(new CheckHealth(invoker.id));
        }
    }

    /** Records the end of a health check. A passed one gives a lease from when it was sent. */
    void checkCompleted(InvokerState invoker, HealthCheckCompleted event) {
        ReadinessLease lease = invoker.readinessLease;
        if (!lease.isCheckInFlight()) {
            return; // sent to an earlier process under the invoker's id
        }
        long sentAt = lease.checkSentAt;
        lease.checkSentAt = 0;
        if (event.code() == ResponseCode.OK) {
            detectRestart(invoker, event.connectedSinceMicros());
            lease.consecutiveFailures = 0;
            lease.mayHaveEnded = false;
            lease.expiresAt = sentAt + leaseMicros();
        } else {
            lease.expiresAt = 0;
            lease.mayHaveEnded |= event.code() != ResponseCode.TIMEOUT;
            int doublings = Math.min(MAX_DOUBLINGS, lease.consecutiveFailures++);
            long pause = Math.min(MAX_RETRY_MICROS, RETRY_MICROS << doublings);
            lease.nextCheckAt = state.now + pause;
        }
    }

    /** Records that the endpoint list has just named the process that the invoker runs in. */
    void recordListed(InvokerState invoker) {
        invoker.readinessLease.processConfirmedAt = state.now;
    }

    /**
     * Treats the invoker as just started if it may have restarted unannounced, so that it is not
     * sent the load of a warmed-up one. A restart is possible if no connection has lasted since the
     * process was last confirmed, and either a health check was refused since or there was enough
     * time for a restart.
     */
    private void detectRestart(InvokerState invoker, long connectedSinceMicros) {
        ReadinessLease lease = invoker.readinessLease;
        long listedAt = Math.min(listReceivedAt, state.now);
        long confirmedAt = Math.max(lease.processConfirmedAt, listedAt);
        boolean enoughTimeToRestart = state.now - confirmedAt > SHORTEST_RESTART_MICROS;
        if ((enoughTimeToRestart || lease.mayHaveEnded) && connectedSinceMicros > confirmedAt) {
            invoker.clearInstances();
            invoker.clearHealth();
            invoker.slowStartSince = state.now;
        }
        lease.processConfirmedAt = state.now;
    }
}
