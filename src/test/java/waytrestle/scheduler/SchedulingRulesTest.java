package waytrestle.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import waytrestle.scheduler.SchedulerCommand.FailRequest;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerCommand.PreloadFunction;
import waytrestle.scheduler.SchedulerCommand.RejectRequest;
import waytrestle.scheduler.SchedulerCommand.SetTimer;
import waytrestle.scheduler.SchedulerEvent.AttemptCompleted;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;
import waytrestle.scheduler.SchedulerEvent.PreloadCompleted;
import waytrestle.scheduler.SchedulerEvent.TimerExpired;

/**
 * Feeds seeded random events to a scheduler and checks each command against the scheduling rules,
 * from a record of the requests that the test keeps itself.
 */
class SchedulingRulesTest {
    private static final int STEPS = 6_000;
    private static final int INVOKERS = 6;
    private static final int FUNCTIONS = 12;
    private static final int MAX_ATTEMPTS = 5;
    private static final long DEDUPLICATION_WINDOW_MICROS = 3_000_000;
    private static final long RESPONSE_SLACK_MICROS = 16_000;
    private static final long PRELOAD_PERIOD_MICROS = 1_000_000;
    private static final int FREE_PRELOADS = 3;
    private static final double PRELOADS_PER_REQUEST = 0.2;

    /** What the test knows about a request. Times are in microseconds. */
    private static final class TrackedRequest {
        final long deadline;
        final List<Long> sentAt = new ArrayList<>();
        final List<Integer> cells = new ArrayList<>();
        int attempts;
        int inFlight;
        int responses;
        boolean mayHaveRun;
        int boundCell = -1;
        long boundAt;
        boolean completed;

        TrackedRequest(long deadline) {
            this.deadline = deadline;
        }
    }

    private record AttemptInFlight(long requestId, int number, String invoker) {}

    private SplittableRandom random;
    private SchedulerFixture scheduler;
    private final Map<String, EndpointState> states = new TreeMap<>();
    private final Map<String, Integer> cells = new HashMap<>();
    private final Map<Long, TrackedRequest> requests = new TreeMap<>();
    private final TreeMap<Long, List<SchedulerTimer>> timers = new TreeMap<>();
    private final List<AttemptInFlight> attempts = new ArrayList<>();
    private final List<PreloadFunction> preloads = new ArrayList<>();
    private final List<Long> preloadTimes = new ArrayList<>();
    private final List<Long> requestTimes = new ArrayList<>();
    private long lastRequestId;
    private int checked;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void schedulingRulesHoldForRandomEvents(long seed) {
        start(seed);
        for (int step = 0; step < STEPS; step++) {
            scheduler.now += 1 + random.nextInt(8_000);
            List<SchedulerCommand> commands = new ArrayList<>(randomEvent());
            commands.addAll(expireTimers());
            commands.forEach(this::check);
            checked += commands.size();
            checkResponses();
        }
        assertTrue(checked > 3_000, "checked commands (at least 3001): " + checked);
    }

    private void start(long seed) {
        random = new SplittableRandom(seed);
        scheduler = new SchedulerFixture();
        scheduler.idempotency = Idempotency.values()[(int) (seed % 3)];
        scheduler.reportsNotLoaded = seed % 2 == 0;
        scheduler.preloadPeriodMicros = seed % 4 < 2 ? PRELOAD_PERIOD_MICROS : 0;
        scheduler.freePreloads = FREE_PRELOADS;
        scheduler.preloadsPerRequest = PRELOADS_PER_REQUEST;
        InvokerEndpoint[] endpoints = new InvokerEndpoint[INVOKERS];
        for (int i = 0; i < INVOKERS; i++) {
            String id = "w" + i;
            endpoints[i] = new InvokerEndpoint(id, 0, i % 2, 0, EndpointState.READY, 1, 0);
            states.put(id, EndpointState.READY);
            cells.put(id, i % 2);
        }
        scheduler.start(endpoints);
    }

    // ---- Random events. ----
    private List<SchedulerCommand> randomEvent() {
        int kind = random.nextInt(20);
        if (kind < 8) {
            return receiveRequest();
        }
        if (kind < 16 && !attempts.isEmpty()) {
            return completeAttempt();
        }
        if (kind < 18 && !preloads.isEmpty()) {
            return completePreload();
        }
        return kind == 18 ? changeEndpoint() : List.of();
    }

    private List<SchedulerCommand> receiveRequest() {
        long timeLeft = 200_000 + random.nextInt(1_500_000);
        requests.put(++lastRequestId, new TrackedRequest(scheduler.now + timeLeft));
        requestTimes.add(scheduler.now);
        String function = "f" + random.nextInt(FUNCTIONS);
        return scheduler.request(lastRequestId, function, timeLeft, random.nextInt(2) * 300_000);
    }

    private List<SchedulerCommand> completeAttempt() {
        AttemptInFlight attempt = attempts.remove(random.nextInt(attempts.size()));
        TrackedRequest request = requests.get(attempt.requestId());
        ResponseCode code = ResponseCode.values()[random.nextInt(ResponseCode.values().length)];
        request.inFlight--;
        if (!provesNotRun(code) && !request.mayHaveRun) {
            request.mayHaveRun = true;
            request.boundAt = request.sentAt.get(attempt.number());
            request.boundCell = request.cells.get(attempt.number());
        }
        boolean last = code == ResponseCode.OK || request.completed;
        request.responses += code == ResponseCode.OK && !request.completed ? 1 : 0;
        request.completed |= last;
        return scheduler.feed(
                new AttemptCompleted(
                        attempt.requestId(),
                        attempt.number(),
                        attempt.invoker(),
                        code,
                        last,
                        50_000,
                        StartKind.values()[random.nextInt(5)],
                        SchedulerEvent.CONCURRENCY_NOT_REPORTED,
                        Map.of()));
    }

