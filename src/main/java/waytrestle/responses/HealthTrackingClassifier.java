package waytrestle.responses;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import waytrestle.responses.ClassifierCommand.AdmitRequest;
import waytrestle.responses.ClassifierCommand.CompleteAttempt;
import waytrestle.responses.ClassifierCommand.FailFunctionNotFound;
import waytrestle.responses.ClassifierCommand.ForwardAttempt;
import waytrestle.responses.ClassifierCommand.RejectRequest;
import waytrestle.responses.ClassifierCommand.Sink;
import waytrestle.responses.ClassifierCommand.WarnOfMissingCapability;
import waytrestle.responses.ClassifierCommand.WithholdAttempt;
import waytrestle.responses.ClassifierEvent.AttemptCompleted;
import waytrestle.responses.ClassifierEvent.AttemptRequested;
import waytrestle.responses.ClassifierEvent.ConnectionsLost;
import waytrestle.responses.ClassifierEvent.EndpointListReceived;
import waytrestle.responses.ClassifierEvent.PreloadCompleted;
import waytrestle.responses.ClassifierEvent.RequestCompleted;
import waytrestle.responses.ClassifierEvent.RequestStarted;
import waytrestle.responses.ClassifierEvent.TimerExpired;
import waytrestle.scheduler.LoadReportSource;
import waytrestle.scheduler.ResponseCode;
import waytrestle.scheduler.SchedulerSettings.Preloading;
import waytrestle.scheduler.StartKind;

