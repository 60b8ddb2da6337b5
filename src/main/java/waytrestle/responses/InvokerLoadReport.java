package waytrestle.responses;

import java.util.Map;
import waytrestle.scheduler.StartKind;

/**
 * The state that an invoker reports of itself with a response.
 *
 * @param start whether the instance was loaded for the request; UNKNOWN if not reported
 * @param concurrentRequests number of requests of the function in flight at the invoker; negative
 *     if not reported
 * @param metrics load of the invoker by metric name; empty if not reported
 */
public record InvokerLoadReport(
        StartKind start, int concurrentRequests, Map<String, Double> metrics) {
    /** Value of {@code concurrentRequests} if they are not reported. */
    public static final int CONCURRENCY_NOT_REPORTED = -1;

    /** A report without any values. */
    public static final InvokerLoadReport EMPTY =
            new InvokerLoadReport(StartKind.UNKNOWN, CONCURRENCY_NOT_REPORTED, Map.of());
}
