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

/** Pending requests with a clock of their own and the commands of the last event. */
final class PendingRequestsFixture {
    static final long MICROS_PER_SECOND = 1_000_000;
    static final long TICK_MICROS = 10_000;
    static final long WINDOW_MICROS = 2 * MICROS_PER_SECOND;
    static final Served RESPONSE = new Served("t", new byte[] {1});

    private static final long WALL_SECONDS = 1_000;
    private static final long PAYLOAD_DIGEST = 7;
    private static final int NO_TENANT = -1;

    final PendingRequests pending;
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
                WINDOW_MICROS,
                MICROS_PER_SECOND,
                0,
                3 * MICROS_PER_SECOND,
                1,
                0.3,
                false);
    }

    /** The commands that the event led to. */
    List<Command> handle(Event event) {
        commands.clear();
        pending.handle(now, WALL_SECONDS, event, commands::add);
        return commands();
    }

    /** The commands of the last event. */
    List<Command> commands() {
        return List.copyOf(commands);
    }

    void arrive(long clientId, int requestClass, String key, long timeLeftMicros) {
        handle(arrival(clientId, requestClass, key, timeLeftMicros));
    }

    RequestArrived arrival(long clientId, int requestClass, String key, long timeLeftMicros) {
        Idempotency idempotency = requestClasses.get(requestClass).idempotency();
        KeyedRequest keyed =
                new KeyedRequest(key, idempotency, WINDOW_MICROS, WALL_SECONDS, PAYLOAD_DIGEST);
        return new RequestArrived(
                clientId, requestClass, NO_TENANT, 0, key == null ? null : keyed, timeLeftMicros);
    }

    /** The number of a new request with three seconds left. */
    long startRequest(long clientId, int requestClass, String key) {
        arrive(clientId, requestClass, key, 3 * MICROS_PER_SECOND);
        return onlyCommand(StartRequest.class).requestId();
    }

    /** The one command of this type that the last event led to. */
    <T extends Command> T onlyCommand(Class<T> type) {
        List<T> found = commands.stream().filter(type::isInstance).map(type::cast).toList();
        assertEquals(1, found.size(), "of " + type.getSimpleName() + " in " + commands);
        return found.get(0);
    }

    /** What the last event responded to the client, null without a response. */
    RequestOutcome outcomeSentTo(long clientId) {
        for (Command command : commands) {
            if (command instanceof RespondToClient response && response.clientId() == clientId) {
                return response.outcome();
            }
        }
        return null;
    }
}
