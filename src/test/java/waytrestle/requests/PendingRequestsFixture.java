package waytrestle.requests;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import waytrestle.requests.IdempotencyStore.Bounds;
import waytrestle.requests.IdempotencyStore.KeyedRequest;
import waytrestle.requests.PendingRequests.Command;
import waytrestle.requests.PendingRequests.Event;
import waytrestle.requests.PendingRequests.RequestArrived;
import waytrestle.requests.PendingRequests.RespondToClient;
import waytrestle.requests.PendingRequests.StartRequest;
import waytrestle.requests.RequestOutcome.Served;
import waytrestle.scheduler.DeduplicationScope;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/**
 * Test fixture: pending requests with a simulated monotonic clock, and the commands that the last
 * event caused.
 */
final class PendingRequestsFixture {
    static final long MICROS_PER_SECOND = 1_000_000;
    static final long TICK_MICROS = 10_000;
    static final long DEDUPLICATION_WINDOW_MICROS = 2 * MICROS_PER_SECOND;
    static final Served RESPONSE = new Served("t", new byte[] {1});

    private static final long WALL_SECONDS = 1_000;
    private static final long PAYLOAD_DIGEST = 7;
    private static final int NO_TENANT = -1;

    final PendingRequests pending;

    /** The simulated monotonic time in microseconds. */
    long now = 5 * MICROS_PER_SECOND;

    private final List<RequestClass> requestClasses;
    private final List<Command> commands = new ArrayList<>();

    PendingRequestsFixture(int maxInFlight, RequestClass... requestClasses) {
        this.requestClasses = List.of(requestClasses);
        this.pending =
                new PendingRequests(
                        this.requestClasses,
                        maxInFlight,
                        TICK_MICROS,
                        new IdempotencyStore(new Bounds(1_000, 1 << 20, 300), 0),
                        AdmissionControl.ADMIT_ALL,
                        true);
    }

    static RequestClass requestClassOf(Idempotency idempotency, DeduplicationScope scope) {
        return new RequestClass(
                idempotency.name(),
                idempotency,
                scope,
                DEDUPLICATION_WINDOW_MICROS,
                MICROS_PER_SECOND,
                0,
                3 * MICROS_PER_SECOND,
                1,
                0.3,
                false);
    }

    /** Handles an event and returns the commands that it caused. */
    List<Command> handle(Event event) {
        commands.clear();
        pending.handle(now, WALL_SECONDS, event, commands::add);
        return commands();
    }

    /** Returns the commands that the last event caused. */
    List<Command> commands() {
        return List.copyOf(commands);
    }

    /** Handles the arrival of a client; see {@link #arrival}. */
    void arrive(long clientId, int requestClass, String key, long timeLeftMicros) {
        handle(arrival(clientId, requestClass, key, timeLeftMicros));
    }

    /**
     * Returns the arrival event of a client.
     *
     * @param requestClass index of the request class, as given to the constructor
     * @param key idempotency key, null for none
     */
    RequestArrived arrival(long clientId, int requestClass, String key, long timeLeftMicros) {
        Idempotency idempotency = requestClasses.get(requestClass).idempotency();
        KeyedRequest keyed =
                new KeyedRequest(
                        key,
                        idempotency,
                        DEDUPLICATION_WINDOW_MICROS,
                        WALL_SECONDS,
                        PAYLOAD_DIGEST);
        return new RequestArrived(
                clientId, requestClass, NO_TENANT, 0, key == null ? null : keyed, timeLeftMicros);
    }

    /**
     * Handles the arrival of a client with three seconds left, which has to start a new request.
     *
     * @return the id of the new request
     */
    long startRequest(long clientId, int requestClass, String key) {
        arrive(clientId, requestClass, key, 3 * MICROS_PER_SECOND);
        return onlyCommand(StartRequest.class).requestId();
    }

    /** Returns the command of a type, of which the last event has to have caused exactly one. */
    <T extends Command> T onlyCommand(Class<T> type) {
        List<T> found = commands.stream().filter(type::isInstance).map(type::cast).toList();
        assertEquals(
                1, found.size(), "number of " + type.getSimpleName() + " commands in " + commands);
        return found.get(0);
    }

    /** Returns the outcome that the last event sent to a client, or null if it sent none. */
    RequestOutcome outcomeSentTo(long clientId) {
        for (Command command : commands) {
            if (command instanceof RespondToClient response && response.clientId() == clientId) {
                return response.outcome();
            }
        }
        return null;
    }
}
