package waytrestle.responses;

/**
 * The usual latency of a function's quicker responses, and its usual load time. A quantile and not
 * a mean, since responses that waited for a load or in a queue must not pass for mere runs,
 * whatever an invoker reports of them.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class LatencyBaseline {
    /** Quantile of the latencies taken for a run without waiting. */
    private static final double RUN_QUANTILE = 0.3;

    /** Share of the value by which a response moves it: tens of responses settle it. */
    private static final double STEP_SHARE = 0.08;

    /** Responses in which the step falls to its final size. */
    private static final double SETTLING_RESPONSES = 10.0;

    /** Weight of a load time: few loads are measured. */
    private static final double LOAD_EWMA_WEIGHT = 0.2;

    /** Responses before the run time is used. */
    private static final int MIN_RESPONSES = 8;

    private double runMicros;
    private double loadMicros;
    private int responses;
    private int loads;

    /** Takes in the latency of a served response. */
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

    /** Takes in a measured load time. */
    void addLoad(long elapsedMicros) {
        if (loads == 0) {
            loadMicros = elapsedMicros;
        } else {
            loadMicros += LOAD_EWMA_WEIGHT * (elapsedMicros - loadMicros);
        }
        loads++;
    }

    /** Whether there were responses enough to go by the run time. */
    boolean isKnown() {
        return responses >= MIN_RESPONSES;
    }

    /** Usual time of a run without waiting. */
    double runMicros() {
        return runMicros;
    }

    /** Loads measured so far. */
    int measuredLoads() {
        return loads;
    }

    /** Measured load time, or the declared one while none was measured. */
    double loadMicros(long declaredMicros) {
        return loads > 0 ? loadMicros : declaredMicros;
    }
}
