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

/**
 * Drives a classifier of one controller with a simulated clock, and holds the commands that the
 * last event led to.
 */
final class ClassifierFixture {
    static final long MICROS_PER_MILLISECOND = 1_000;
    static final long MICROS_PER_SECOND = 1_000_000;
    static final int DECLARED_CONCURRENCY = 2;
    static final ExchangeResult SERVED = ExchangeResult.of(Kind.RESPONSE);
    static final ExchangeResult CONNECTION_LOST = ExchangeResult.of(Kind.CONNECTION_LOST);
    static final ExchangeResult MALFORMED = ExchangeResult.of(Kind.MALFORMED);
    static final ExchangeResult ERROR = new ExchangeResult(Kind.STATUS, 500);
    static final ExchangeResult REJECTED = new ExchangeResult(Kind.STATUS, 400);
    static final ExchangeResult NOT_FOUND = new ExchangeResult(Kind.STATUS, 404);
    static final ExchangeResult FULL = new ExchangeResult(Kind.STATUS, 503);

    private static final long LATENCY_MICROS = 10 * MICROS_PER_MILLISECOND;

    /** The result of an attempt at an invoker. */
    record Response(String invoker, ExchangeResult result) {}

    final HealthTrackingClassifier classifier =
            new HealthTrackingClassifier(
                    settings(100), preloading(false), LoadReportSource.RESPONSES, 1);
    private final List<ClassifierCommand> commands = new ArrayList<>();
    private final List<WarnOfMissingCapability> warnings = new ArrayList<>();
    private long nowMicros = MICROS_PER_SECOND;
    private long lastRequestId;

    static HealthTrackingClassifier.Settings settings(int maxFunctions) {
        return new HealthTrackingClassifier.Settings(
                2, 2, 0.3, 5, 250 * MICROS_PER_MILLISECOND, 2 * MICROS_PER_SECOND, maxFunctions);
    }

    static Preloading preloading(boolean reportsNotLoaded) {
        return new Preloading(
                reportsNotLoaded,
                true,
                true,
                true,
                10 * MICROS_PER_SECOND,
                MICROS_PER_SECOND,
                0,
                0,
                0,
                0,
                List.of(1e4));
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
        lastRequestId++;
        return lastRequestId;
    }

    /**
     * Lets the classifier handle an event at the time of the clock; the commands of earlier events
     * are dropped.
     */
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

    /** Returns all warnings of one declared capability so far. */
    List<WarnOfMissingCapability> warningsOf(DeclaredCapability capability) {
        return warnings.stream().filter(warning -> warning.capability() == capability).toList();
    }

    void startRequest(long requestId, String function) {
        handle(new RequestStarted(requestId, function, DECLARED_CONCURRENCY, 0, 0));
    }

    /**
     * Returns the first command of the given type that the last event led to; null if there is
     * none.
     */
    <T extends ClassifierCommand> T firstCommand(Class<T> type) {
        return commands.stream().filter(type::isInstance).map(type::cast).findFirst().orElse(null);
    }

    /**
     * Returns the state of the first endpoint in the list that the last event sent to the
     * scheduler.
     */
    EndpointState firstEndpointStateForScheduler() {
        return firstCommand(UpdateEndpoints.class).update().entries().get(0).state();
    }

    /**
     * Requests an attempt and completes it after the latency. Returns its classification; null if
     * the attempt was withheld.
     */
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
     * Runs a request with one attempt per response, until a classification ends the request.
     * Returns the last classification; null if the request was not admitted. The commands held
     * afterwards are those of the last attempt and of the end of the request.
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
            classification =
                    runAttempt(attempt, responses[i], LATENCY_MICROS, InvokerLoadReport.EMPTY);
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

    /** Runs a request with one served attempt and returns the trusted part of its load report. */
    InvokerLoadReport serveRequest(
            String function, String invoker, long latencyMicros, InvokerLoadReport report) {
        long requestId = newRequestId();
        handle(
                new RequestStarted(
                        requestId,
                        function,
                        DECLARED_CONCURRENCY,
                        100 * MICROS_PER_MILLISECOND,
                        0));
        AttemptKey attempt = new AttemptKey(requestId, 0);
        runAttempt(attempt, response(invoker, SERVED), latencyMicros, report);
        InvokerLoadReport verified = firstCommand(CompleteAttempt.class).loadReport();
        handle(new RequestCompleted(requestId, true));
        return verified;
    }
}
