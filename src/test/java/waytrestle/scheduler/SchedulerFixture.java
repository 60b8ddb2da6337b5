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

/** Settings and events for tests: one controller, driven by hand. */
final class SchedulerFixture {
    boolean missAnswers;
    boolean orders = true;
    double probePrice = 0.01;
    int controllers = 2;
    int classes = 1;
    double freeLoads;
    double loadRatio;
    long loadPeriod;
    Idempotency repeat = Idempotency.IDEMPOTENT;
    DeduplicationScope group = DeduplicationScope.CELL;
    int maxAttempts = 5;
    DiscoveryMode discovery = DiscoveryMode.PUSH;
    long now = 50_000_000;
    FinishTimeScheduler control;
    final List<SchedulerCommand> all = new ArrayList<>();

    SchedulerSettings settings() {
        RequestClass kind =
                new RequestClass(
                        "call", repeat, group, 3_000_000, 800_000, 0, 5_000_000, 1, 0.3, false);
        return new SchedulerSettings(
                0,
                controllers,
                0,
                4_000,
                discovery,
                LoadReportSource.RESPONSES,
                "none",
                0.1,
                Collections.nCopies(classes, kind),
                List.of(),
                new Limits(
                        maxAttempts, 20_000, true, false, false, false, true, 1_000_000, 250_000),
                new Rules(16_000, 500_000, 0.25, 10_000_000, 2, 2_000_000, 10_000_000),
                new Preloading(
                        missAnswers,
                        orders,
                        true,
                        false,
                        10_000_000,
                        10_000_000,
                        0,
                        freeLoads,
                        loadRatio,
                        loadPeriod,
                        List.of(8_000.0)),
                new Costs(0.02, 0.03, probePrice, 0.05, 0.03, 0, 0, 0, 0));
    }

    SchedulerFixture start(InvokerEndpoint... invokers) {
        control = new FinishTimeScheduler(settings(), 7);
        feed(new EndpointsUpdated(true, true, List.of(invokers)));
        return this;
    }

    static InvokerEndpoint ready(String id) {
        return new InvokerEndpoint(id, 0, 0, 0, EndpointState.READY, 1, 0);
    }

    List<SchedulerCommand> feed(SchedulerEvent event) {
        List<SchedulerCommand> out = new ArrayList<>();
        control.handle(now, event, out::add);
        all.addAll(out);
        return out;
    }

    List<SchedulerCommand> request(long id, String function) {
        return request(id, function, 3_000_000, 0);
    }

    List<SchedulerCommand> request(long id, String function, long left, long loadMicros) {
        return feed(
                new RequestReceived(
                        id, 0, -1, function, left, 0, 300, 2, loadMicros, false, false));
    }

    List<SchedulerCommand> ended(
            long id, int attempt, String invoker, ResponseCode code, StartKind start, long took) {
        return feed(
                new AttemptCompleted(
                        id,
                        attempt,
                        invoker,
                        code,
                        code == ResponseCode.OK,
                        took,
                        start,
                        -1,
                        Map.of()));
    }

    List<SchedulerCommand> ordered(String invoker, String function, int copies) {
        return feed(new PreloadCompleted(invoker, function, ResponseCode.OK, 1_000, copies));
    }

    /**
     * Makes the controller believe that an invoker holds the function, by a served request; says
     * which.
     */
    String warm(long id, String function) {
        ForwardAttempt send = one(request(id, function), ForwardAttempt.class);
        now += 100_000;
        ended(id, 0, send.invoker(), ResponseCode.OK, StartKind.WARM, 100_000);
        return send.invoker();
    }

    static <T> List<T> every(List<SchedulerCommand> actions, Class<T> kind) {
        return actions.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    static <T> T one(List<SchedulerCommand> actions, Class<T> kind) {
        List<T> found = every(actions, kind);
        if (found.size() != 1) {
            throw new AssertionError("wanted one " + kind.getSimpleName() + " in " + actions);
        }
        return found.get(0);
    }
}