/**
 * Classifies the ends of attempts and derives from them the health of functions and, separately, of
 * invokers.
 *
 * <p>The scheduler still decides where requests run. It receives response codes, verified load
 * reports, corrected declarations of functions, and endpoint lists in which an ejected outlier is
 * draining. The classifier rejects the requests of a function that fails at all invokers until a
 * probe succeeds.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class HealthTrackingClassifier implements ResponseClassifier {
    /**
     * Settings of the classifier; times are in microseconds.
     *
     * @param attemptsPerRequest attempts allowed per request, as an average over all requests
     * @param matchingFailuresToEndRequest failures of a request with the same result that end the
     *     request
     * @param maxEjectedShare highest share of the ready invokers that may be ejected at a time
     * @param breakerFailedRequests consecutive failed requests that open a function's circuit
     * @param breakerFirstPauseMicros time from the opening of a circuit to its first probe
     * @param breakerMaxPauseMicros longest time until the next probe of an open circuit
     * @param maxFunctions highest number of functions remembered; the least recently used one is
     *     evicted
     */
    public record Settings(
            double attemptsPerRequest,
            int matchingFailuresToEndRequest,
            double maxEjectedShare,
            int breakerFailedRequests,
            long breakerFirstPauseMicros,
            long breakerMaxPauseMicros,
            int maxFunctions) {}

    /**
     * Receives the numbers of responses that confirm or refute a declared capability of an invoker.
     */
    public interface CapabilityCountsConsumer {
        /**
         * Accepts the numbers of responses that did not report, confirmed and refuted one
         * capability of one invoker.
         */
        void accept(
                String invoker,
                DeclaredCapability capability,
                long unreported,
                long confirmed,
                long refuted);
    }

    private static final int INITIAL_FUNCTION_CAPACITY = 64;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_NOT_FOUND = 404;

    private final int controllers;
    private final AttemptBudget attemptBudget;
    private final CapabilityEvidenceTable capabilityEvidence;
    private final CapabilityVerifier capabilityVerifier;
    private final LeastRecentlyUsedMap<FunctionRecord> functions;
    private final InvokerTable invokers = new InvokerTable();
    private final Map<Long, RequestRecord> openRequests = new HashMap<>();
    private final Map<AttemptKey, InFlightAttempt> inFlight = new HashMap<>();
    private final OutlierEjection ejection;
    private final EndpointListFilter endpointList;
    private final FailureAttribution attribution;
    private final AttemptClassifier attemptClassifier;

    /** Time of the event being handled. */
    private long nowMicros;

    /** Receives the commands that follow from the event being handled. */
    private Sink commands;

    /**
     * Creates a classifier for one controller.
     *
     * @param controllers number of controllers that share the invokers, including the one of the
     *     classifier
     */
    public HealthTrackingClassifier(
            Settings settings, Preloading loading, LoadReportSource reports, int controllers) {
        this.controllers = controllers;
        this.attemptBudget = new AttemptBudget(settings.attemptsPerRequest());
        this.capabilityEvidence = new CapabilityEvidenceTable(this::warnOfCapability);
        this.capabilityVerifier =
                new CapabilityVerifier(declaredCapabilities(loading, reports), capabilityEvidence);
        FunctionCircuit.Rules circuitRules =
                new FunctionCircuit.Rules(
                        settings.breakerFailedRequests(),
                        settings.breakerFirstPauseMicros(),
                        settings.breakerMaxPauseMicros());
        this.functions =
                new LeastRecentlyUsedMap<>(
                        INITIAL_FUNCTION_CAPACITY,
                        settings.maxFunctions(),
                        () -> new FunctionRecord(circuitRules));
        this.ejection = new OutlierEjection(invokers, settings.maxEjectedShare());
        this.endpointList = new EndpointListFilter(invokers, ejection, capabilityEvidence::remove);
        this.attribution = new FailureAttribution(invokers, ejection, loading.reportsNotLoaded());
        this.attemptClassifier =
                new AttemptClassifier(invokers, settings.matchingFailuresToEndRequest(), loading);
    }

    private static CapabilityVerifier.DeclaredCapabilities declaredCapabilities(
            Preloading loading, LoadReportSource reports) {
        return new CapabilityVerifier.DeclaredCapabilities(
                loading.reportsStartKind(),
                loading.reportsConcurrency(),
                reports == LoadReportSource.RESPONSES,
                loading.reportsNotLoaded(),
                loading.keepAliveMicros());
    }

    private void warnOfCapability(
            String invoker, DeclaredCapability capability, boolean unreported) {
        commands.add(new WarnOfMissingCapability(invoker, capability, unreported));
    }

    @Override
    public void handle(long eventMicros, ClassifierEvent event, Sink sink) {
        nowMicros = eventMicros;
        commands = sink;
        if (event instanceof RequestStarted started) {
            startRequest(started);
        } else if (event instanceof AttemptRequested requested) {
            startAttempt(requested);
        } else if (event instanceof AttemptCompleted completed) {
            completeAttempt(completed);
        } else if (event instanceof RequestCompleted completed) {
            completeRequest(completed);
        } else if (event instanceof PreloadCompleted completed) {
            completePreload(completed);
        } else if (event instanceof EndpointListReceived received) {
            endpointList.update(received.update(), nowMicros, commands);
        } else if (event instanceof ConnectionsLost lost) {
            endpointList.handleConnectionsLost(lost.invoker(), nowMicros, commands);
        } else if (event instanceof TimerExpired) {
            ejection.readmitExpired(nowMicros, commands);
        }
    }

    @Override
    public ResponseCode codeOfPreloadOrHealthCheck(ExchangeResult result) {
        ResponseCode code = ResponseKind.of(result).code();
        return code == ResponseCode.REJECTED ? ResponseCode.ERROR : code;
    }

    @Override
    public int retainedEntries() {
        return openRequests.size() + inFlight.size() + invokers.retainedEntries();
    }

    /**
     * Passes the counts of each declared capability of each invoker to the consumer; capabilities
     * without evidence are left out.
     */
    public void forEachCapability(CapabilityCountsConsumer consumer) {
        for (String invoker : invokers.ids()) {
            capabilityEvidence
                    .evidenceOf(invoker)
                    .forEach(
                            (capability, evidence) ->
                                    consumer.accept(
                                            invoker,
                                            capability,
                                            evidence.unreported(),
                                            evidence.confirmed(),
                                            evidence.refuted()));
        }
    }

    /** Returns the number of invokers that are ejected. */
    public long ejectedInvokers() {
        return invokers.ejectedCount();
    }

    /** Returns the number of functions whose circuit is not closed. */
    public long openCircuits() {
        long open = 0;
        for (FunctionRecord function : functions.values()) {
            if (function.circuit().state() != FunctionCircuit.State.CLOSED) {
                open++;
            }
        }
        return open;
    }

    private void startRequest(RequestStarted event) {
        long requestId = event.requestId();
        FunctionRecord function = functions.findOrAdd(event.function());
        FunctionCircuit circuit = function.circuit();
        if (!circuit.tryAdmit(requestId, nowMicros)) {
            long retryAfterMicros = circuit.retryAfterMicros(nowMicros);
            commands.add(
                    new RejectRequest(requestId, circuit.lastFailureResult(), retryAfterMicros));
            return;
        }
        attemptBudget.addRequest(nowMicros);
        openRequests.put(requestId, new RequestRecord(event));
        int concurrency =
                function.concurrency().correctedConcurrency(event.declaredConcurrencyPerInstance());
        long loadMicros = function.correctedLoadMicros(event.declaredLoadMicros());
        commands.add(new AdmitRequest(requestId, concurrency, loadMicros));
    }

    private void startAttempt(AttemptRequested event) {
        RequestRecord request = openRequests.get(event.requestId());
        if (request == null || !attemptBudget.tryTake(event.attempt() == 0)) {
            commands.add(new WithholdAttempt(event.requestId(), event.attempt()));
            return;
        }
        AttemptKey key = new AttemptKey(event.requestId(), event.attempt());
        String function = request.startEvent().function();
        InvokerRecord invoker = invokers.findOrAdd(event.invoker());
        int concurrencyLevel = invoker.addAttempt(key, function, nowMicros);
        boolean aloneAtInvoker = controllers == 1 && invoker.attemptsInFlight() == concurrencyLevel;
        inFlight.put(
                key,
                new InFlightAttempt(
                        function, event.invoker(), nowMicros, concurrencyLevel, aloneAtInvoker));
        commands.add(new ForwardAttempt(event.requestId(), event.attempt()));
    }

    private void completeAttempt(AttemptCompleted event) {
        AttemptKey key = new AttemptKey(event.requestId(), event.attempt());
        InFlightAttempt attempt = inFlight.remove(key);
        ResponseKind kind = ResponseKind.of(event.result());
        if (attempt == null) {
            Classification undecided = Classification.undecided(kind.code());
            addCompletion(event, undecided, InvokerLoadReport.EMPTY);
            return;
        }
        FunctionRecord function = functions.findOrAdd(attempt.function());
        InvokerRecord invoker = invokers.findOrAdd(attempt.invoker());
        RequestRecord request = openRequests.get(event.requestId());
        CompletedAttempt completed = completedAttempt(attempt, kind, request);
        InvokerLoadReport verified =
                capabilityVerifier.verify(function, completed, event.loadReport());
        invoker.removeAttempt(key, attempt.function());
        recordLatency(function, attempt, kind, verified.start());
        if (kind == ResponseKind.CONNECTION_LOST) {
            invoker.addConnectionLoss(nowMicros);
        }
        AttemptOutcome outcome =
                new AttemptOutcome(
                        function,
                        attempt.invoker(),
                        kind,
                        event.result(),
                        invoker.health().isOutlierOrEjected(nowMicros));
        addCompletion(event, classify(request, outcome, event.loadReport().start()), verified);
        ejection.ejectIfOutlier(attempt.invoker(), invoker, nowMicros, commands);
    }

    private void addCompletion(
            AttemptCompleted event, Classification classification, InvokerLoadReport verified) {
        commands.add(
                new CompleteAttempt(event.requestId(), event.attempt(), classification, verified));
    }

    private CompletedAttempt completedAttempt(
            InFlightAttempt attempt, ResponseKind kind, RequestRecord request) {
        return new CompletedAttempt(
                attempt.invoker(),
                kind,
                attempt.sentAtMicros(),
                nowMicros - attempt.sentAtMicros(),
                invokers.findOrAdd(attempt.invoker()).attemptsPresumedReceived(nowMicros),
                request == null ? 0 : request.startEvent().declaredLoadMicros(),
                request == null ? 0 : request.startEvent().declaredWorkMicros());
    }

    private void recordLatency(
            FunctionRecord function, InFlightAttempt attempt, ResponseKind kind, StartKind start) {
        if (kind != ResponseKind.SERVED) {
            return;
        }
        long latencyMicros = nowMicros - attempt.sentAtMicros();
        function.latency().addResponse(latencyMicros);
        if (start == StartKind.WARM || start == StartKind.UNKNOWN) {
            function.concurrency()
                    .addResponse(
                            attempt.concurrencyLevel(), latencyMicros, attempt.aloneAtInvoker());
        }
    }

    /**
     * Classifies the outcome of an attempt. A failed load is a fault of the model store and is
     * attributed to neither the function nor the invoker.
     *
     * @param request the request of the attempt; null if it is not open any more
     */
    private Classification classify(
            RequestRecord request, AttemptOutcome outcome, StartKind reportedStart) {
        boolean loadFailed = reportedStart == StartKind.LOAD_FAILED;
        if (!loadFailed) {
            attribution.addOutcome(outcome, nowMicros, commands);
        }
        boolean notLoadedAfterFailedLoad = loadFailed && outcome.kind() == ResponseKind.NOT_LOADED;
        if (request == null || notLoadedAfterFailedLoad) {
            return Classification.undecided(outcome.kind().code());
        }
        return attemptClassifier.classify(request, outcome, nowMicros);
    }

    private void completeRequest(RequestCompleted event) {
        RequestRecord request = openRequests.remove(event.requestId());
        if (request == null) {
            return;
        }
        FunctionCircuit circuit = functions.findOrAdd(request.startEvent().function()).circuit();
        if (!event.functionResponded() && request.countsAgainstFunction()) {
            int readyInvokers = invokers.readyCount();
            circuit.recordFailedRequest(
                    event.requestId(), request.lastUnservedResult(), readyInvokers, nowMicros);
        }
        circuit.recordCompletedRequest(event.requestId());
    }

    private void completePreload(PreloadCompleted event) {
        FunctionRecord function = functions.findOrAdd(event.function());
        if (event.result().kind() == ExchangeResult.Kind.RESPONSE && event.loadedInstances() != 0) {
            function.latency().addLoad(event.elapsedMicros());
            function.history().markLoaded(event.invoker(), nowMicros);
            capabilityVerifier.verifyPreload(
                    event.invoker(),
                    event.elapsedMicros(),
                    event.declaredLoadMicros(),
                    event.loadedInstances());
        }
        boolean existenceProven = function.history().servedRecently(nowMicros);
        if (isFunctionUnknown(event.result()) && !existenceProven) {
            function.circuit().addFailingInvoker(event.invoker());
            failRequestsWithoutInstance(event.function());
        }
    }

    private static boolean isFunctionUnknown(ExchangeResult result) {
        return result.kind() == ExchangeResult.Kind.STATUS
                && (result.status() == STATUS_NOT_FOUND || result.status() == STATUS_BAD_REQUEST);
    }

    /**
     * Ends the open requests of a function that found no loaded instance; called after an invoker
     * has refused to preload the function because it does not know it.
     */
    private void failRequestsWithoutInstance(String function) {
        List<Long> failed = new ArrayList<>();
        openRequests.forEach(
                (requestId, request) -> {
                    if (request.startEvent().function().equals(function)
                            && foundNoInstance(request)) {
                        request.countAgainstFunction();
                        failed.add(requestId);
                    }
                });
        failed.forEach(requestId -> commands.add(new FailFunctionNotFound(requestId)));
    }

    private static boolean foundNoInstance(RequestRecord request) {
        ExchangeResult last = request.lastUnservedResult();
        return last != null && ResponseKind.of(last) == ResponseKind.NOT_LOADED;
    }
}
