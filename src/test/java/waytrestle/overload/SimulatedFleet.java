package waytrestle.overload;

import static waytrestle.overload.OverloadFixture.DEADLINE_MICROS;
import static waytrestle.overload.OverloadFixture.LATENCY_OBJECTIVE_MICROS;
import static waytrestle.overload.OverloadFixture.LOW_PRIORITY_CLASS;
import static waytrestle.overload.OverloadFixture.MICROS_PER_SECOND;
import static waytrestle.overload.OverloadFixture.TENANTS;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;

/**
 * Simulates servers behind one queue. Every request passes overload control before it is queued;
 * clients may retry rejected requests. Time is simulated, in microseconds, and starts at 1 s.
 */
final class SimulatedFleet {
    private static final String FUNCTION = "f";
    private static final long MEAN_RUN_MICROS = 80_000;
    private static final long RETRY_BACKOFF_MICROS = 200_000;
    private static final int MAX_RETRIES_PER_REQUEST = 5;
    private static final long LIMIT_SAMPLE_INTERVAL_MICROS = 100_000;

    /**
     * A request or one of its retries.
     *
     * @param fingerprint identifies the request in all its retries
     * @param retries number of retries before this request, 0 for the first request
     */
    private record Request(int tenant, long fingerprint, int retries) {
        boolean isFirst() {
            return retries == 0;
        }

        Request retry() {
            return new Request(tenant, fingerprint, retries + 1);
        }
    }

    private sealed interface Event {
        long atMicros();
    }

    private record RequestArrived(long atMicros, Request request) implements Event {}

    private record RequestServed(long atMicros, int tenant, long queuedAtMicros) implements Event {}

    private record QueuedRequest(long queuedAtMicros, Request request) {}

    /** The concurrency limit at a simulated time. */
    record LimitSample(long atMicros, int limit) {}

