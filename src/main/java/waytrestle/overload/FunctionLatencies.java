package waytrestle.overload;

import java.util.Map;

/**
 * The response time of each function when its requests do not queue, estimated from the quickest
 * responses seen.
 *
 * <p>The functions not used for the longest time are forgotten first. Not thread-safe: used by the
 * controller's event loop.
 */
final class FunctionLatencies {
    /** Bounds the memory that many function names can take. */
    private static final int MAX_FUNCTIONS = 4_096;

    /**
     * Quicker functions count as this quick: what delays them for a few milliseconds is a pause of
     * some process, not a queue.
     */
    private static final double MIN_BASELINE_MICROS = 25_000;

    /** Fraction of the difference by which a quicker response lowers the baseline. */
    private static final double DECREASE_WEIGHT = 0.1;

    /**
     * Fraction by which the baseline grows in a second of slower responses. It grows by time and
     * not by responses, or a backlog would pass for the baseline within seconds.
     */
    private static final double GROWTH_PER_SECOND = 0.02;

    /** Longest time without a response that counts as growth. */
    private static final double MAX_GROWTH_SECONDS = 1;

    private static final class Baseline {
        /** Value of {@link #updatedAt} before the first response. */
        static final long NEVER = 0;

        double latencyMicros;
        long updatedAt = NEVER;

        void update(long nowMicros, long responseMicros) {
            if (updatedAt == NEVER) {
                latencyMicros = Math.max(1, responseMicros);
            } else if (responseMicros < latencyMicros) {
                latencyMicros += DECREASE_WEIGHT * (responseMicros - latencyMicros);
            } else {
                double elapsedSeconds = MicrosecondTime.toSeconds(nowMicros - updatedAt);
                latencyMicros *=
                        1 + GROWTH_PER_SECOND * Math.min(MAX_GROWTH_SECONDS, elapsedSeconds);
            }
            updatedAt = nowMicros;
        }

        double ratio(long responseMicros) {
            return responseMicros / Math.max(MIN_BASELINE_MICROS, latencyMicros);
        }
    }

    private final Map<String, Baseline> baselines = BoundedMap.inAccessOrder(MAX_FUNCTIONS);

    /**
     * Learns from a response time and returns it as a multiple of the function's baseline: about 1
     * where the request did not queue.
     */
    double recordAndGetRatio(long nowMicros, String function, long responseMicros) {
        Baseline baseline = baselines.computeIfAbsent(function, name -> new Baseline());
        baseline.update(nowMicros, responseMicros);
        return baseline.ratio(responseMicros);
    }
}
