package waytrestle.requests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import waytrestle.Bytes;
import waytrestle.requests.PendingRequests.AttemptCompleted;
import waytrestle.requests.PendingRequests.AttemptForwarded;
import waytrestle.requests.PendingRequests.AttemptSent;
import waytrestle.requests.PendingRequests.ClientDisconnected;
import waytrestle.requests.PendingRequests.Command;
import waytrestle.requests.PendingRequests.DeadlineExpired;
import waytrestle.requests.PendingRequests.Event;
import waytrestle.requests.PendingRequests.RespondToClient;
import waytrestle.requests.PendingRequests.SchedulerFailedRequest;
import waytrestle.requests.PendingRequests.SchedulerRejectedRequest;
import waytrestle.requests.PendingRequests.SchedulerThrew;
import waytrestle.requests.PendingRequests.SetDeadlineTimer;
import waytrestle.requests.PendingRequests.StartRequest;
import waytrestle.requests.RequestOutcome.AttemptSummary;
import waytrestle.requests.RequestOutcome.FunctionError;
import waytrestle.scheduler.ResponseCode;

/**
 * Plays random events in random order, and checks that no client gets a second response or a
 * response after its deadline.
 */
final class RandomEventRun {
    private static final int MAX_STEP_MICROS = 100_000;
    private static final int MAX_ATTEMPTS = 3;
    private static final int REQUEST_CLASSES = 3;
    private static final int DISTINCT_KEYS = 6;

    /** A deadline timer that a command has set. Times are monotonic, in microseconds. */
    private record Timer(long expiresAtMicros, long clientId) {}

    private final PendingRequestsFixture fixture;
    private final Random random;
    private final Map<Long, Long> deadlinesByClient = new HashMap<>();
    private final Map<Long, Integer> responseCountsByClient = new HashMap<>();
    private final Set<Long> disconnected = new HashSet<>();
    private final List<Long> requestIds = new ArrayList<>(List.of(1L));
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::expiresAtMicros));
    private long lastClientId;

    RandomEventRun(PendingRequestsFixture fixture, long seed) {
        this.fixture = fixture;
        this.random = new Random(seed);
    }

    /**
     * Plays a number of steps, each of which either lets a due timer expire or draws an event. Then
     * lets all remaining timers expire.
     */
    void run(int steps) {
        for (int step = 0; step < steps || !timers.isEmpty(); step++) {
            long nextMicros = fixture.now + random.nextInt(MAX_STEP_MICROS);
            boolean stepsLeft = step < steps;
            if (!timers.isEmpty()
                    && (timers.peek().expiresAtMicros() <= nextMicros || !stepsLeft)) {
                Timer timer = timers.poll();
                fixture.now = Math.max(fixture.now, timer.expiresAtMicros());
                processCommands(fixture.handle(new DeadlineExpired(timer.clientId())));
            } else {
                fixture.now = nextMicros;
                processCommands(fixture.handle(nextEvent()));
            }
        }
    }

    /** Returns the ids of all clients that have arrived. */
    Set<Long> clients() {
        return deadlinesByClient.keySet();
    }

    /** Returns whether a client got a response, or disconnected. */
    boolean hasResponseOrDisconnected(long clientId) {
        return responseCountsByClient.containsKey(clientId) || disconnected.contains(clientId);
    }

    private Event nextEvent() {
        long requestId = requestIds.get(random.nextInt(requestIds.size()));
        return switch (random.nextInt(10)) {
            case 0, 1, 2 -> arrival();
            case 3 -> disconnection();
            case 4 -> new AttemptForwarded(requestId, random.nextInt(MAX_ATTEMPTS));
            case 5 -> attemptCompletion(requestId);
            case 6 -> new SchedulerRejectedRequest(requestId, 5, random.nextInt(9) - 2);
            case 7 -> new AttemptSent(requestId, random.nextInt(MAX_ATTEMPTS));
            case 8 -> new SchedulerFailedRequest(requestId);
            default -> new SchedulerThrew(requestId);
        };
    }

    private Event arrival() {
        long timeLeftMicros =
                PendingRequestsFixture.MICROS_PER_SECOND / 2 + random.nextInt(2_000_000);
        lastClientId++;
        deadlinesByClient.put(lastClientId, fixture.now + timeLeftMicros);
        int requestClass = random.nextInt(REQUEST_CLASSES);
        String key = random.nextInt(4) == 0 ? null : "key" + random.nextInt(DISTINCT_KEYS);
        return fixture.arrival(lastClientId, requestClass, key, timeLeftMicros);
    }

    /**
     * Returns the disconnection of a client that waits, has its response or has not arrived yet.
     */
    private Event disconnection() {
        long clientId = 1 + random.nextInt((int) lastClientId + 1);
        if (clientId <= lastClientId) {
            disconnected.add(clientId);
        }
        return new ClientDisconnected(clientId);
    }

    private Event attemptCompletion(long requestId) {
        ResponseCode code = ResponseCode.values()[random.nextInt(ResponseCode.values().length)];
        int attempt = random.nextInt(MAX_ATTEMPTS);
        RequestOutcome outcome = outcomeOf(code);
        return new AttemptCompleted(requestId, attempt, code, outcome, random.nextBoolean(), "x");
    }

    private RequestOutcome outcomeOf(ResponseCode code) {
        if (code == ResponseCode.OK) {
            return PendingRequestsFixture.RESPONSE;
        }
        if (random.nextInt(3) == 0) {
            return new FunctionError(500, "t", Bytes.NONE, true, AttemptSummary.NONE);
        }
        return null;
    }

    private void processCommands(List<Command> commands) {
        for (Command command : commands) {
            if (command instanceof RespondToClient response) {
                checkResponse(response.clientId());
            } else if (command instanceof StartRequest start) {
                requestIds.add(start.requestId());
            } else if (command instanceof SetDeadlineTimer timer) {
                timers.add(new Timer(fixture.now + timer.afterMicros(), timer.clientId()));
            }
        }
    }

    private void checkResponse(long clientId) {
        assertEquals(
                1,
                responseCountsByClient.merge(clientId, 1, Integer::sum),
                "number of responses to client " + clientId);
        assertTrue(
                fixture.now <= deadlinesByClient.get(clientId),
                "response to client " + clientId + " after its deadline");
    }
}
