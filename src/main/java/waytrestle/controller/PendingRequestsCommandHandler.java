package waytrestle.controller;

import java.util.function.Function;
import waytrestle.overload.StartupPreloadLimit;
import waytrestle.requests.PendingRequests;
import waytrestle.requests.RequestHandler.FunctionHints;
import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.responses.ClassifierEvent;
import waytrestle.scheduler.SchedulerEvent;

/**
 * Carries out the commands of the pending requests.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class PendingRequestsCommandHandler {
    private final Transport transport;
    private final EventDispatcher dispatcher;
    private final WaitingClients waitingClients;
    private final OpenRequests openRequests;
    private final StartupPreloadLimit startupPreloadLimit;
    private final Function<String, FunctionHints> functionHints;

    PendingRequestsCommandHandler(
            Transport transport,
            EventDispatcher dispatcher,
            WaitingClients waitingClients,
            OpenRequests openRequests,
            StartupPreloadLimit startupPreloadLimit,
            Function<String, FunctionHints> functionHints) {
        this.transport = transport;
        this.dispatcher = dispatcher;
        this.waitingClients = waitingClients;
        this.openRequests = openRequests;
        this.startupPreloadLimit = startupPreloadLimit;
        this.functionHints = functionHints;
    }

    /** Carries out one command. */
    void execute(PendingRequests.Command command) {
        if (command instanceof PendingRequests.RespondToClient respond) {
            waitingClients.respond(respond);
        } else if (command instanceof PendingRequests.StartRequest start) {
            startRequest(start);
        } else if (command instanceof PendingRequests.AbandonRequest abandon) {
            openRequests.complete(abandon.requestId());
            dispatcher.enqueueForScheduler(
                    new SchedulerEvent.RequestAbandoned(abandon.requestId()));
        } else if (command instanceof PendingRequests.SetDeadlineTimer timer) {
            waitingClients.setDeadlineTimer(timer);
        } else if (command instanceof PendingRequests.ReportRepeat repeat) {
            waitingClients.reportRepeat(repeat);
        }
    }

    private void startRequest(PendingRequests.StartRequest command) {
        WaitingClient client = waitingClients.find(command.clientId());
        IncomingRequest incoming = client.incoming();
        FunctionHints hints = hintsOf(incoming);
        OpenRequest request =
                new OpenRequest(
                        command.requestId(),
                        transport.nowMicros() + command.timeLeftMicros(),
                        incoming,
                        client.listener(),
                        hints);
        openRequests.add(request);
        startupPreloadLimit.requestAccepted(transport.nowMicros());
        waitingClients.recordStartedRequest(command.clientId(), request);
        dispatcher.notifyClassifier(
                new ClassifierEvent.RequestStarted(
                        request.id(),
                        incoming.function(),
                        hints.concurrencyPerInstance(),
                        hints.loadMicros(),
                        hints.workMicros()));
    }

    /** Returns what the request itself declares of its function, or else the configuration. */
    private FunctionHints hintsOf(IncomingRequest incoming) {
        if (incoming.hints() != null) {
            return incoming.hints();
        }
        return functionHints.apply(incoming.function());
    }
}
