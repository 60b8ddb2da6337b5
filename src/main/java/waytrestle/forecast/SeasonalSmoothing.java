package waytrestle.forecast;

import java.util.Arrays;

/**
 * Forecasts by exponential smoothing with multiplicative seasonality: the Holt-Winters method
 * without a trend, since a trend over hours is already contained in the level. The forecast of a
 * bucket is the level, in requests per bucket, multiplied by the seasonal factor of its slot. Every
 * observed bucket updates the level by its count divided by the seasonal factor.
 */
public final class SeasonalSmoothing implements Forecaster {
    /** Weight of one bucket in the level: about the last ten buckets count. */
    private static final double LEVEL_WEIGHT = 0.1;

    /** Weight of one count in its slot's seasonal factor: about the last three weeks count. */
    private static final double FACTOR_WEIGHT = 0.3;

    /** Weight of one error in the mean error. */
    private static final double ERROR_WEIGHT = 0.05;

    /**
     * Distance of the outer quantiles from the median, in mean errors. More than for a normal
     * distribution, since counts vary more.
     */
    private static final double INTERVAL_ERRORS = 1.6;

    /**
     * Smallest seasonal factor, so that a factor can grow again after counts of 0. Also the
     * smallest level that a count is divided by, in requests.
     */
    private static final double MIN_FACTOR = 1e-3;

    private final SeasonalCalendar calendar;

    /** Ratio of each slot's count to the level; NaN before the slot's first count. */
    private final double[] factorBySlot;

    /** Count per bucket without seasonality; negative before the first count. */
    private double level = -1;

    /**
     * Mean absolute error as a multiple of the square root of the forecast, which is the standard
     * deviation of a Poisson distribution; negative before the first error.
     */
    private double meanError = -1;

    private long observedBuckets;

    /** Creates a forecaster without history. */
    public SeasonalSmoothing(SeasonalCalendar calendar) {
        this.calendar = calendar;
        this.factorBySlot = new double[calendar.slotCount()];
        Arrays.fill(factorBySlot, Double.NaN);
    }

    @Override
    public void observe(long bucket, double requestCount) {
        PredictionInterval predicted = forecast(bucket);
        int slot = calendar.slot(bucket);
        observedBuckets++;
        if (predicted.known()) {
            double error =
                    Math.abs(requestCount - predicted.median()) / Math.sqrt(predicted.median() + 1);
            meanError = meanError < 0 ? error : meanError + ERROR_WEIGHT * (error - meanError);
        }
        level = level < 0 ? requestCount : level;
        double divisor = Math.max(level, MIN_FACTOR);
        boolean firstOfSlot = Double.isNaN(factorBySlot[slot]);
        double factor = firstOfSlot ? 1 : factorBySlot[slot];
        factorBySlot[slot] =
                Math.max(
                        MIN_FACTOR,
                        firstOfSlot
                                ? requestCount / divisor
                                : factor + FACTOR_WEIGHT * (requestCount / divisor - factor));
        // The seasonal factor of a slot's first count is unknown, so the count changes the level
        // only a little.
        level +=
                firstOfSlot
                        ? 0.02 * (requestCount - level)
                        : LEVEL_WEIGHT * (requestCount / factor - level);
        level = Math.max(0, level);
    }

    @Override
    public PredictionInterval forecast(long bucket) {
        double factor = factorBySlot[calendar.slot(bucket)];
        if (Double.isNaN(factor)
                || (meanError < 0 && observedBuckets < 2L * calendar.slotsPerDay())) {
            return PredictionInterval.UNKNOWN;
        }
        double median = level * factor;
        double spread = INTERVAL_ERRORS * Math.max(meanError, 0.5) * Math.sqrt(median + 1);
        return new PredictionInterval(Math.max(0, median - spread), median, median + spread, true);
    }
}
