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
 * Creates, sends, withholds and cancels the attempts that the scheduler decides on. Each attempt is
 * reported as ended exactly once, also one that is never sent.
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

    /**
     * Creates an attempt that the scheduler decided on, and has the classifier decide whether it is
     * sent. An attempt that cannot be of use or has no invoker client ends unsent.
     */
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

    /**
     * Returns when the attempt is given up, on the monotonic clock. The scheduler ends a request
     * one tick before its deadline, so no attempt may be outstanding later than that.
     */
    private long giveUpAtMicros(OpenRequest request, SchedulerCommand.ForwardAttempt command) {
        long latestMicros = request.deadlineMicros() - settings.tickMicros();
        if (command.giveUpAtMicros() > 0) {
            return Math.min(command.giveUpAtMicros(), latestMicros);
        }
        return latestMicros;
    }

    private boolean isPointless(Attempt attempt) {
        long nowMicros = transport.nowMicros();
        return attempt.request().isCompleted()
                || nowMicros >= attempt.plan().giveUpAtMicros()
                || attempt.number() >= settings.limits().maxAttempts()
                || exceedsRetryBudget(attempt, nowMicros);
    }

    /**
     * Returns whether the attempt is a retry that admission control does not admit. A retry after
     * an attempt that found no instance loaded does not count against the retry budget.
     */
    private boolean exceedsRetryBudget(Attempt attempt, long nowMicros) {
        if (attempt.number() == 0) {
            return false;
        }
        Attempt previous = attempt.request().attempts().get(attempt.number() - 1);
        return previous.code() != ResponseCode.NOT_LOADED && !admission.admitsRetry(nowMicros);
    }

    /** Sends an attempt that the classifier has allowed. */
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
                                forwardedRequestId(request),
                                attempt.number(),
                                attempt.plan().giveUpAtMicros() - transport.nowMicros(),
                                attempt);
        attempt.setCancellation(cancellation);
    }

    /**
     * Returns the id by which invokers recognise all attempts of one request: the forwarded id,
     * else the idempotency key, else one that is unique among the controllers.
     */
    private String forwardedRequestId(OpenRequest request) {
        IncomingRequest incoming = request.incoming();
        if (incoming.forwardedRequestId() != null) {
            return incoming.forwardedRequestId();
        }
        if (incoming.idempotencyKey() != null) {
            return incoming.idempotencyKey().key();
        }
        return "c" + settings.controllerIndex() + "-" + request.id();
    }

    /** Ends an attempt that the classifier has not allowed. */
    void withhold(ClassifierCommand.WithholdAttempt command) {
        withhold(openRequests.find(command.requestId()).attempts().get(command.attempt()));
    }

    private void withhold(Attempt attempt) {
        completeLater(attempt, ExchangeResult.Kind.WITHHELD);
    }

    /**
     * Ends an attempt that was not sent. The end is scheduled as a task of its own, since the
     * handling of the current event must be complete before it.
     */
    private void completeLater(Attempt attempt, ExchangeResult.Kind kind) {
        transport.schedule(0, () -> attempt.completed(AttemptResult.of(kind)));
    }

    /**
     * Cancels an attempt; does nothing where the request or the attempt is unknown, or no invoker
     * client has taken the attempt over.
     */
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
