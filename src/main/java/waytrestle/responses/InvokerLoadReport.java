package waytrestle.responses;

import java.util.Map;
import waytrestle.scheduler.StartKind;

/**
 * What an invoker reports of itself with a response.
 *
 * @param start what it reports of the instance; UNKNOWN if nothing
 * @param concurrentRequests requests of the function there; below 0 if not reported
 * @param metrics its load by metric name; empty if not reported
 */
public record InvokerLoadReport(
        StartKind start, int concurrentRequests, Map<String, Double> metrics) {
    /** Value of concurrent requests that were not reported. */
    public static final int CONCURRENCY_NOT_REPORTED = -1;

    /** A report of nothing. */
    public static final InvokerLoadReport EMPTY =
            new InvokerLoadReport(StartKind.UNKNOWN, CONCURRENCY_NOT_REPORTED, Map.of());
}
