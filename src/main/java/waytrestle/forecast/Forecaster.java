package waytrestle.forecast;

/**
 * Forecasts the number of requests of one function in a later time bucket from its counts in past
 * buckets. Time is divided into buckets of equal length, numbered from 1970-01-01 in local time.
 *
 * <p>Not thread-safe. Implementations do no I/O and read no clock.
 */
public interface Forecaster {
    /**
     * An interval in which the number of requests in one bucket is expected to lie with a
     * probability of 0.8.
     *
     * @param low the 0.1 quantile
     * @param median the 0.5 quantile
     * @param high the 0.9 quantile
     * @param known false if there is no forecast; the quantiles are then 0
     */
    record PredictionInterval(double low, double median, double high, boolean known) {
        /** The interval returned when there is no forecast. */
        public static final PredictionInterval UNKNOWN = new PredictionInterval(0, 0, 0, false);
    }

    /**
     * Records the number of requests in a past bucket. Called in the order of the buckets, also for
     * buckets without requests.
     */
    void observe(long bucket, double requestCount);

    /** Returns the prediction interval of a bucket that has not been observed yet. */
    PredictionInterval forecast(long bucket);

    /**
     * Returns the pinball loss of a prediction interval, averaged over its quantiles 0.1, 0.5 and
     * 0.9. Less is better.
     */
    static double pinballLoss(PredictionInterval interval, double actualCount) {
        return (quantileLoss(0.1, interval.low(), actualCount)
                        + quantileLoss(0.5, interval.median(), actualCount)
                        + quantileLoss(0.9, interval.high(), actualCount))
                / 3;
    }

    private static double quantileLoss(double quantile, double predicted, double actual) {
        return actual >= predicted
                ? quantile * (actual - predicted)
                : (1 - quantile) * (predicted - actual);
    }
}
