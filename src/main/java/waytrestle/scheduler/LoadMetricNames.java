package waytrestle.scheduler;

/** Names of the metrics in load reports that the scheduler uses, as the settings name them. */
public final class LoadMetricNames {
    /** Requests at the invoker, waiting ones included. */
    public static final String IN_FLIGHT = "inflight";

    /** Requests that wait there. */
    public static final String QUEUED = "queue";

    /** Loads under way there. */
    public static final String LOADING = "x1";

    private LoadMetricNames() {}
}