    /** Repeats {@link ResponseCode#provesNotRun}, so that an error there fails the test. */
    private static boolean provesNotRun(ResponseCode code) {
        return code == ResponseCode.FULL
                || code == ResponseCode.CONNECT_FAILED
                || code == ResponseCode.NOT_SENT
                || code == ResponseCode.NOT_LOADED;
    }

    private List<SchedulerCommand> completePreload() {
        PreloadFunction preload = preloads.remove(random.nextInt(preloads.size()));
        ResponseCode code =
                random.nextInt(4) == 0
                        ? ResponseCode.values()[1 + random.nextInt(5)]
                        : ResponseCode.OK;
        long elapsed = random.nextInt(400_000);
        int instances =
                code == ResponseCode.OK ? Math.max(preload.instances(), random.nextInt(2)) : 0;
        return scheduler.feed(
                new PreloadCompleted(
                        preload.invoker(), preload.function(), code, elapsed, instances));
    }

    private List<SchedulerCommand> changeEndpoint() {
        String id = "w" + random.nextInt(INVOKERS);
        EndpointState state = EndpointState.values()[random.nextInt(3)];
        states.put(id, state);
        long startedAt = random.nextInt(2) * scheduler.now;
        InvokerEndpoint endpoint =
                new InvokerEndpoint(id, 0, cells.get(id), 0, state, 1, startedAt);
        return scheduler.feed(new EndpointsUpdated(false, false, List.of(endpoint)));
    }

    private List<SchedulerCommand> expireTimers() {
        List<SchedulerCommand> commands = new ArrayList<>();
        while (!timers.isEmpty() && timers.firstKey() <= scheduler.now) {
            for (SchedulerTimer timer : timers.pollFirstEntry().getValue()) {
                commands.addAll(scheduler.feed(new TimerExpired(timer)));
            }
        }
        return commands;
    }

    // ---- The rules. ----
    private void check(SchedulerCommand command) {
        if (command instanceof ForwardAttempt attempt) {
            checkAttempt(attempt);
        } else if (command instanceof RejectRequest rejection) {
            checkRejection(requests.get(rejection.id()));
        } else if (command instanceof FailRequest failure) {
            requests.get(failure.id()).completed = true;
            requests.get(failure.id()).responses++;
        } else if (command instanceof PreloadFunction preload) {
            checkPreload(preload);
        } else if (command instanceof SetTimer timer) {
            timers.computeIfAbsent(scheduler.now + timer.afterMicros(), at -> new ArrayList<>())
                    .add(timer.timer());
        }
    }

    private void checkAttempt(ForwardAttempt attempt) {
        TrackedRequest request = requests.get(attempt.id());
        assertEquals(
                EndpointState.READY,
                states.get(attempt.invoker()),
                "attempt to an invoker that is not ready");
        assertTrue(!request.completed, "attempt after the response");
        assertEquals(0, request.inFlight, "attempts in flight before another one");
        if (request.mayHaveRun) {
            assertTrue(
                    scheduler.idempotency != Idempotency.NON_IDEMPOTENT,
                    "retry of a non-idempotent request");
            if (scheduler.idempotency == Idempotency.KEYED) {
                assertEquals(
                        request.boundCell,
                        cells.get(attempt.invoker()),
                        "attempt outside the deduplication cell");
                assertTrue(
                        scheduler.now <= request.boundAt + DEDUPLICATION_WINDOW_MICROS,
                        "attempt after the deduplication window");
            }
        }
        request.inFlight++;
        request.sentAt.add(scheduler.now);
        request.cells.add(cells.get(attempt.invoker()));
        attempts.add(new AttemptInFlight(attempt.id(), request.attempts++, attempt.invoker()));
        assertTrue(request.attempts <= MAX_ATTEMPTS, "more attempts than " + MAX_ATTEMPTS);
    }

    private void checkRejection(TrackedRequest request) {
        boolean notRun = !request.mayHaveRun && request.inFlight == 0;
        assertTrue(
                scheduler.idempotency == Idempotency.IDEMPOTENT || notRun,
                "rejection of a request that may have run");
        request.completed = true;
        request.responses++;
    }

    private void checkPreload(PreloadFunction preload) {
        preloads.add(preload);
        if (preload.instances() == 0) {
            return;
        }
        assertEquals(
                EndpointState.READY,
                states.get(preload.invoker()),
                "preload at an invoker that is not ready");
        preloadTimes.add(scheduler.now);
        long from = scheduler.now - PRELOAD_PERIOD_MICROS;
        long sent = preloadTimes.stream().filter(at -> at >= from).count();
        long received = requestTimes.stream().filter(at -> at >= from).count();
        double allowed = FREE_PRELOADS + PRELOADS_PER_REQUEST * received + 1e-9;
        assertTrue(
                scheduler.preloadPeriodMicros == 0 || sent <= allowed,
                "preloads in one period: " + sent + ", allowed: " + allowed);
    }

    private void checkResponses() {
        for (TrackedRequest request : requests.values()) {
            assertTrue(request.responses <= 1, "more than one response");
            assertTrue(
                    request.completed || scheduler.now < request.deadline + RESPONSE_SLACK_MICROS,
                    "no response by the deadline and its slack");
        }
        requests.values().removeIf(request -> request.completed && request.inFlight == 0);
    }
}
