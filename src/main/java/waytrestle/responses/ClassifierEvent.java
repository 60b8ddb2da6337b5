package waytrestle.responses;

import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;

/** What a response classifier is notified of. Times are in microseconds. */
public sealed interface ClassifierEvent {
    /** A new request, with what the configuration declares of its function; 0 is undeclared. */
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
     * @param functionResponded whether the function served or rejected it
     */
    record RequestCompleted(long requestId, boolean functionResponded) implements ClassifierEvent {}

    /**
     * A preload request ended.
     *
     * @param loadedInstances loaded instances that the invoker reports; below 0 if it reports none
     */
    record PreloadCompleted(
            String invoker,
            String function,
            ExchangeResult result,
            int loadedInstances,
            long elapsedMicros,
            long declaredLoadMicros)
            implements ClassifierEvent {}

    /** The endpoint list of service discovery, complete or changes only. */
    record EndpointListReceived(EndpointsUpdated update) implements ClassifierEvent {}

    /** An invoker closed all cached connections, though they were used a moment ago. */
    record ConnectionsLost(String invoker) implements ClassifierEvent {}

    /** The time of an earlier {@link ClassifierCommand.SetTimer} has come. */
    record TimerExpired() implements ClassifierEvent {}
}
