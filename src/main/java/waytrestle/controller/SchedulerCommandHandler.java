package waytrestle.controller;

import waytrestle.requests.PendingRequests;
import waytrestle.scheduler.RequestScheduler;
import waytrestle.scheduler.SchedulerCommand;
import waytrestle.scheduler.SchedulerEvent;
import waytrestle.scheduler.SchedulerTimer;

/**
 * Carries out the commands of the scheduler.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class SchedulerCommandHandler {
    private final Transport transport;
    private final RequestScheduler scheduler;
    private final EventDispatcher dispatcher;
    private final OpenRequests openRequests;
    private final AttemptSender attemptSender;
    private final InvokerOperations operations;
    private final ControllerListener listener;
    private final ControllerEnvironment environment;

    SchedulerCommandHandler(
            Transport transport,
            RequestScheduler scheduler,
            EventDispatcher dispatcher,
            OpenRequests openRequests,
            AttemptSender attemptSender,
            InvokerOperations operations,
            ControllerListener listener,
            ControllerEnvironment environment) {
        this.transport = transport;
        this.scheduler = scheduler;
        this.dispatcher = dispatcher;
        this.openRequests = openRequests;
        this.attemptSender = attemptSender;
        this.operations = operations;
        this.listener = listener;
        this.environment = environment;
    }

    /** Carries out one command. */
    void execute(SchedulerCommand command) {
        if (command instanceof SchedulerCommand.ForwardAttempt forward) {
            attemptSender.requestAttempt(forward);
        } else if (command instanceof SchedulerCommand.SetTimer timer) {
            setTimer(timer);
        } else if (command instanceof SchedulerCommand.RejectRequest reject) {
            rejectRequest(reject);
        } else if (command instanceof SchedulerCommand.FailRequest fail) {
            failRequest(fail);
        } else if (command instanceof SchedulerCommand.CancelAttempt cancel) {
            attemptSender.cancel(cancel);
        } else if (command instanceof SchedulerCommand.PreloadFunction preload) {
            operations.preload(preload);
        } else if (command instanceof SchedulerCommand.UnloadFunction unload) {
            operations.unload(unload);
        } else if (command instanceof SchedulerCommand.CheckHealth check) {
            operations.checkHealth(check);
        } else if (command instanceof SchedulerCommand.CloseIdleConnections close) {
            operations.closeIdleConnections(close);
        } else if (command instanceof SchedulerCommand.SendGossip gossip) {
            environment.sendGossip(gossip.peer(), gossip.message());
        } else if (command instanceof SchedulerCommand.SubscribeToEndpoints subscribe) {
            environment.subscribe(subscribe.enabled());
        } else if (command instanceof SchedulerCommand.FetchEndpoints) {
            environment.fetchEndpoints();
        } else if (command instanceof SchedulerCommand.LogMessage message) {
            listener.logMessage(message.text());
        }
    }

    private void setTimer(SchedulerCommand.SetTimer command) {
        if (command.timer() instanceof SchedulerTimer.RequestTimer timer) {
            setRequestTimer(command, timer);
        } else {
            schedule(command);
        }
    }

    /** Sets a timer of a request, unless the request has ended for its clients. */
    private void setRequestTimer(
            SchedulerCommand.SetTimer command, SchedulerTimer.RequestTimer timer) {
        OpenRequest request = openRequests.find(timer.requestId());
        if (request == null || request.isCompleted()) {
            return;
        }
        if (timer instanceof SchedulerTimer.RequestDeadline) {
            request.timers().setDeadline(schedule(command));
        } else {
            request.timers().setRetry(schedule(command));
        }
    }

    private Transport.ScheduledTask schedule(SchedulerCommand.SetTimer command) {
        return transport.schedule(
                command.afterMicros(),
                () ->
                        dispatcher.dispatchToScheduler(
                                new SchedulerEvent.TimerExpired(command.timer())));
    }

    private void rejectRequest(SchedulerCommand.RejectRequest command) {
        dispatcher.notifyPendingRequests(
                new PendingRequests.SchedulerRejectedRequest(
                        command.id(), command.retryAfterMicros(), scheduler.estimateMicros()));
        openRequests.complete(command.id());
    }

    private void failRequest(SchedulerCommand.FailRequest command) {
        dispatcher.notifyPendingRequests(new PendingRequests.SchedulerFailedRequest(command.id()));
        openRequests.complete(command.id());
    }
}
