package waytrestle.scheduler;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerEvent.AttemptCompleted;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;
import waytrestle.scheduler.SchedulerEvent.PreloadCompleted;
import waytrestle.scheduler.SchedulerEvent.RequestReceived;
import waytrestle.scheduler.SchedulerSettings.Costs;
import waytrestle.scheduler.SchedulerSettings.Limits;
import waytrestle.scheduler.SchedulerSettings.Preloading;
import waytrestle.scheduler.SchedulerSettings.RequestClass;
import waytrestle.scheduler.SchedulerSettings.Rules;

/**
 * Drives one scheduler in tests: holds its settings, which a test changes before {@link #start},
 * the time, and the commands issued so far. Times are in microseconds.
 */
final class SchedulerFixture {
    private static final Rules RULES =
            new Rules(
                    /* responseSlackMicros= */ 16_000,
                    /* drainGraceMicros= */ 500_000,
                    /* slowStartInitialShare= */ 0.25,
                    /* slowStartMicros= */ 10_000_000,
                    /* overloadMultiple= */ 2,
                    /* overloadWindowMicros= */ 2_000_000,
                    /* pollIntervalMicros= */ 10_000_000);

    boolean reportsNotLoaded;
    boolean acceptsPreloads = true;
    boolean mayCheckHealth;
    double healthCheckCost = 0.01;
    int controllerCount = 2;
    int classCount = 1;
    double freePreloads;
    double preloadsPerRequest;
    long preloadPeriodMicros;
    Idempotency idempotency = Idempotency.IDEMPOTENT;
    DeduplicationScope deduplicationScope = DeduplicationScope.CELL;
    int maxAttempts = 5;
    DiscoveryMode discovery = DiscoveryMode.PUSH;

    /** Time of the next event. */
    long now = 50_000_000;

    FinishTimeScheduler scheduler;

    /** All commands that the scheduler has issued. */
    final List<SchedulerCommand> commands = new ArrayList<>();

    SchedulerSettings settings() {
        RequestClass requestClass =
                new RequestClass(
                        "call",
                        idempotency,
                        deduplicationScope,
                        /* deduplicationWindowMicros= */ 3_000_000,
                        /* objectiveMicros= */ 800_000,
                        /* objectiveStretch= */ 0,
                        /* deadlineMicros= */ 5_000_000,
                        /* priorityWeight= */ 1,
                        /* latePriorityWeight= */ 0.3,
                        /* streaming= */ false);
        return new SchedulerSettings(
                /* controllerIndex= */ 0,
                controllerCount,
                /* zone= */ 0,
                /* tickMicros= */ 4_000,
                discovery,
                LoadReportSource.RESPONSES,
                "none",
                /* overQuotaWeight= */ 0.1,
                Collections.nCopies(classCount, requestClass),
                List.of(),
                new Limits(
                        maxAttempts,
                        /* maxInFlight= */ 20_000,
                        /* mayCancel= */ true,
                        mayCheckHealth,
                        /* mayGossip= */ false,
                        /* mayHedge= */ false,
                        /* sendsRetryAfter= */ true,
                        /* maxRetryAfterMicros= */ 1_000_000,
                        /* connectTimeoutMicros= */ 250_000),
                RULES,
                new Preloading(
                        reportsNotLoaded,
                        acceptsPreloads,
                        /* reportsStartKind= */ true,
                        /* reportsConcurrency= */ false,
                        /* keepAliveMicros= */ 10_000_000,
                        /* preloadTimeoutMicros= */ 10_000_000,
                        /* idleMemoryCost= */ 0,
                        freePreloads,
                        preloadsPerRequest,
                        preloadPeriodMicros,
                        List.of(8_000.0)),
                new Costs(
                        /* crossZone= */ 0.02,
                        /* waste= */ 0.03,
                        healthCheckCost,
                        /* lateFailure= */ 0.05,
                        /* fetch= */ 0.03,
                        /* gossip= */ 0,
                        /* connection= */ 0,
                        /* handshake= */ 0,
                        /* listEntries= */ 0));
    }

    /** Creates the scheduler and gives it the invokers as its first endpoint list. */
    SchedulerFixture start(InvokerEndpoint... invokers) {
        scheduler = new FinishTimeScheduler(settings(), /* seed= */ 7);
        feed(new EndpointsUpdated(true, true, List.of(invokers)));
        return this;
    }

    /** Returns an invoker that is ready and past its slow start. */
    static InvokerEndpoint readyInvoker(String id) {
        return new InvokerEndpoint(id, 0, 0, 0, EndpointState.READY, 1, 0);
    }

    /** Gives the scheduler an event at the present time, and returns the commands for it. */
    List<SchedulerCommand> feed(SchedulerEvent event) {
        List<SchedulerCommand> issued = new ArrayList<>();
        scheduler.handle(now, event, issued::add);
        commands.addAll(issued);
        return issued;
    }

    List<SchedulerCommand> request(long id, String function) {
        return request(id, function, 3_000_000, /* loadMicros= */ 0);
    }

    List<SchedulerCommand> request(long id, String function, long timeLeftMicros, long loadMicros) {
        return feed(
                new RequestReceived(
                        id, 0, -1, function, timeLeftMicros, 0, 300, 2, loadMicros, false, false));
    }

    List<SchedulerCommand> completeAttempt(
            long id,
            int attempt,
            String invoker,
            ResponseCode code,
            StartKind start,
            long elapsedMicros) {
        return feed(
                new AttemptCompleted(
                        id,
                        attempt,
                        invoker,
                        code,
                        code == ResponseCode.OK,
                        elapsedMicros,
                        start,
                        -1,
                        Map.of()));
    }

    List<SchedulerCommand> completePreload(String invoker, String function, int instances) {
        return feed(new PreloadCompleted(invoker, function, ResponseCode.OK, 1_000, instances));
    }

    /**
     * Sends a request for the function and has its attempt served warm after 100 ms. Returns the
     * invoker, which holds a loaded instance afterwards.
     */
    String serveWarm(long id, String function) {
        ForwardAttempt attempt = onlyCommand(request(id, function), ForwardAttempt.class);
        now += 100_000;
        completeAttempt(id, 0, attempt.invoker(), ResponseCode.OK, StartKind.WARM, 100_000);
        return attempt.invoker();
    }

    static <T> List<T> commandsOfType(List<SchedulerCommand> commands, Class<T> type) {
        return commands.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Returns the only command of the type; fails if there is none or more than one. */
    static <T> T onlyCommand(List<SchedulerCommand> commands, Class<T> type) {
        List<T> found = commandsOfType(commands, type);
        if (found.size() != 1) {
            throw new AssertionError(
                    "expected exactly one " + type.getSimpleName() + " among " + commands);
        }
        return found.get(0);
    }
}
