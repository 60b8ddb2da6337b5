package waytrestle.scheduler;

import java.util.List;
import java.util.Map;

/** What happens to a controller, as its scheduler is told. Times are in microseconds. */
public sealed interface SchedulerEvent {
    /** A number of concurrent requests that the invoker did not report. */
    int CONCURRENCY_NOT_REPORTED = -1;

    /** The tenant of a request where the settings know none. */
    int NO_TENANT = -1;

    /**
     * The endpoint list, complete or changes only.
     *
     * @param snapshot whether the entries are all there are; otherwise only those that changed
     * @param cached whether the list may be out of date
     */
    record EndpointsUpdated(boolean snapshot, boolean cached, List<InvokerEndpoint> entries)
            implements SchedulerEvent {}

    /** The endpoint list could not be fetched. */
    record EndpointUpdateFailed() implements SchedulerEvent {}

    /**
     * A new request. Work, memory, concurrency and load time are zero or negative where they are
     * not known.
     *
     * @param requestClass index of its class in the settings
     * @param tenant index of its tenant, or {@link #NO_TENANT}
     * @param concurrencyPerInstance requests that one instance of the function runs at a time
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
     * @param isFinal whether nothing more is owed for the request
     * @param concurrentRequests requests for the function at the invoker, or {@link
     *     #CONCURRENCY_NOT_REPORTED}
     * @param loadReport metrics by name, empty where none were reported
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
     * Service discovery was heard from, went out of reach or came back.
     *
     * @param receivedAtMicros from when on all that discovery holds counts as received here, unless
     *     it is heard from again; {@link #CURRENT} where that is not limited
     * @param catchingUp whether what is missing is being delivered
     */
    record ListFreshnessChanged(long receivedAtMicros, boolean catchingUp)
            implements SchedulerEvent {
        /** In place of a time: the endpoint list is current. */
        public static final long CURRENT = Long.MAX_VALUE;
    }

    /**
     * A health check ended.
     *
     * @param connectedSinceMicros since when there has always been a connection to the invoker; 0
     *     where that is not known
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
     * @param instances loaded instances of the function that the invoker reports
     */
    record PreloadCompleted(
            String invoker, String function, ResponseCode code, long elapsedMicros, int instances)
            implements SchedulerEvent {}

    /** Nobody waits for the request any more. */
    record RequestAbandoned(long id) implements SchedulerEvent {}

    /** A timer set by the scheduler expired. */
    record TimerExpired(SchedulerTimer timer) implements SchedulerEvent {}

    /** Another controller sent a message. */
    record GossipReceived(int peer, byte[] message) implements SchedulerEvent {}
}
