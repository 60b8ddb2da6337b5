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
 * Observes a controller, for metrics and logs; no decision depends on it. All methods are called on
 * the controller's event loop. Durations are in microseconds.
 */
public interface ControllerListener {
    /**
     * Called when a request has ended for one of its clients.
     *
     * @param outcomeLabel how the request ended, as a label of metrics: served, refused, failed or
     *     left
     * @param reasonLabel label of the reason; empty without one
     * @param elapsedMicros time since the client's request was accepted; 0 where the client
     *     disconnected
     */
    default void requestCompleted(
            IncomingRequest request, String outcomeLabel, String reasonLabel, long elapsedMicros) {}

    /**
     * Called when an attempt has ended, also for one that was never sent.
     *
     * @param elapsedMicros time from the scheduler's decision to the end
     */
    default void attemptCompleted(
            ResponseCode code, String invoker, ExchangeResult result, long elapsedMicros) {}

    /**
     * Called when a request has the idempotency key of an earlier request, and so is not run.
     *
     * @param kind whether the client joins the earlier request or is answered at once
     */
    default void requestRepeated(IncomingRequest request, PendingRequests.RepeatKind kind) {}

    /**
     * Called with each call of {@link #attemptCompleted}, with the request that the attempt belongs
     * to instead of the exchange: for logs that follow single requests.
     *
     * @param attempt number of the attempt within the request, counted from 0
     */
    default void requestAttemptCompleted(
            IncomingRequest request, int attempt, String invoker, ResponseCode code) {}

    /**
     * Called when the send guard has refused an attempt right before it was to be sent.
     *
     * @param attempt number of the attempt within the request, counted from 0
     */
    default void sendRefused(
            IncomingRequest request, int attempt, String invoker, SendGuard.Refusal reason) {}

    /** The kinds of message that begin new work at an invoker. */
    enum WorkKind {
        ATTEMPT,
        PRELOAD
    }

    /**
     * Called when new work was sent though the endpoint list had been outdated for longer than the
     * drain grace.
     */
    default void sentOnExpiredList(WorkKind kind) {}

    /**
     * Called when an attempt was sent late because the process was stopped between the last check
     * and the send: the invoker may have begun draining meanwhile.
     *
     * @param attempt number of the attempt within the request, counted from 0
     * @param delayMicros time from the last check to the send
     */
    default void attemptSendDelayed(
            IncomingRequest request, int attempt, String invoker, long delayMicros) {}

    /**
     * Called when a preload request was sent late because the process was stopped between the last
     * check and the send: the invoker may have begun draining meanwhile.
     *
     * @param delayMicros time from the last check to the send
     */
    default void preloadSendDelayed(String invoker, String function, long delayMicros) {}

    /**
     * Called when a preload request has ended, also one that only asked for the number of loaded
     * instances.
     */
    default void preloadCompleted(String invoker, String function, ResponseCode code) {}

    /** Called when a health check has ended. */
    default void healthCheckCompleted(String invoker, ResponseCode code) {}

    /**
     * Called when a preload request was not held back by the limit on preloads after a start; it
     * may still not be sent.
     */
    default void preloadAdmitted() {}

    /** Called when an invoker is ejected as an outlier for the given duration. */
    default void invokerEjected(String invoker, long durationMicros) {}

    /** Called when an ejected invoker gets requests again. */
    default void invokerReadmitted(String invoker) {}

    /** Called when an invoker lacks or never reports a capability that the settings declare. */
    default void capabilityWarning(ClassifierCommand.WarnOfMissingCapability warning) {}

    /** Called when an invoker is no longer listed; nothing about it needs to be kept. */
    default void invokerRemoved(String invoker) {}

    /**
     * Called when the scheduler threw an exception or a stack overflow while handling an event.
     *
     * @param event the event that the scheduler was handling
     * @param recentEvents the latest events, of which {@code event} is the last, to replay the
     *     failure; valid only during this call
     */
    void decisionFailed(
            SchedulerEvent event, Collection<SchedulerEvent> recentEvents, Throwable cause);

    /** Writes a line to the log. */
    void logMessage(String text);
}
