package waytrestle.responses;

/**
 * Estimates the usual run time of a function, from the latencies of its faster responses, and its
 * usual load time. The run time is a low quantile of the latencies and not their mean, so that
 * responses that waited for a load or in a queue hardly raise it, whatever start kind an invoker
 * reports.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class LatencyBaseline {
    /** Quantile of the latencies that is taken as the time of a run without waiting. */
    private static final double RUN_QUANTILE = 0.3;

    /**
     * Final step size of the quantile estimate as a share of the run time; the estimate settles
     * within tens of responses.
     */
    private static final double STEP_SHARE = 0.08;

    /** Number of responses over which the step falls to its final size. */
    private static final double SETTLING_RESPONSES = 10.0;

    /** Weight of one measured load time in the average; high, because few loads are measured. */
    private static final double LOAD_EWMA_WEIGHT = 0.2;

    /** Responses needed before the run time is used. */
    private static final int MIN_RESPONSES = 8;

    private double runMicros;
    private double loadMicros;
    private int responses;
    private int measuredLoads;

    /** Records the latency of a served response. */
    void addResponse(long latencyMicros) {
        responses++;
        if (responses == 1) {
            runMicros = Math.max(1, latencyMicros);
            return;
        }
        double step = STEP_SHARE * Math.max(1, SETTLING_RESPONSES / responses);
        if (latencyMicros < runMicros) {
            runMicros *= 1 - step * (1 - RUN_QUANTILE);
        } else {
            runMicros *= 1 + step * RUN_QUANTILE;
        }
        runMicros = Math.max(1, runMicros);
    }

    /** Records a measured load time. */
    void addLoad(long elapsedMicros) {
        if (measuredLoads == 0) {
            loadMicros = elapsedMicros;
        } else {
            loadMicros += LOAD_EWMA_WEIGHT * (elapsedMicros - loadMicros);
        }
        measuredLoads++;
    }

    /** Returns whether there were enough responses to use the run time. */
    boolean isKnown() {
        return responses >= MIN_RESPONSES;
    }

    /** Returns the usual time of a run without waiting. */
    double runMicros() {
        return runMicros;
    }

    /** Returns the number of measured loads. */
    int measuredLoads() {
        return measuredLoads;
    }

    /** Returns the average measured load time, or the declared one if no load was measured. */
    double loadMicros(long declaredMicros) {
        return measuredLoads > 0 ? loadMicros : declaredMicros;
    }
}
