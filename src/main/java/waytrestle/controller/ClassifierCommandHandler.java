package waytrestle.controller;

import waytrestle.requests.PendingRequests;
import waytrestle.requests.RequestHandler.FunctionHints;
import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.responses.ClassifierCommand;
import waytrestle.responses.ClassifierEvent;
import waytrestle.scheduler.SchedulerEvent;

/**
 * Carries out the commands of the response classifier.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class ClassifierCommandHandler {
    private final Transport transport;
    private final EventDispatcher dispatcher;
    private final OpenRequests openRequests;
    private final AttemptSender attemptSender;
    private final AttemptCompletionHandler completionHandler;
    private final ControllerListener listener;

    ClassifierCommandHandler(
            Transport transport,
            EventDispatcher dispatcher,
            OpenRequests openRequests,
            AttemptSender attemptSender,
            AttemptCompletionHandler completionHandler,
            ControllerListener listener) {
        this.transport = transport;
        this.dispatcher = dispatcher;
        this.openRequests = openRequests;
        this.attemptSender = attemptSender;
        this.completionHandler = completionHandler;
        this.listener = listener;
    }

    /** Carries out one command. */
    void execute(ClassifierCommand command) {
        if (command instanceof ClassifierCommand.AdmitRequest admit) {
            admitRequest(admit);
        } else if (command instanceof ClassifierCommand.RejectRequest reject) {
            rejectRequest(reject);
        } else if (command instanceof ClassifierCommand.ForwardAttempt forward) {
            attemptSender.forward(forward);
        } else if (command instanceof ClassifierCommand.WithholdAttempt withhold) {
            attemptSender.withhold(withhold);
        } else if (command instanceof ClassifierCommand.CompleteAttempt complete) {
            completionHandler.classified(complete);
        } else if (command instanceof ClassifierCommand.FailFunctionNotFound fail) {
            failFunctionNotFound(fail);
        } else if (command instanceof ClassifierCommand.UpdateEndpoints endpoints) {
            dispatcher.enqueueForScheduler(endpoints.update());
        } else if (command instanceof ClassifierCommand.SetTimer timer) {
            setTimer(timer);
        } else if (command instanceof ClassifierCommand.ReportEjection ejection) {
            listener.invokerEjected(ejection.invoker(), ejection.durationMicros());
        } else if (command instanceof ClassifierCommand.ReportReadmission readmission) {
            listener.invokerReadmitted(readmission.invoker());
        } else if (command instanceof ClassifierCommand.WarnOfMissingCapability warning) {
            listener.capabilityWarning(warning);
        }
    }

    private void admitRequest(ClassifierCommand.AdmitRequest command) {
        OpenRequest request = openRequests.find(command.requestId());
        IncomingRequest incoming = request.incoming();
        FunctionHints hints = request.functionHints();
        dispatcher.enqueueForScheduler(
                new SchedulerEvent.RequestReceived(
                        request.id(),
                        incoming.requestClass(),
                        incoming.tenant(),
                        incoming.function(),
                        request.deadlineMicros() - transport.nowMicros(),
                        hints.workMicros(),
                        hints.memoryMb(),
                        command.concurrencyPerInstance(),
                        command.loadMicros(),
                        hints.retry(),
                        false));
    }

    private void rejectRequest(ClassifierCommand.RejectRequest command) {
        dispatcher.notifyPendingRequests(
                new PendingRequests.CircuitRejectedRequest(
                        command.requestId(),
                        command.lastFailureResult().text(),
                        command.retryAfterMicros()));
        openRequests.complete(command.requestId());
    }

    private void failFunctionNotFound(ClassifierCommand.FailFunctionNotFound command) {
        long requestId = command.requestId();
        dispatcher.notifyPendingRequests(new PendingRequests.FunctionNotFound(requestId));
        openRequests.complete(requestId);
        dispatcher.enqueueForScheduler(new SchedulerEvent.RequestAbandoned(requestId));
    }

    private void setTimer(ClassifierCommand.SetTimer command) {
        transport.schedule(
                command.afterMicros(),
                () -> dispatcher.dispatchToClassifier(new ClassifierEvent.TimerExpired()));
    }
}
