package waytrestle.controller;

import java.util.Collection;
import waytrestle.requests.PendingRequests;
import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.requests.SendGuard;
import waytrestle.responses.ClassifierCommand;
import waytrestle.responses.ExchangeResult;
import waytrestle.scheduler.ResponseCode;
import waytrestle.scheduler.SchedulerEvent;

/**
 * Observes a controller, for metrics and logs; no decision depends on it. Called on the
 * controller's event loop.
 */
public interface ControllerListener {
    /**
     * A request has ended for a client.
     *
     * @param end the label of how it ended: served, refused, failed or left
     * @param reason the label of the reason, empty without one
     * @param micros the time since the request was accepted; 0 where its client disconnected
     */
    default void requestCompleted(
            IncomingRequest request, String end, String reason, long micros) {}

    /** An attempt has ended, also one that was never sent. */
    default void attemptCompleted(
            ResponseCode code, String invoker, ExchangeResult result, long micros) {}

    /** A request came again with the identity of an earlier one, and is not run again. */
    default void requestRepeated(IncomingRequest request, PendingRequests.RepeatKind kind) {}

    /**
     * An attempt has ended, also one that was never sent; with what it takes to follow its request.
     *
     * @param attempt its number within the request
     */
    default void requestAttemptCompleted(
            IncomingRequest request, int attempt, String invoker, ResponseCode code) {}

    /**
     * The guard has held an attempt back.
     *
     * @param attempt its number within the request
     */
    default void sendRefused(
            IncomingRequest request, int attempt, String invoker, SendGuard.Refusal reason) {}

    /** What is sent to an invoker and begins new work there. */
    enum WorkKind {
        ATTEMPT,
        PRELOAD
    }

    /**
     * New work was sent though the endpoint list has been outdated for longer than the drain grace.
     */
    default void sentOnExpiredList(WorkKind kind) {}

    /**
     * An attempt was sent so long after its last check, since the process was stopped between the
     * two: it may have come to an invoker that drained meanwhile.
     */
    default void attemptSendDelayed(
            IncomingRequest request, int attempt, String invoker, long micros) {}

    /** A preload request was sent so long after its last check, likewise. */
    default void preloadSendDelayed(String invoker, String function, long micros) {}

    /** A preload request, or a question for loaded instances, has ended. */
    default void preloadCompleted(String invoker, String function, ResponseCode code) {}

    /** A health check has ended. */
    default void healthCheckCompleted(String invoker, ResponseCode code) {}

    /** A preload request has passed the limit that holds after a start. */
    default void preloadAdmitted() {}

    /** An invoker is ejected as an outlier for this time. */
    default void invokerEjected(String invoker, long micros) {}

    /** An ejected invoker gets requests again. */
    default void invokerReadmitted(String invoker) {}

    /** An invoker breaks or never reports a capability that the settings declare. */
    default void capabilityWarning(ClassifierCommand.WarnOfMissingCapability warning) {}

    /** An invoker is gone; nothing of it needs to be kept. */
    default void invokerRemoved(String invoker) {}

    /**
     * A decision of the scheduler threw.
     *
     * @param recentEvents the last events up to and including the failed one, to replay it; valid
     *     only during this method
     */
    void decisionFailed(
            SchedulerEvent event, Collection<SchedulerEvent> recentEvents, Throwable cause);

    /** A line for the log. */
    void logMessage(String text);
}
