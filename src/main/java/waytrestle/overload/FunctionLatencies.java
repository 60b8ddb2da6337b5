package waytrestle.overload;

import java.util.Map;

/**
 * Estimates the baseline latency of each function: its response time when requests do not queue. A
 * quicker response lowers the baseline; otherwise the baseline grows slowly with time.
 *
 * <p>Beyond {@link #MAX_FUNCTIONS} functions, the baseline of the least recently used function is
 * dropped.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class FunctionLatencies {
    /** Maximum functions with a baseline; bounds the memory that many function names can take. */
    private static final int MAX_FUNCTIONS = 4_096;

    /**
     * Smallest baseline that a response time is compared with. A delay of a few milliseconds is a
     * pause of some process, not queueing, and must not raise the ratio of a quick function.
     */
    private static final double MIN_BASELINE_MICROS = 25_000;

    /** Fraction of the difference by which a quicker response lowers the baseline. */
    private static final double DECREASE_WEIGHT = 0.1;

    /**
     * Fraction by which the baseline grows per second while no response is quicker than it. Growth
     * per response instead of per second would turn the latency of a backlog into the baseline
     * within seconds.
     */
    private static final double GROWTH_PER_SECOND = 0.02;

    /** Maximum time between two responses for which the baseline grows. */
    private static final double MAX_GROWTH_SECONDS = 1;

    /** The baseline latency of one function. */
    private static final class Baseline {
        /** Value of {@link #updatedAtMicros} before the first response. */
        static final long NEVER = 0;

        double latencyMicros;
        long updatedAtMicros = NEVER;

        void update(long nowMicros, long responseMicros) {
            if (updatedAtMicros == NEVER) {
                latencyMicros = Math.max(1, responseMicros);
            } else if (responseMicros < latencyMicros) {
                latencyMicros += DECREASE_WEIGHT * (responseMicros - latencyMicros);
            } else {
                double elapsedSeconds = MicrosecondTime.toSeconds(nowMicros - updatedAtMicros);
                latencyMicros *=
                        1 + GROWTH_PER_SECOND * Math.min(MAX_GROWTH_SECONDS, elapsedSeconds);
            }
            updatedAtMicros = nowMicros;
        }

        double ratio(long responseMicros) {
            return responseMicros / Math.max(MIN_BASELINE_MICROS, latencyMicros);
        }
    }

    private final Map<String, Baseline> baselines = BoundedMap.inAccessOrder(MAX_FUNCTIONS);

    /**
     * Updates the function's baseline with a response time and returns the ratio of the response
     * time to the baseline: about 1, or less, if the request did not queue.
     */
    double recordAndGetRatio(long nowMicros, String function, long responseMicros) {
        Baseline baseline = baselines.computeIfAbsent(function, newFunction -> new Baseline());
        baseline.update(nowMicros, responseMicros);
        return baseline.ratio(responseMicros);
    }
}
