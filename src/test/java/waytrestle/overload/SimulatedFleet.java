package waytrestle.overload;

import static waytrestle.overload.OverloadFixture.DEADLINE_MICROS;
import static waytrestle.overload.OverloadFixture.LOW_PRIORITY_CLASS;
import static waytrestle.overload.OverloadFixture.LATENCY_OBJECTIVE_MICROS;
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
 * Fixture: servers behind one queue, in simulated time. Every request passes overload control
 * before it is queued; rejected clients may retry.
 */
final class SimulatedFleet {
    private static final String FUNCTION = "f";
    private static final long MEAN_RUN_MICROS = 80_000;
    private static final long RETRY_BACKOFF_MICROS = 200_000;
    private static final int MAX_RETRIES = 5;
    private static final long LIMIT_SAMPLE_INTERVAL_MICROS = 100_000;

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

    private record RequestServed(long atMicros, int tenant, long queuedAt) implements Event {}

    private record QueuedRequest(long queuedAt, Request request) {}

    /** The concurrency limit at a time. */
    record LimitSample(long atMicros, int limit) {}

    private final OverloadControl overloadControl = OverloadFixture.overloadControl();
    private final Random random = new Random(1);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMicros));
    private final Queue<QueuedRequest> queue = new ArrayDeque<>();
    private final long[] offeredByTenant = new long[TENANTS.size()];
    private final long[] servedInTimeByTenant = new long[TENANTS.size()];
    private final List<LimitSample> limitSamples = new ArrayList<>();
    private final boolean clientsRetry;
    private int servers;
    private int busyServers;
    private long admittedRetries;
    private long requests;
    private long now = MICROS_PER_SECOND;

    SimulatedFleet(int servers, boolean clientsRetry) {
        this.servers = servers;
        this.clientsRetry = clientsRetry;
    }

    /** Schedules first requests of a tenant from now on, as a Poisson process. */
    void offer(int tenant, long untilMicros, double requestsPerSecond) {
        double atMicros = now;
        while (atMicros < untilMicros) {
            requests++;
            events.add(new RequestArrived((long) atMicros, new Request(tenant, requests, 0)));
            double gapSeconds = -Math.log(1 - random.nextDouble()) / requestsPerSecond;
            atMicros += gapSeconds * MICROS_PER_SECOND;
        }
    }

    void setServers(int count) {
        servers = count;
    }

    void runUntil(long untilMicros) {
        while (!events.isEmpty() && events.peek().atMicros() <= untilMicros) {
            Event event = events.poll();
            now = event.atMicros();
            if (event instanceof RequestArrived arrived) {
                admit(arrived.request());
            } else if (event instanceof RequestServed served) {
                complete(served);
            }
            rejectExpired();
            startQueued();
            sampleLimit();
        }
        now = untilMicros;
    }

    private void admit(Request request) {
        if (request.isFirst()) {
            offeredByTenant[request.tenant()]++;
        }
        long fingerprint = clientsRetry ? request.fingerprint() : 0;
        boolean admitted =
                overloadControl.rejectionReason(
                                now, request.tenant(), LOW_PRIORITY_CLASS, fingerprint)
                        == null;
        if (!admitted) {
            retryLater(request);
            return;
        }
        overloadControl.requestStarted(now, request.tenant(), LOW_PRIORITY_CLASS);
        queue.add(new QueuedRequest(now, request));
        if (!request.isFirst()) {
            admittedRetries++;
        }
    }

    private void complete(RequestServed served) {
        busyServers--;
        long responseMicros = now - served.queuedAt();
        boolean timedOut = responseMicros > DEADLINE_MICROS;
        overloadControl.warmResponseServed(now, FUNCTION, responseMicros);
        overloadControl.requestCompleted(
                now, served.tenant(), LOW_PRIORITY_CLASS, 0, false, timedOut);
        if (responseMicros <= LATENCY_OBJECTIVE_MICROS) {
            servedInTimeByTenant[served.tenant()]++;
        }
    }

    private void rejectExpired() {
        while (!queue.isEmpty() && queue.peek().queuedAt() < now - DEADLINE_MICROS) {
            Request expired = queue.poll().request();
            overloadControl.requestCompleted(
                    now, expired.tenant(), LOW_PRIORITY_CLASS, expired.fingerprint(), true, false);
            retryLater(expired);
        }
    }

    private void startQueued() {
        while (busyServers < servers && !queue.isEmpty()) {
            QueuedRequest next = queue.poll();
            busyServers++;
            long runMicros = (long) (MEAN_RUN_MICROS * (0.5 + random.nextDouble()));
            events.add(
                    new RequestServed(now + runMicros, next.request().tenant(), next.queuedAt()));
        }
    }

    private void sampleLimit() {
        boolean due =
                limitSamples.isEmpty()
                        || now - limitSamples.get(limitSamples.size() - 1).atMicros()
                                > LIMIT_SAMPLE_INTERVAL_MICROS;
        if (due) {
            limitSamples.add(new LimitSample(now, overloadControl.concurrencyLimit()));
        }
    }

    /** Half of the rejected requests are sent again after the backoff, a few times at most. */
    private void retryLater(Request request) {
        if (clientsRetry && request.retries() < MAX_RETRIES && random.nextBoolean()) {
            events.add(new RequestArrived(now + RETRY_BACKOFF_MICROS, request.retry()));
        }
    }

    /** First requests that were scheduled. */
    long firstRequests() {
        return requests;
    }

    long admittedRetries() {
        return admittedRetries;
    }

    /** First requests of a tenant that have arrived. */
    long arrivedFirstRequests(int tenant) {
        return offeredByTenant[tenant];
    }

    /** Requests of a tenant that were served within their latency objective. */
    long servedWithinObjective(int tenant) {
        return servedInTimeByTenant[tenant];
    }

    long servedWithinObjective() {
        long sum = 0;
        for (long served : servedInTimeByTenant) {
            sum += served;
        }
        return sum;
    }

    List<LimitSample> limitSamples() {
        return limitSamples;
    }

    int limitAt(long atMicros) {
        return limitSamples.stream()
                .filter(sample -> sample.atMicros() <= atMicros)
                .reduce((earlier, later) -> later)
                .orElseThrow()
                .limit();
    }
}
