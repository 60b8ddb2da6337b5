package waytrestle.controller;

import java.util.Collection;
import waytrestle.requests.PendingRequests;
import waytrestle.scheduler.SchedulerEvent;
import waytrestle.scheduler.SchedulerEvent.AttemptCompleted;
import waytrestle.scheduler.SchedulerEvent.RequestAbandoned;
import waytrestle.scheduler.SchedulerEvent.RequestReceived;
import waytrestle.scheduler.SchedulerEvent.StreamStarted;

/**
 * Handles a failed decision, an event on which the scheduler threw: fails the request of the event,
 * notifies the scheduler that the request is abandoned, and reports too many failures to the
 * environment. Commands that the scheduler gave before it threw stay valid.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class SchedulerFailureHandler implements SchedulerEventLoop.FailureHandler {
    /** Stands for the request id of an event that belongs to no request; request ids begin at 1. */
    private static final long NO_REQUEST = 0;

    private final Transport transport;
    private final EventDispatcher dispatcher;
    private final OpenRequests openRequests;
    private final FailureThreshold failureThreshold;
    private final ControllerListener listener;
    private final ControllerEnvironment environment;

    SchedulerFailureHandler(
            Transport transport,
            EventDispatcher dispatcher,
            OpenRequests openRequests,
            FailureThreshold failureThreshold,
            ControllerListener listener,
            ControllerEnvironment environment) {
        this.transport = transport;
        this.dispatcher = dispatcher;
        this.openRequests = openRequests;
        this.failureThreshold = failureThreshold;
        this.listener = listener;
        this.environment = environment;
    }

    @Override
    public void schedulerThrew(
            SchedulerEvent event, Collection<SchedulerEvent> recentEvents, Throwable cause) {
        listener.decisionFailed(event, recentEvents, cause);
        long requestId = requestIdOf(event);
        if (requestId != NO_REQUEST) {
            dispatcher.notifyPendingRequests(new PendingRequests.SchedulerThrew(requestId));
            openRequests.complete(requestId);
            dispatcher.enqueueForScheduler(new RequestAbandoned(requestId));
        }
        if (failureThreshold.recordFailure(transport.nowMicros())) {
            environment.schedulerFailed("more than " + failureThreshold.description());
        }
    }

    private static long requestIdOf(SchedulerEvent event) {
        if (event instanceof RequestReceived received) {
            return received.id();
        }
        if (event instanceof AttemptCompleted completed) {
            return completed.id();
        }
        if (event instanceof StreamStarted started) {
            return started.id();
        }
        return NO_REQUEST;
    }
}
