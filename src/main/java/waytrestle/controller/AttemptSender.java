package waytrestle.controller;

import waytrestle.requests.AdmissionControl;
import waytrestle.requests.PendingRequests;
import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.responses.ClassifierCommand;
import waytrestle.responses.ClassifierEvent;
import waytrestle.responses.ExchangeResult;
import waytrestle.scheduler.RequestScheduler;
import waytrestle.scheduler.ResponseCode;
import waytrestle.scheduler.SchedulerCommand;
import waytrestle.scheduler.SchedulerSettings;

/**
 * Creates, sends, withholds and cancels the attempts that the scheduler decides on. Each attempt
 * ends once, also one that is never sent.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class AttemptSender {
    private final Transport transport;
    private final SchedulerSettings settings;
    private final RequestScheduler scheduler;
    private final AdmissionControl admission;
    private final EventDispatcher dispatcher;
    private final OpenRequests openRequests;
    private final InvokerConnections connections;
    private final AttemptCompletionHandler completionHandler;
    private final ControllerListener listener;

    AttemptSender(
            Transport transport,
            ControllerDependencies dependencies,
            EventDispatcher dispatcher,
            OpenRequests openRequests,
            InvokerConnections connections,
            AttemptCompletionHandler completionHandler,
            ControllerListener listener) {
        this.transport = transport;
        this.settings = dependencies.settings();
        this.scheduler = dependencies.scheduler();
        this.admission = dependencies.admission();
        this.dispatcher = dispatcher;
        this.openRequests = openRequests;
        this.connections = connections;
        this.completionHandler = completionHandler;
        this.listener = listener;
    }

    /** Creates an attempt as the scheduler decided; the classifier says whether it is sent. */
    void requestAttempt(SchedulerCommand.ForwardAttempt command) {
        OpenRequest request = openRequests.find(command.id());
        if (request == null) {
            listener.logMessage("attempt.request_unknown request=" + command.id());
            return;
        }
        Attempt attempt = create(request, command);
        request.addAttempt(attempt);
        if (isPointless(attempt)) {
            withhold(attempt);
        } else if (!connections.hasClient(attempt.invoker())) {
            completeLater(attempt, ExchangeResult.Kind.NOT_CONNECTED);
        } else {
            dispatcher.notifyClassifier(
                    new ClassifierEvent.AttemptRequested(
                            request.id(), attempt.number(), attempt.invoker()));
        }
    }

    private Attempt create(OpenRequest request, SchedulerCommand.ForwardAttempt command) {
        Attempt.Plan plan =
                new Attempt.Plan(
                        request.attempts().size(),
                        command.invoker(),
                        transport.nowMicros(),
                        giveUpAtMicros(request, command),
                        scheduler.estimateMicros(),
                        connections.isReadyToScheduler(command.invoker()));
        return new Attempt(request, plan, completionHandler);
    }

    /** The scheduler ends a request one tick before its deadline: nothing is outstanding later. */
    private long giveUpAtMicros(OpenRequest request, SchedulerCommand.ForwardAttempt command) {
        long latest = request.deadlineMicros() - settings.tickMicros();
        if (command.giveUpAtMicros() > 0) {
            return Math.min(command.giveUpAtMicros(), latest);
        }
        return latest;
    }

    private boolean isPointless(Attempt attempt) {
        long now = transport.nowMicros();
        return attempt.request().isCompleted()
                || now >= attempt.plan().giveUpAtMicros()
                || attempt.number() >= settings.limits().maxAttempts()
                || exceedsRetryBudget(attempt, now);
    }

    /** A retry is free where the attempt before it found no instance loaded. */
    private boolean exceedsRetryBudget(Attempt attempt, long now) {
        if (attempt.number() == 0) {
            return false;
        }
        Attempt previous = attempt.request().attempts().get(attempt.number() - 1);
        return previous.code() != ResponseCode.NOT_LOADED && !admission.admitsRetry(now);
    }

    /** Sends an attempt that the classifier lets pass. */
    void forward(ClassifierCommand.ForwardAttempt command) {
        OpenRequest request = openRequests.find(command.requestId());
        Attempt attempt = request.attempts().get(command.attempt());
        dispatcher.notifyPendingRequests(
                new PendingRequests.AttemptForwarded(request.id(), attempt.number()));
        Runnable cancellation =
                connections
                        .findClient(attempt.invoker())
                        .sendAttempt(
                                request.incoming(),
                                forwardedId(request),
                                attempt.number(),
                                attempt.plan().giveUpAtMicros() - transport.nowMicros(),
                                attempt);
        attempt.setCancellation(cancellation);
    }

    /** The id by which invokers recognise the attempts of one request. */
    private String forwardedId(OpenRequest request) {
        IncomingRequest incoming = request.incoming();
        if (incoming.forwardedRequestId() != null) {
            return incoming.forwardedRequestId();
        }
        if (incoming.idempotencyKey() != null) {
            return incoming.idempotencyKey().key();
        }
        return "c" + settings.controllerIndex() + "-" + request.id();
    }

    /** Ends an attempt that the classifier does not let pass. */
    void withhold(ClassifierCommand.WithholdAttempt command) {
        withhold(openRequests.find(command.requestId()).attempts().get(command.attempt()));
    }

    private void withhold(Attempt attempt) {
        completeLater(attempt, ExchangeResult.Kind.WITHHELD);
    }

    /** Ends an attempt once the present event has been handled. */
    private void completeLater(Attempt attempt, ExchangeResult.Kind kind) {
        transport.schedule(0, () -> attempt.completed(AttemptResult.of(kind)));
    }

    /** Cancels an attempt; does nothing where it is unknown or has not been sent. */
    void cancel(SchedulerCommand.CancelAttempt command) {
        OpenRequest request = openRequests.find(command.id());
        if (request == null) {
            return;
        }
        int number = command.attempt();
        if (number >= 0 && number < request.attempts().size()) {
            request.attempts().get(number).cancel();
        }
    }
}
