package waytrestle.responses;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import waytrestle.responses.ClassifierCommand.CompleteAttempt;
import waytrestle.responses.ClassifierCommand.RejectRequest;
import waytrestle.responses.ClassifierCommand.UpdateEndpoints;
import waytrestle.responses.ClassifierCommand.WarnOfMissingCapability;
import waytrestle.responses.ClassifierCommand.WithholdAttempt;
import waytrestle.responses.ClassifierEvent.AttemptCompleted;
import waytrestle.responses.ClassifierEvent.AttemptRequested;
import waytrestle.responses.ClassifierEvent.EndpointListReceived;
import waytrestle.responses.ClassifierEvent.RequestCompleted;
import waytrestle.responses.ClassifierEvent.RequestStarted;
import waytrestle.responses.ExchangeResult.Kind;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.InvokerEndpoint;
import waytrestle.scheduler.LoadReportSource;
import waytrestle.scheduler.ResponseCode;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;
import waytrestle.scheduler.SchedulerSettings.Preloading;
import waytrestle.scheduler.StartKind;

/** A classifier of one controller with a clock of its own, and the commands of its last event. */
final class ClassifierFixture {
    static final long MILLISECOND = 1_000;
    static final long SECOND = 1_000_000;
    static final int DECLARED_CONCURRENCY = 2;
    static final ExchangeResult SERVED = ExchangeResult.of(Kind.RESPONSE);
    static final ExchangeResult CONNECTION_LOST = ExchangeResult.of(Kind.CONNECTION_LOST);
    static final ExchangeResult MALFORMED = ExchangeResult.of(Kind.MALFORMED);
    static final ExchangeResult ERROR = new ExchangeResult(Kind.STATUS, 500);
    static final ExchangeResult REJECTED = new ExchangeResult(Kind.STATUS, 400);
    static final ExchangeResult NOT_FOUND = new ExchangeResult(Kind.STATUS, 404);
    static final ExchangeResult FULL = new ExchangeResult(Kind.STATUS, 503);

    private static final long LATENCY = 10 * MILLISECOND;

    /** What an invoker responds to an attempt. */
    record Response(String invoker, ExchangeResult result) {}

    final HealthTrackingClassifier classifier =
            new HealthTrackingClassifier(
                    settings(100), preloading(false), LoadReportSource.RESPONSES, 1);
    private final List<ClassifierCommand> commands = new ArrayList<>();
    private final List<WarnOfMissingCapability> warnings = new ArrayList<>();
    private long nowMicros = SECOND;
    private long requests;

    static HealthTrackingClassifier.Settings settings(int maxFunctions) {
        return new HealthTrackingClassifier.Settings(
                2, 2, 0.3, 5, 250 * MILLISECOND, 2 * SECOND, maxFunctions);
    }

    static Preloading preloading(boolean reportsNotLoaded) {
        return new Preloading(
                reportsNotLoaded, true, true, true, 10 * SECOND, SECOND, 0, 0, 0, 0, List.of(1e4));
    }

    static Response response(String invoker, ExchangeResult result) {
        return new Response(invoker, result);
    }

    static InvokerLoadReport startReport(StartKind start) {
        return new InvokerLoadReport(start, -1, Map.of());
    }

    static InvokerEndpoint readyEndpoint(String invoker, long startedAtMicros) {
        return new InvokerEndpoint(invoker, 0, 0, 0, EndpointState.READY, 1, startedAtMicros);
    }

    static EndpointListReceived readyInvokers(int count) {
        List<InvokerEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            endpoints.add(readyEndpoint("i" + i, 0));
        }
        return new EndpointListReceived(new EndpointsUpdated(true, false, endpoints));
    }

    long nowMicros() {
        return nowMicros;
    }

    void advance(long micros) {
        nowMicros += micros;
    }

    long newRequestId() {
        requests++;
        return requests;
    }

    /** Handles an event; the commands of the one before are dropped. */
    void handle(ClassifierEvent event) {
        commands.clear();
        classifier.handle(nowMicros, event, this::record);
    }

    private void record(ClassifierCommand command) {
        commands.add(command);
        if (command instanceof WarnOfMissingCapability warning) {
            warnings.add(warning);
        }
    }

    /** All warnings of one declared capability so far. */
    List<WarnOfMissingCapability> warningsOf(DeclaredCapability capability) {
        return warnings.stream().filter(each -> each.capability() == capability).toList();
    }

    void startRequest(long requestId, String function) {
        handle(new RequestStarted(requestId, function, DECLARED_CONCURRENCY, 0, 0));
    }

    /** The first command of this type that the last event led to, or null. */
    <T extends ClassifierCommand> T firstCommand(Class<T> type) {
        return commands.stream().filter(type::isInstance).map(type::cast).findFirst().orElse(null);
    }

    /** State of the first endpoint of the list that the scheduler was sent. */
    EndpointState firstVisibleState() {
        return firstCommand(UpdateEndpoints.class).update().entries().get(0).state();
    }

    /** Sends an attempt and lets it end; null where it was withheld. */
    Classification runAttempt(
            AttemptKey attempt, Response response, long latencyMicros, InvokerLoadReport report) {
        long requestId = attempt.requestId();
        int number = attempt.attempt();
        handle(new AttemptRequested(requestId, number, response.invoker()));
        if (firstCommand(WithholdAttempt.class) != null) {
            return null;
        }
        advance(latencyMicros);
        handle(new AttemptCompleted(requestId, number, response.result(), report));
        return firstCommand(CompleteAttempt.class).classification();
    }

    /**
     * A whole request with attempts until a classification ends it; null where it was not admitted.
     * The commands are those of the last attempt and of the request's end.
     */
    Classification runRequest(String function, Response... responses) {
        long requestId = newRequestId();
        startRequest(requestId, function);
        if (firstCommand(RejectRequest.class) != null) {
            return null;
        }
        Classification classification = null;
        for (int i = 0; i < responses.length; i++) {
            AttemptKey attempt = new AttemptKey(requestId, i);
            classification = runAttempt(attempt, responses[i], LATENCY, InvokerLoadReport.EMPTY);
            if (classification != null && classification.endsRequest()) {
                break;
            }
        }
        boolean functionResponded =
                classification != null
                        && (classification.code() == ResponseCode.OK
                                || classification.code() == ResponseCode.REJECTED);
        RequestCompleted completed = new RequestCompleted(requestId, functionResponded);
        classifier.handle(nowMicros, completed, this::record);
        return classification;
    }

    /** A served request with one attempt; what was believed of its report. */
    InvokerLoadReport serveRequest(
            String function, String invoker, long latencyMicros, InvokerLoadReport report) {
        long requestId = newRequestId();
        handle(new RequestStarted(requestId, function, DECLARED_CONCURRENCY, 100 * MILLISECOND, 0));
        AttemptKey attempt = new AttemptKey(requestId, 0);
        runAttempt(attempt, response(invoker, SERVED), latencyMicros, report);
        InvokerLoadReport believed = firstCommand(CompleteAttempt.class).loadReport();
        handle(new RequestCompleted(requestId, true));
        return believed;
    }
}
