package waytrestle.responses;

import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;

/** What a response classifier is notified of. Times are in microseconds. */
public sealed interface ClassifierEvent {
    /**
     * A new request, with the concurrency per instance, the load time and the run time that the
     * configuration declares for its function; each is 0 if not declared.
     */
    record RequestStarted(
            long requestId,
            String function,
            int declaredConcurrencyPerInstance,
            long declaredLoadMicros,
            long declaredWorkMicros)
            implements ClassifierEvent {}

    /** The scheduler wants an attempt to be sent. */
    record AttemptRequested(long requestId, int attempt, String invoker)
            implements ClassifierEvent {}

    /** An attempt ended. */
    record AttemptCompleted(
            long requestId, int attempt, ExchangeResult result, InvokerLoadReport loadReport)
            implements ClassifierEvent {}

    /**
     * A request has ended for its clients.
     *
     * @param functionResponded whether the function served or rejected the request
     */
    record RequestCompleted(long requestId, boolean functionResponded) implements ClassifierEvent {}

    /**
     * A preload request ended.
     *
     * @param loadedInstances number of loaded instances that the invoker reports; negative if not
     *     reported
     * @param elapsedMicros time from the send of the preload request to its end
     * @param declaredLoadMicros load time that the configuration declares for the function; 0 for
     *     none
     */
    record PreloadCompleted(
            String invoker,
            String function,
            ExchangeResult result,
            int loadedInstances,
            long elapsedMicros,
            long declaredLoadMicros)
            implements ClassifierEvent {}

    /** Service discovery sent a complete endpoint list or only changes to it. */
    record EndpointListReceived(EndpointsUpdated update) implements ClassifierEvent {}

    /** An invoker closed all cached connections to it, although they were in use shortly before. */
    record ConnectionsLost(String invoker) implements ClassifierEvent {}

    /** The time of an earlier {@link ClassifierCommand.SetTimer} has passed. */
    record TimerExpired() implements ClassifierEvent {}
}
