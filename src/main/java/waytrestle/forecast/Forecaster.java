package waytrestle.forecast;

/**
 * Forecasts one function's calls a bucket from its counts so far. Free of I/O, clock and threads:
 * counts are told in the order of their buckets, a bucket without calls as nought.
 */
public interface Forecaster {
    /**
     * A range in which the count is expected to lie four times of five, and the middle; unknown
     * when nothing is said.
     */
    record PredictionInterval(double low, double median, double high, boolean known) {
        public static final PredictionInterval UNKNOWN = new PredictionInterval(0, 0, 0, false);
    }

    /** A bucket has passed with so many calls. */
    void observe(long bucket, double calls);

    /** What a later bucket is expected to bring. */
    PredictionInterval forecast(long bucket);

    /**
     * The pinball loss of a range against what came, over its three quantiles of 0.1, 0.5 and 0.9:
     * less is better.
     */
    static double pinballLoss(PredictionInterval range, double came) {
        return (loss(0.1, range.low(), came)
                        + loss(0.5, range.median(), came)
                        + loss(0.9, range.high(), came))
                / 3;
    }

    private static double loss(double quantile, double told, double came) {
        return came >= told ? quantile * (came - told) : (1 - quantile) * (told - came);
    }
}
