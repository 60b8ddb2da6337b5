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

/** Settings and events for tests: one scheduler, driven by hand. */
final class SchedulerFixture {
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
    long now = 50_000_000;
    FinishTimeScheduler scheduler;
    final List<SchedulerCommand> commands = new ArrayList<>();

    SchedulerSettings settings() {
        RequestClass requestClass =
                new RequestClass(
                        "call",
                        idempotency,
                        deduplicationScope,
                        3_000_000,
                        800_000,
                        0,
                        5_000_000,
                        1,
                        0.3,
                        false);
        return new SchedulerSettings(
                0,
                controllerCount,
                0,
                4_000,
                discovery,
                LoadReportSource.RESPONSES,
                "none",
                0.1,
                Collections.nCopies(classCount, requestClass),
                List.of(),
                new Limits(
                        maxAttempts,
                        20_000,
                        true,
                        mayCheckHealth,
                        false,
                        false,
                        true,
                        1_000_000,
                        250_000),
                new Rules(16_000, 500_000, 0.25, 10_000_000, 2, 2_000_000, 10_000_000),
                new Preloading(
                        reportsNotLoaded,
                        acceptsPreloads,
                        true,
                        false,
                        10_000_000,
                        10_000_000,
                        0,
                        freePreloads,
                        preloadsPerRequest,
                        preloadPeriodMicros,
                        List.of(8_000.0)),
                new Costs(0.02, 0.03, healthCheckCost, 0.05, 0.03, 0, 0, 0, 0));
    }

    SchedulerFixture start(InvokerEndpoint... invokers) {
        scheduler = new FinishTimeScheduler(settings(), 7);
        feed(new EndpointsUpdated(true, true, List.of(invokers)));
        return this;
    }

    static InvokerEndpoint readyInvoker(String id) {
        return new InvokerEndpoint(id, 0, 0, 0, EndpointState.READY, 1, 0);
    }

    List<SchedulerCommand> feed(SchedulerEvent event) {
        List<SchedulerCommand> handled = new ArrayList<>();
        scheduler.handle(now, event, handled::add);
        commands.addAll(handled);
        return handled;
    }

    List<SchedulerCommand> request(long id, String function) {
        return request(id, function, 3_000_000, 0);
    }

    List<SchedulerCommand> request(long id, String function, long left, long loadMicros) {
        return feed(
                new RequestReceived(
                        id, 0, -1, function, left, 0, 300, 2, loadMicros, false, false));
    }

    List<SchedulerCommand> completeAttempt(
            long id,
            int attempt,
            String invoker,
            ResponseCode code,
            StartKind start,
            long elapsed) {
        return feed(
                new AttemptCompleted(
                        id,
                        attempt,
                        invoker,
                        code,
                        code == ResponseCode.OK,
                        elapsed,
                        start,
                        -1,
                        Map.of()));
    }

    List<SchedulerCommand> completePreload(String invoker, String function, int instances) {
        return feed(new PreloadCompleted(invoker, function, ResponseCode.OK, 1_000, instances));
    }

    /** Has a request of the function served, and returns the invoker that holds it now. */
    String serveWarm(long id, String function) {
        ForwardAttempt attempt = onlyCommand(request(id, function), ForwardAttempt.class);
        now += 100_000;
        completeAttempt(id, 0, attempt.invoker(), ResponseCode.OK, StartKind.WARM, 100_000);
        return attempt.invoker();
    }

    static <T> List<T> commandsOfType(List<SchedulerCommand> commands, Class<T> kind) {
        return commands.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    static <T> T onlyCommand(List<SchedulerCommand> commands, Class<T> kind) {
        List<T> found = commandsOfType(commands, kind);
        if (found.size() != 1) {
            throw new AssertionError("wanted one " + kind.getSimpleName() + " in " + commands);
        }
        return found.get(0);
    }
}
