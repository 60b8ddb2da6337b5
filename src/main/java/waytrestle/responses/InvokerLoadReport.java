package waytrestle.responses;

import java.util.Map;
import waytrestle.scheduler.StartKind;

/**
 * What an invoker says of itself beside an answer. A company below 0 and an UNKNOWN start mean
 * untold.
 */
public record InvokerLoadReport(
        StartKind start, int concurrentRequests, Map<String, Double> metrics) {
    public static final InvokerLoadReport EMPTY =
            new InvokerLoadReport(StartKind.UNKNOWN, -1, Map.of());
}
