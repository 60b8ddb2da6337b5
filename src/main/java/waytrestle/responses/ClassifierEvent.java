package waytrestle.responses;

import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;

/** What a response classifier is told. Times are in microseconds. */
public sealed interface ClassifierEvent {
    /** A new call, with what the configuration tells of its function; 0 is untold. */
    record RequestStarted(
            long requestId,
            String function,
            int concurrencyPerInstance,
            long loadMicros,
            long workMicros)
            implements ClassifierEvent {}

    /** The module wants an attempt to go out. */
    record AttemptRequested(long requestId, int attempt, String invoker)
            implements ClassifierEvent {}

    /** An attempt ended. */
    record AttemptCompleted(
            long requestId, int attempt, ExchangeResult result, InvokerLoadReport loadReport)
            implements ClassifierEvent {}

    /** A call has ended for its clients; served or rejected says that the function had its word. */
    record RequestCompleted(long requestId, boolean functionResponded) implements ClassifierEvent {}

    /** A load order ended; copies below 0 were not told. */
    record PreloadCompleted(
            String invoker,
            String function,
            ExchangeResult result,
            int instances,
            long elapsedMicros,
            long declaredLoadMicros)
            implements ClassifierEvent {}

    /** The roster's list, whole or changes. */
    record EndpointListReceived(EndpointsUpdated update) implements ClassifierEvent {}

    /** All kept connections to an invoker were closed by it, though used a moment ago. */
    record ConnectionsLost(String invoker) implements ClassifierEvent {}

    /** The time of an earlier Wake has come. */
    record TimerExpired() implements ClassifierEvent {}
}
