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
 * Classifies how attempts end and keeps, from that, the health of functions and of invokers apart.
 *
 * <p>Where requests run remains the scheduler's decision: from here it receives response codes,
 * verified load reports, corrected declarations, and an endpoint list in which an outlier drains
 * for a while. Requests of a function that fails everywhere are rejected here until a probe finds
 * it well.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class HealthTrackingClassifier implements ResponseClassifier {
    /**
     * Settings; times are in microseconds.
     *
     * @param attemptsPerRequest attempts allowed per request, over all requests
     * @param matchingFailuresToEndRequest failures alike that end a request
     * @param maxEjectedShare share of the ready invokers that may be ejected at a time
     * @param breakerFailedRequests failed requests in a row that open a function's circuit
     * @param breakerFirstPauseMicros first pause until a probe
     * @param breakerMaxPauseMicros longest pause until a probe
     * @param maxFunctions functions remembered; the least recently used one is forgotten
     */
    public record Settings(
            double attemptsPerRequest,
            int matchingFailuresToEndRequest,
            double maxEjectedShare,
            int breakerFailedRequests,
            long breakerFirstPauseMicros,
            long breakerMaxPauseMicros,
            int maxFunctions) {}

    /** Receives what responses have shown of one declared capability of one invoker. */
    public interface CapabilityCountsConsumer {
        /** Takes the numbers of responses that did not report it, confirmed and refuted it. */
        void accept(
                String invoker,
                DeclaredCapability capability,
                long unreported,
                long confirmed,
                long refuted);
    }

    private static final int INITIAL_FUNCTIONS = 64;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_NOT_FOUND = 404;

    private final int controllers;
    private final AttemptBudget attemptBudget;
    private final CapabilityEvidenceTable capabilityLedger;
    private final CapabilityVerifier capabilityVerifier;
    private final LeastRecentlyUsedMap<FunctionRecord> functions;
    private final InvokerTable invokers = new InvokerTable();
    private final Map<Long, RequestRecord> openRequests = new HashMap<>();
    private final Map<AttemptKey, InFlightAttempt> inFlight = new HashMap<>();
    private final OutlierEjection ejection;
    private final EndpointListFilter endpointList;
    private final FailureAttribution attribution;
    private final AttemptClassifier requestClassification;
    private long nowMicros;
    private Sink commands;

    /** A classifier for one of a number of controllers that share the invokers. */
    public HealthTrackingClassifier(
            Settings settings, Preloading loading, LoadReportSource reports, int controllers) {
        this.controllers = controllers;
        this.attemptBudget = new AttemptBudget(settings.attemptsPerRequest());
        this.capabilityLedger = new CapabilityEvidenceTable(this::warnOfCapability);
        this.capabilityVerifier =
                new CapabilityVerifier(declaration(loading, reports), capabilityLedger);
        FunctionCircuit.Rules circuitRules =
                new FunctionCircuit.Rules(
                        settings.breakerFailedRequests(),
                        settings.breakerFirstPauseMicros(),
                        settings.breakerMaxPauseMicros());
        this.functions =
                new LeastRecentlyUsedMap<>(
                        INITIAL_FUNCTIONS,
                        settings.maxFunctions(),
                        () -> new FunctionRecord(circuitRules));
        this.ejection = new OutlierEjection(invokers, settings.maxEjectedShare());
        this.endpointList = new EndpointListFilter(invokers, ejection, capabilityLedger::remove);
        this.attribution = new FailureAttribution(invokers, ejection, loading.reportsNotLoaded());
        this.requestClassification =
                new AttemptClassifier(invokers, settings.matchingFailuresToEndRequest(), loading);
    }

    private static CapabilityVerifier.DeclaredCapabilities declaration(
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
    public void handle(long eventMicros, ClassifierEvent event, Sink out) {
        nowMicros = eventMicros;
        commands = out;
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
    public ResponseCode codeOfPreloadOrHealthCheck(ExchangeResult reply) {
        ResponseCode code = ResponseKind.of(reply).code();
        return code == ResponseCode.REJECTED ? ResponseCode.ERROR : code;
    }

    @Override
    public int retainedEntries() {
        return openRequests.size() + inFlight.size() + invokers.retainedEntries();
    }

    /** Reports the evidence on all declared capabilities of all invokers. */
    public void forEachCapability(CapabilityCountsConsumer counts) {
        for (String invoker : invokers.ids()) {
            capabilityLedger
                    .evidenceOf(invoker)
                    .forEach(
                            (capability, evidence) ->
                                    counts.accept(
                                            invoker,
                                            capability,
                                            evidence.unreported(),
                                            evidence.confirmed(),
                                            evidence.refuted()));
        }
    }

    /** Invokers that are ejected at present. */
    public long ejectedInvokers() {
        return invokers.ejectedCount();
    }

    /** Functions whose circuit is not closed at present. */
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
        int level = invoker.addAttempt(key, function, nowMicros);
        boolean alone = controllers == 1 && invoker.attemptsInFlight() == level;
        inFlight.put(key, new InFlightAttempt(function, event.invoker(), nowMicros, level, alone));
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
        InvokerLoadReport believed =
                capabilityVerifier.verify(function, completed, event.loadReport());
        invoker.removeAttempt(key, attempt.function());
        learnFrom(function, attempt, kind, believed.start());
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
        addCompletion(event, classify(request, outcome, event.loadReport().start()), believed);
        ejection.ejectIfOutlier(attempt.invoker(), invoker, nowMicros, commands);
    }

    private void addCompletion(
            AttemptCompleted event, Classification classification, InvokerLoadReport believed) {
        commands.add(
                new CompleteAttempt(event.requestId(), event.attempt(), classification, believed));
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

    private void learnFrom(
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

    /** A failed load is a fault of the model store: it is held against nobody. */
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
        return requestClassification.classify(request, outcome, nowMicros);
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
        if (refusesAsUnknown(event.result()) && !existenceProven) {
            function.circuit().addFailingInvoker(event.invoker());
            failRequestsWithoutInstance(event.function());
        }
    }

    private static boolean refusesAsUnknown(ExchangeResult result) {
        return result.kind() == ExchangeResult.Kind.STATUS
                && (result.status() == STATUS_NOT_FOUND || result.status() == STATUS_BAD_REQUEST);
    }

    /** A preload refused as unknown ends the requests that found no instance, as absence does. */
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
