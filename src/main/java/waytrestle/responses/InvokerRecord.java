package waytrestle.responses;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.InvokerEndpoint;

/**
 * Holds what this controller knows about one invoker: its endpoint, its health, and the attempts
 * that this controller has in flight at it.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class InvokerRecord {
    /** Time after the send of an attempt from which the invoker is presumed to have received it. */
    private static final long PRESUMED_RECEIVED_AFTER_MICROS = 50_000;

    /** Time within which all requests at a process that ends lose their connections. */
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

    /** Returns the endpoint as service discovery lists it; null while it is not listed. */
    InvokerEndpoint endpoint() {
        return endpoint;
    }

    void setEndpoint(InvokerEndpoint listed) {
        endpoint = listed;
    }

    boolean isReady() {
        return endpoint != null && endpoint.state() == EndpointState.READY;
    }

    /**
     * Records a new attempt and returns its concurrency level: the number of attempts of the
     * function that are in flight at the invoker, the new one included.
     */
    int addAttempt(AttemptKey key, String function, long nowMicros) {
        sentAtMicros.put(key, nowMicros);
        return inFlightByFunction.merge(function, 1, Integer::sum);
    }

    void removeAttempt(AttemptKey key, String function) {
        sentAtMicros.remove(key);
        inFlightByFunction.computeIfPresent(
                function, (name, count) -> count > 1 ? count - 1 : null);
    }

    /** Returns the number of attempts of this controller in flight at the invoker. */
    int attemptsInFlight() {
        return sentAtMicros.size();
    }

    /** Returns the number of attempts in flight that the invoker is presumed to have received. */
    int attemptsPresumedReceived(long nowMicros) {
        int received = 0;
        for (long sentAt : sentAtMicros.values()) {
            if (sentAt < nowMicros - PRESUMED_RECEIVED_AFTER_MICROS) {
                received++;
            }
        }
        return received;
    }

    /** Returns the number of entries held for attempts in flight. */
    int retainedEntries() {
        return inFlightByFunction.size() + sentAtMicros.size();
    }

    /** Records that an attempt lost its connection. */
    void addConnectionLoss(long nowMicros) {
        connectionLosses = recentConnectionLosses(nowMicros) + 1;
        lastConnectionLossMicros = nowMicros;
    }

    /**
     * Returns the number of attempts that lost their connections in a row, each within {@link
     * #CONNECTION_LOSS_WINDOW_MICROS} of the one before; 0 if the last one is longer ago.
     */
    int recentConnectionLosses(long nowMicros) {
        boolean recent = nowMicros - lastConnectionLossMicros < CONNECTION_LOSS_WINDOW_MICROS;
        return recent ? connectionLosses : 0;
    }

    /**
     * Returns the listed endpoint in the state shown to the scheduler: draining instead of ready
     * while the invoker is ejected.
     */
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

    /** Sets the start time of the endpoint to now; the invoker must be listed. */
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
