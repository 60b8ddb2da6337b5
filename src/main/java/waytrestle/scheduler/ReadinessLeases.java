package waytrestle.scheduler;

import waytrestle.scheduler.SchedulerCommand.CheckHealth;
import waytrestle.scheduler.SchedulerEvent.HealthCheckCompleted;

/**
 * Whether new work may begin at an invoker while service discovery is out of reach. Guards against
 * work for invokers that drain unheard: past the drain grace a list that was not renewed counts for
 * nothing, and an invoker gets new work for a lease after a health check that passed.
 *
 * <p>Only a health check renews a lease. A draining invoker fails it from the first moment, while
 * it still accepts requests and preloads for a time, so that these prove nothing. Checks are sent
 * where a request or a preload would go, and ahead for invokers in use, so that the requests bound
 * their number. Where settings allow no health checks, new work waits for discovery.
 */
final class ReadinessLeases {
    private static final double LEASE_SHARE = 0.8; // of the drain grace: the rest is for the way
    private static final double RENEWAL_SHARE = 0.5; // of a lease: then it is renewed ahead
    private static final long SLOW_CHECK_MICROS = 40_000; // far above a usual round trip
    private static final long RETRY_MICROS = 200_000; // after a check that failed; doubles in a row
    private static final long MAX_RETRY_MICROS = 1_600_000; // a few checks of a usual drain
    private static final int MAX_DOUBLINGS = 3; // by then the pause is at its longest
    private static final int MAX_DEFERRED_PRELOADS = 2; // for each invoker, as may be in flight
    private static final long SHORTEST_RESTART_MICROS = 3_000_000; // of a drain, an end and a start

    private final SchedulerState state;
    private long listReceivedAt = SchedulerEvent.ListFreshnessChanged.CURRENT;
    private boolean listCatchingUp;

    ReadinessLeases(SchedulerState state) {
        this.state = state;
    }

    /** Discovery went out of reach or came back. */
    void freshnessChanged(SchedulerEvent.ListFreshnessChanged event) {
        listReceivedAt = event.receivedAtMicros();
        listCatchingUp = event.catchingUp();
    }

    /** Whether the endpoint list may be acted on by itself. */
    boolean isListValid() {
        return isListValid(state.now);
    }

    private boolean isListValid(long nowMicros) {
        return nowMicros - leaseMicros() <= listReceivedAt;
    }

    private long leaseMicros() {
        return (long) (LEASE_SHARE * state.settings.rules().drainGraceMicros());
    }

    /** Whether new work may begin at the invoker at that time, by the list or by its lease. */
    boolean mayStartWork(InvokerState invoker, long nowMicros) {
        return isListValid(nowMicros) || nowMicros <= invoker.readinessLease.expiresAt;
    }

    /** The same at the time of the event at hand. */
    boolean mayStartWork(InvokerState invoker) {
        return mayStartWork(invoker, state.now);
    }

    /** Whether the invoker is worth choosing: it may get new work, or may be asked soon. */
    boolean isCandidate(InvokerState invoker) {
        if (mayStartWork(invoker)) {
            return true;
        }
        ReadinessLease lease = invoker.readinessLease;
        boolean slow = lease.isCheckInFlight() && state.now - lease.checkSentAt > SLOW_CHECK_MICROS;
        return mayCheck() && state.now >= lease.nextCheckAt && !slow;
    }

    /**
     * Whether no invoker can be found ready before discovery is back, and that is not about to be.
     */
    boolean isBlocked() {
        return !mayCheck() && !listCatchingUp && !isListValid();
    }

    private boolean mayCheck() {
        return state.settings.limits().mayCheckHealth();
    }

    /** Routes the request anew once the invoker's health has been checked. */
    void routeAfterCheck(InvokerState invoker, RequestState request) {
        invoker.readinessLease.addWaitingRequest(request);
        check(invoker);
    }

    /** Preloads the function once the invoker has passed a health check. */
    void deferPreload(InvokerState invoker, FunctionState function, int instances) {
        if (isCandidate(invoker)) {
            invoker.readinessLease.deferPreload(function, instances, MAX_DEFERRED_PRELOADS);
            check(invoker);
        }
    }

    /** Renews the lease of an invoker in use before it expires. */
    void renewAhead(InvokerState invoker) {
        long renewedAt = invoker.readinessLease.expiresAt - (long) (RENEWAL_SHARE * leaseMicros());
        if (!isListValid() && state.now > renewedAt && mayCheck()) {
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

    /** A health check has ended: a lease counts from when the check was sent. */
    void checkCompleted(InvokerState invoker, HealthCheckCompleted event) {
        ReadinessLease lease = invoker.readinessLease;
        if (!lease.isCheckInFlight()) {
            return; // of an earlier process under the same id
        }
        long sentAt = lease.checkSentAt;
        lease.checkSentAt = 0;
        if (event.code() == ResponseCode.OK) {
            noteProcess(invoker, event.connectedSinceMicros());
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

    /** The endpoint list says which process the invoker is. */
    void recordListed(InvokerState invoker) {
        invoker.readinessLease.processConfirmedAt = state.now;
    }

    /**
     * Guards an invoker that has started anew unheard against the load of one that is warm: where
     * no connection has lasted since it was last known, and it refused a check or time enough for a
     * restart has passed, it counts as just started.
     */
    private void noteProcess(InvokerState invoker, long connectedSinceMicros) {
        ReadinessLease lease = invoker.readinessLease;
        long listedAt = Math.min(listReceivedAt, state.now);
        long knownAt = Math.max(lease.processConfirmedAt, listedAt);
        boolean timeEnough = state.now - knownAt > SHORTEST_RESTART_MICROS;
        if ((timeEnough || lease.mayHaveEnded) && connectedSinceMicros > knownAt) {
            invoker.clearInstances();
            invoker.clearHealth();
            invoker.slowStartSince = state.now;
        }
        lease.processConfirmedAt = state.now;
    }
}
