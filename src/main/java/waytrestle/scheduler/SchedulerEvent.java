package waytrestle.scheduler;

import java.util.List;
import java.util.Map;

/** An event at a controller that its scheduler is told of. Times are in microseconds. */
public sealed interface SchedulerEvent {
    /** Value of {@link AttemptCompleted#concurrentRequests} if the invoker did not report it. */
    int CONCURRENCY_NOT_REPORTED = -1;

    /** Value of {@link RequestReceived#tenant} if the settings name no such tenant. */
    int NO_TENANT = -1;

    /**
     * The endpoint list arrived, complete or only its changes.
     *
     * @param snapshot whether the entries are the complete list; otherwise only the changed ones
     * @param cached whether the list may be outdated
     */
    record EndpointsUpdated(boolean snapshot, boolean cached, List<InvokerEndpoint> entries)
            implements SchedulerEvent {}

    /** The endpoint list could not be fetched. */
    record EndpointUpdateFailed() implements SchedulerEvent {}

    /**
     * A request arrived. Work, memory, concurrency and load time are zero or negative if unknown.
     *
     * @param requestClass index of its class in the settings
     * @param tenant index of its tenant, or {@link #NO_TENANT}
     * @param function id of the function
     * @param timeLeftMicros time until the request's deadline
     * @param workMicros expected run time
     * @param concurrencyPerInstance requests that one instance of the function runs at a time
     * @param loadMicros expected load time of the function
     * @param retry whether the client has sent the request before
     * @param write whether the request changes data
     */
    record RequestReceived(
            long id,
            int requestClass,
            int tenant,
            String function,
            long timeLeftMicros,
            long workMicros,
            double memoryMb,
            int concurrencyPerInstance,
            long loadMicros,
            boolean retry,
            boolean write)
            implements SchedulerEvent {}

    /**
     * An attempt ended.
     *
     * @param attempt number of the attempt among those of the request, from 0
     * @param isFinal whether the request needs no further decision
     * @param concurrentRequests requests for the function at the invoker, or {@link
     *     #CONCURRENCY_NOT_REPORTED}
     * @param loadReport load metrics by name; empty if none were reported
     */
    record AttemptCompleted(
            long id,
            int attempt,
            String invoker,
            ResponseCode code,
            boolean isFinal,
            long elapsedMicros,
            StartKind start,
            int concurrentRequests,
            Map<String, Double> loadReport)
            implements SchedulerEvent {}

    /** The first part of a streamed response has been passed to the client. */
    record StreamStarted(long id, int attempt, String invoker, long elapsedMicros)
            implements SchedulerEvent {}

    /**
     * Service discovery reported, became unreachable or became reachable again.
     *
     * @param receivedAtMicros when the endpoint list counts as last received unless service
     *     discovery reports again, on the scheduler's clock; may lie ahead; {@link #CURRENT} if the
     *     list does not become outdated
     * @param catchingUp whether the missed changes are being delivered
     */
    record ListFreshnessChanged(long receivedAtMicros, boolean catchingUp)
            implements SchedulerEvent {
        /** Value of {@link #receivedAtMicros} if the endpoint list does not become outdated. */
        public static final long CURRENT = Long.MAX_VALUE;
    }

    /**
     * A health check ended.
     *
     * @param connectedSinceMicros time since which there has always been a connection to the
     *     invoker, on the scheduler's clock; 0 if unknown
     */
    record HealthCheckCompleted(
            String invoker,
            ResponseCode code,
            long elapsedMicros,
            Map<String, Double> loadReport,
            long connectedSinceMicros)
            implements SchedulerEvent {}

    /**
     * A preload request ended.
     *
     * @param instances number of loaded instances of the function that the invoker reports
     */
    record PreloadCompleted(
            String invoker, String function, ResponseCode code, long elapsedMicros, int instances)
            implements SchedulerEvent {}

    /** The client no longer waits for the response to the request. */
    record RequestAbandoned(long id) implements SchedulerEvent {}

    /** A timer set by the scheduler expired. */
    record TimerExpired(SchedulerTimer timer) implements SchedulerEvent {}

    /** Another controller sent a message. */
    record GossipReceived(int peer, byte[] message) implements SchedulerEvent {}
}
