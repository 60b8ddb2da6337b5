package waytrestle.responses;

/**
 * The usual time of a function's quicker answers and of its loads. A quantile and not a mean, since
 * answers that waited for a load or a lane must not pass for runs, whatever an invoker says of
 * them.
 */
final class LatencyBaseline {
    // ---- Tuned numbers. ----
    private static final double QUICK = 0.3; // quantile taken for a run without waiting
    private static final double STEP =
            0.08; // of the value, by which an answer moves it: tens of answers settle it
    private static final double NEWS = 0.2; // weight of a load: few are seen
    private static final int KNOWN = 8; // answers before it is used

    private double run, load;
    private int runs, loads;

    void answered(long took) {
        if (runs++ == 0) {
            run = Math.max(1, took);
        } else {
            double step = STEP * Math.max(1, 10.0 / runs);
            run *= took < run ? 1 - step * (1 - QUICK) : 1 + step * QUICK;
            run = Math.max(1, run);
        }
    }

    void loaded(long took) {
        load = loads++ == 0 ? took : load + NEWS * (took - load);
    }

    boolean known() {
        return runs >= KNOWN;
    }

    double run() {
        return run;
    }

    int loads() {
        return loads;
    }

    /** Measured load time, or what was told of it while there is none. */
    double load(long told) {
        return loads > 0 ? load : told;
    }
}
