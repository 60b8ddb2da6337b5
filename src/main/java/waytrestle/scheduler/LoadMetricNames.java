package waytrestle.scheduler;

/** Names of the metrics that the scheduler reads from load reports. */
public final class LoadMetricNames {
    /** Number of requests at the invoker, running and waiting. */
    public static final String IN_FLIGHT = "inflight";

    /** Number of requests that wait at the invoker. */
    public static final String QUEUED = "queue";

    /** Number of loads under way at the invoker. */
    public static final String LOADING = "x1";

    private LoadMetricNames() {}
}
