package waytrestle.forecast;

import java.util.Arrays;

/**
 * Forecasts a bucket with the request count of the latest observed bucket of its slot. The baseline
 * that other methods must improve on.
 */
public final class SeasonalNaive implements Forecaster {
    /** Weight of one error in the mean absolute error: about the last twenty errors count. */
    private static final double ERROR_WEIGHT = 0.05;

    /**
     * Distance of the outer quantiles from the median, in mean absolute errors. The 0.1 and 0.9
     * quantiles of a normal distribution lie 1.28 standard deviations from its median.
     */
    private static final double INTERVAL_ERRORS = 1.28;

    private final SeasonalCalendar calendar;

    /** Request count of the latest observed bucket of each slot; NaN before the first. */
    private final double[] latestBySlot;

    /** Mean absolute error in requests; negative before the first error. */
    private double meanError = -1;

    /** Creates a forecaster without history. */
    public SeasonalNaive(SeasonalCalendar calendar) {
        this.calendar = calendar;
        this.latestBySlot = new double[calendar.slotCount()];
        Arrays.fill(latestBySlot, Double.NaN);
    }

    @Override
    public void observe(long bucket, double requestCount) {
        int slot = calendar.slot(bucket);
        if (!Double.isNaN(latestBySlot[slot])) {
            double error = Math.abs(requestCount - latestBySlot[slot]);
            meanError = meanError < 0 ? error : meanError + ERROR_WEIGHT * (error - meanError);
        }
        latestBySlot[slot] = requestCount;
    }

    @Override
    public PredictionInterval forecast(long bucket) {
        double median = latestBySlot[calendar.slot(bucket)];
        return Double.isNaN(median) || meanError < 0
                ? PredictionInterval.UNKNOWN
                : new PredictionInterval(
                        Math.max(0, median - INTERVAL_ERRORS * meanError),
                        median,
                        median + INTERVAL_ERRORS * meanError,
                        true);
    }
}