    private final OverloadControl overloadControl = OverloadFixture.overloadControl();
    private final Random random = new Random(1);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMicros));
    private final Queue<QueuedRequest> queue = new ArrayDeque<>();
    private final long[] arrivedByTenant = new long[TENANTS.size()];
    private final long[] servedWithinObjectiveByTenant = new long[TENANTS.size()];
    private final List<LimitSample> limitSamples = new ArrayList<>();
    private final boolean clientsRetry;
    private int servers;
    private int busyServers;
    private long admittedRetries;
    private long firstRequests;
    private long nowMicros = MICROS_PER_SECOND;

    SimulatedFleet(int servers, boolean clientsRetry) {
        this.servers = servers;
        this.clientsRetry = clientsRetry;
    }

    /** Schedules first requests of a tenant as a Poisson process, from the current time on. */
    void offer(int tenant, long untilMicros, double requestsPerSecond) {
        double atMicros = nowMicros;
        while (atMicros < untilMicros) {
            firstRequests++;
            events.add(new RequestArrived((long) atMicros, new Request(tenant, firstRequests, 0)));
            double gapSeconds = -Math.log(1 - random.nextDouble()) / requestsPerSecond;
            atMicros += gapSeconds * MICROS_PER_SECOND;
        }
    }

    /** Sets the number of servers; requests already running are finished. */
    void setServers(int count) {
        servers = count;
    }

    /** Processes all events up to a time, which becomes the current time. */
    void runUntil(long untilMicros) {
        while (!events.isEmpty() && events.peek().atMicros() <= untilMicros) {
            Event event = events.poll();
            nowMicros = event.atMicros();
            if (event instanceof RequestArrived arrived) {
                admit(arrived.request());
            } else if (event instanceof RequestServed served) {
                complete(served);
            }
            rejectQueuedBeyondDeadline();
            startQueuedRequests();
            sampleLimitIfDue();
        }
        nowMicros = untilMicros;
    }

    private void admit(Request request) {
        if (request.isFirst()) {
            arrivedByTenant[request.tenant()]++;
        }
        long fingerprint = clientsRetry ? request.fingerprint() : 0;
        boolean admitted =
                overloadControl.rejectionReason(
                                nowMicros, request.tenant(), LOW_PRIORITY_CLASS, fingerprint)
                        == null;
        if (!admitted) {
            scheduleRetry(request);
            return;
        }
        overloadControl.requestStarted(nowMicros, request.tenant(), LOW_PRIORITY_CLASS);
        queue.add(new QueuedRequest(nowMicros, request));
        if (!request.isFirst()) {
            admittedRetries++;
        }
    }

    private void complete(RequestServed served) {
        busyServers--;
        long responseMicros = nowMicros - served.queuedAtMicros();
        boolean timedOut = responseMicros > DEADLINE_MICROS;
        overloadControl.warmResponseServed(nowMicros, FUNCTION, responseMicros);
        overloadControl.requestCompleted(
                nowMicros, served.tenant(), LOW_PRIORITY_CLASS, 0, false, timedOut);
        if (responseMicros <= LATENCY_OBJECTIVE_MICROS) {
            servedWithinObjectiveByTenant[served.tenant()]++;
        }
    }

    private void rejectQueuedBeyondDeadline() {
        while (!queue.isEmpty() && queue.peek().queuedAtMicros() < nowMicros - DEADLINE_MICROS) {
            Request expired = queue.poll().request();
            overloadControl.requestCompleted(
                    nowMicros,
                    expired.tenant(),
                    LOW_PRIORITY_CLASS,
                    expired.fingerprint(),
                    true,
                    false);
            scheduleRetry(expired);
        }
    }

    private void startQueuedRequests() {
        while (busyServers < servers && !queue.isEmpty()) {
            QueuedRequest next = queue.poll();
            busyServers++;
            long runMicros = (long) (MEAN_RUN_MICROS * (0.5 + random.nextDouble()));
            events.add(
                    new RequestServed(
                            nowMicros + runMicros, next.request().tenant(), next.queuedAtMicros()));
        }
    }

    private void sampleLimitIfDue() {
        boolean due =
                limitSamples.isEmpty()
                        || nowMicros - limitSamples.get(limitSamples.size() - 1).atMicros()
                                > LIMIT_SAMPLE_INTERVAL_MICROS;
        if (due) {
            limitSamples.add(new LimitSample(nowMicros, overloadControl.concurrencyLimit()));
        }
    }

    /**
     * Schedules a retry of a rejected request with a probability of one half, up to the maximum
     * number of retries.
     */
    private void scheduleRetry(Request request) {
        if (clientsRetry && request.retries() < MAX_RETRIES_PER_REQUEST && random.nextBoolean()) {
            events.add(new RequestArrived(nowMicros + RETRY_BACKOFF_MICROS, request.retry()));
        }
    }

    /** Returns the number of scheduled first requests of all tenants. */
    long firstRequests() {
        return firstRequests;
    }

    /** Returns the number of retries that passed overload control. */
    long admittedRetries() {
        return admittedRetries;
    }

    /** Returns the number of first requests of a tenant that have arrived. */
    long arrivedFirstRequests(int tenant) {
        return arrivedByTenant[tenant];
    }

    /** Returns the number of a tenant's requests that were served within the latency objective. */
    long servedWithinObjective(int tenant) {
        return servedWithinObjectiveByTenant[tenant];
    }

    /** Returns the number of requests, of all tenants, served within the latency objective. */
    long servedWithinObjective() {
        long sum = 0;
        for (long served : servedWithinObjectiveByTenant) {
            sum += served;
        }
        return sum;
    }

    List<LimitSample> limitSamples() {
        return limitSamples;
    }

    /** Returns the latest sample of the concurrency limit at or before a time. */
    int limitAt(long atMicros) {
        return limitSamples.stream()
                .filter(sample -> sample.atMicros() <= atMicros)
                .reduce((earlier, later) -> later)
                .orElseThrow()
                .limit();
    }
}
