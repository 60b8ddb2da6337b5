package waytrestle.controller;

import java.util.List;
import waytrestle.invoker.LoadMetrics;
import waytrestle.requests.AdmissionControl;
import waytrestle.requests.PendingRequests;
import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.requests.RequestOutcome;
import waytrestle.requests.SendGuard;
import waytrestle.responses.Classification;
import waytrestle.responses.ClassifierCommand;
import waytrestle.responses.ClassifierEvent;
import waytrestle.responses.ExchangeResult;
import waytrestle.responses.InvokerLoadReport;
import waytrestle.scheduler.InvokerEndpoint;
import waytrestle.scheduler.ResponseCode;
import waytrestle.scheduler.SchedulerEvent;
import waytrestle.scheduler.SchedulerSettings.RequestClass;
import waytrestle.scheduler.StartKind;

/**
 * Checks each attempt right before it is sent, and handles its end: the response classifier
 * classifies the end, then the pending requests are notified, then the scheduler.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class AttemptCompletionHandler {
    /** Zone and cell of an invoker that is not listed; differs from all listed zones and cells. */
    private static final int NOT_LISTED = -1;

    private final Transport transport;
    private final EventDispatcher dispatcher;
    private final OpenRequests openRequests;
    private final InvokerConnections connections;
    private final AdmissionControl admission;
    private final ControllerListener listener;
    private final SendGuard sendGuard;
    private final InvokerReadiness readiness;
    private final List<RequestClass> requestClasses;

    AttemptCompletionHandler(
            Transport transport,
            EventDispatcher dispatcher,
            OpenRequests openRequests,
            InvokerConnections connections,
            ControllerDependencies dependencies,
            ControllerListener listener,
            SendGuard sendGuard,
            InvokerReadiness readiness) {
        this.transport = transport;
        this.dispatcher = dispatcher;
        this.openRequests = openRequests;
        this.connections = connections;
        this.admission = dependencies.admission();
        this.sendGuard = sendGuard;
        this.readiness = readiness;
        this.requestClasses = dependencies.settings().classes();
        this.listener = listener;
    }

    /** Handles the end of an attempt's exchange: has the classifier classify it. */
    void completed(Attempt attempt, AttemptResult result) {
        attempt.recordResult(result, transport.nowMicros());
        dispatcher.notifyClassifier(
                new ClassifierEvent.AttemptCompleted(
                        attempt.request().id(),
                        attempt.number(),
                        result.exchangeResult(),
                        loadReport(result.metrics())));
        attempt.releaseResult();
        dispatcher.runScheduler();
    }

    private static InvokerLoadReport loadReport(LoadMetrics metrics) {
        return new InvokerLoadReport(metrics.start(), metrics.company(), metrics.report());
    }

    /**
     * Returns null if the attempt may be sent now, which records it as sent; otherwise how it ends
     * instead. Asked right before the first byte is written, since the connection may have taken
     * long or the event loop may have been busy since the scheduler decided: no work is started for
     * a client that has disconnected, even where attempts are not cancelled, nor at an invoker that
     * stopped being ready since the decision.
     */
    ExchangeResult.Kind checkBeforeSend(Attempt attempt) {
        OpenRequest request = attempt.request();
        // checkConnected() may find that the client has disconnected. Nothing has been written by
        // then, so the attempt must not count as one that may have run: a later request with the
        // idempotency key would be answered as a duplicate although the request never ran.
        dispatcher.notifyPendingRequests(
                new PendingRequests.AttemptWaiting(request.id(), attempt.number()));
        request.firstClient().checkConnected();
        SendGuard.Refusal refusal = sendGuard.checkSend(request.sendHistory(), intent(attempt));
        if (refusal == null) {
            readiness.recordSent(ControllerListener.WorkKind.ATTEMPT);
            dispatcher.notifyPendingRequests(
                    new PendingRequests.AttemptSent(request.id(), attempt.number()));
            return null;
        }
        listener.sendRefused(request.incoming(), attempt.number(), attempt.invoker(), refusal);
        return refusal == SendGuard.Refusal.CLIENT_GONE
                ? ExchangeResult.Kind.CANCELLED
                : ExchangeResult.Kind.NO_CAPACITY;
    }

    /**
     * Reports an attempt that was sent late because the process was stopped after {@link
     * #checkBeforeSend} had allowed it.
     *
     * @param delayMicros time from the check to the send
     */
    void sendDelayed(Attempt attempt, long delayMicros) {
        IncomingRequest incoming = attempt.request().incoming();
        listener.attemptSendDelayed(incoming, attempt.number(), attempt.invoker(), delayMicros);
    }

    private SendGuard.SendIntent intent(Attempt attempt) {
        InvokerReadiness.Readiness current =
                readiness.check(attempt.invoker(), attempt.plan().invokerWasReady());
        InvokerEndpoint endpoint = connections.endpoint(attempt.invoker());
        int requestClass = attempt.request().incoming().requestClass();
        return new SendGuard.SendIntent(
                requestClasses.get(requestClass),
                attempt.number(),
                endpoint == null ? NOT_LISTED : endpoint.zone(),
                endpoint == null ? NOT_LISTED : endpoint.cell(),
                !attempt.request().isCompleted(),
                current.stillReady(),
                current.recentlyConfirmed(),
                transport.nowMicros());
    }

    /**
     * Handles the classified end of an attempt: records it, then notifies the pending requests,
     * then the scheduler.
     */
    void classified(ClassifierCommand.CompleteAttempt command) {
        OpenRequest request = openRequests.find(command.requestId());
        Attempt attempt = request.attempts().get(command.attempt());
        Classification classification = command.classification();
        request.attemptEnded();
        attempt.setCode(classification.code());
        request.sendHistory().recordEnd(attempt.number(), classification.code());
        recordWarmResponse(attempt, command.loadReport().start());
        listener.requestAttemptCompleted(
                request.incoming(), attempt.number(), attempt.invoker(), attempt.code());
        listener.attemptCompleted(
                attempt.code(),
                attempt.invoker(),
                attempt.exchangeResult(),
                attempt.elapsedMicros());
        boolean endsRequest = classification.endsRequest() && !request.isCompleted();
        dispatcher.notifyPendingRequests(
                new PendingRequests.AttemptCompleted(
                        request.id(),
                        attempt.number(),
                        attempt.code(),
                        functionOutcome(attempt, classification),
                        endsRequest,
                        attempt.exchangeResult().text()));
        if (endsRequest) {
            request.setFunctionResponded(isFunctionResponse(attempt.code()));
            openRequests.complete(request.id());
        } else {
            openRequests.removeIfFinished(request);
        }
        notifyScheduler(attempt, command.loadReport());
    }

    private void recordWarmResponse(Attempt attempt, StartKind start) {
        boolean warm = start == StartKind.WARM || start == StartKind.UNKNOWN;
        if (attempt.code() == ResponseCode.OK && warm) {
            admission.warmResponseServed(
                    attempt.completedAtMicros(),
                    attempt.request().incoming().function(),
                    attempt.elapsedMicros());
        }
    }

    private static boolean isFunctionResponse(ResponseCode code) {
        return code == ResponseCode.OK || code == ResponseCode.REJECTED;
    }

    /** Returns the response or the error of the function itself, or null where there is neither. */
    private static RequestOutcome functionOutcome(Attempt attempt, Classification classification) {
        AttemptResult result = attempt.result();
        if (result.functionResponse() != null) {
            return result.functionResponse();
        }
        if (!classification.functionError()) {
            return null;
        }
        return new RequestOutcome.FunctionError(
                attempt.exchangeResult().status(),
                result.contentType(),
                result.body(),
                true,
                RequestOutcome.AttemptSummary.NONE);
    }

    private void notifyScheduler(Attempt attempt, InvokerLoadReport loadReport) {
        dispatcher.enqueueForScheduler(
                new SchedulerEvent.AttemptCompleted(
                        attempt.request().id(),
                        attempt.number(),
                        attempt.invoker(),
                        attempt.code(),
                        attempt.request().isCompleted(),
                        attempt.elapsedMicros(),
                        loadReport.start(),
                        loadReport.concurrentRequests(),
                        loadReport.metrics()));
    }
}
