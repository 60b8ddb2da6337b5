package waytrestle.responses;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.InvokerEndpoint;

/**
 * What this controller knows of one invoker: its endpoint, its health, and the attempts in flight
 * there.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class InvokerRecord {
    /** An attempt out for so long has surely reached the invoker. */
    private static final long SURELY_ARRIVED_MICROS = 50_000;

    /** Time within which all requests at a process that ends lose their connection. */
    private static final long CONNECTION_LOSS_WINDOW_MICROS = 100_000;

    private final OutlierDetector health = new OutlierDetector();
    private final Map<String, Integer> inFlightByFunction = new HashMap<>();
    private final Map<AttemptKey, Long> sentAtMicros = new LinkedHashMap<>();
    private InvokerEndpoint endpoint;
    private int connectionLosses;
    private long lastConnectionLossMicros;

    OutlierDetector health() {
        return health;
    }

    /** As service discovery lists it; null while it is not listed. */
    InvokerEndpoint endpoint() {
        return endpoint;
    }

    void setEndpoint(InvokerEndpoint listed) {
        endpoint = listed;
    }

    boolean isReady() {
        return endpoint != null && endpoint.state() == EndpointState.READY;
    }

    /** Counts a new attempt in; its concurrency level is how many of the function it makes. */
    int addAttempt(AttemptKey key, String function, long nowMicros) {
        sentAtMicros.put(key, nowMicros);
        return inFlightByFunction.merge(function, 1, Integer::sum);
    }

    void removeAttempt(AttemptKey key, String function) {
        sentAtMicros.remove(key);
        inFlightByFunction.computeIfPresent(
                function, (name, count) -> count > 1 ? count - 1 : null);
    }

    /** Attempts of this controller that are in flight here. */
    int attemptsInFlight() {
        return sentAtMicros.size();
    }

    /** Attempts in flight that the invoker must have received by now. */
    int attemptsPresumedReceived(long nowMicros) {
        int arrived = 0;
        for (long sentAt : sentAtMicros.values()) {
            if (sentAt < nowMicros - SURELY_ARRIVED_MICROS) {
                arrived++;
            }
        }
        return arrived;
    }

    /** The number of entries held for attempts in flight. */
    int retainedEntries() {
        return inFlightByFunction.size() + sentAtMicros.size();
    }

    /** An attempt lost its connection. */
    void addConnectionLoss(long nowMicros) {
        connectionLosses = recentConnectionLosses(nowMicros) + 1;
        lastConnectionLossMicros = nowMicros;
    }

    /** Attempts that lost their connection together with the last one, just now. */
    int recentConnectionLosses(long nowMicros) {
        boolean recent = nowMicros - lastConnectionLossMicros < CONNECTION_LOSS_WINDOW_MICROS;
        return recent ? connectionLosses : 0;
    }

    /** An endpoint of this invoker as the scheduler is to see it: draining while it is ejected. */
    InvokerEndpoint endpointForScheduler(InvokerEndpoint listed) {
        if (!health.isEjected() || listed.state() != EndpointState.READY) {
            return listed;
        }
        return new InvokerEndpoint(
                listed.id(),
                listed.zone(),
                listed.cell(),
                listed.kind(),
                EndpointState.DRAINING,
                listed.weight(),
                listed.startedAtMicros());
    }

    /** Marks the process behind the endpoint as started now. */
    void markRestarted(long nowMicros) {
        endpoint =
                new InvokerEndpoint(
                        endpoint.id(),
                        endpoint.zone(),
                        endpoint.cell(),
                        endpoint.kind(),
                        endpoint.state(),
                        endpoint.weight(),
                        nowMicros);
    }
}
