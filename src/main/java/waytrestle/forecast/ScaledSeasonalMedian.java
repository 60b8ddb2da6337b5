package waytrestle.forecast;

import java.util.Arrays;

/**
 * Forecasts a bucket with the median count of the last observations of its slot, scaled by the
 * ratio of the day's counts so far to their slots' medians. The median is robust against a single
 * unusual week; the scale follows a day that is busier or quieter as a whole.
 *
 * <p>The outer quantiles come from past counts of the slot and of its two neighbours, so that a
 * rush whose start varies by one bucket yields a wide interval around its usual start.
 */
public final class ScaledSeasonalMedian implements Forecaster {
    /** Number of counts kept per slot: they follow the current season, not the whole year. */
    private static final int MAX_COUNTS_PER_SLOT = 6;

    /** Number of counts of a slot below which there is no forecast for it. */
    private static final int MIN_COUNTS_PER_SLOT = 2;

    /** Weight of one bucket in the day's scale: about the last dozen buckets count. */
    private static final double SCALE_WEIGHT = 0.08;

    /**
     * Largest scale; its inverse is the smallest. A scale beyond these bounds comes from an
     * incident, not from the usual pattern.
     */
    private static final double MAX_SCALE = 4;

    /** Factor that widens the interval, since quantiles of a few counts are too close together. */
    private static final double INTERVAL_FACTOR = 1.15;

    private final SeasonalCalendar calendar;

    /** Ring buffer of the latest counts of each slot; null for a slot without a count. */
    private final double[][] countsBySlot;

    /** Number of counts observed for each slot, including overwritten ones. */
    private final int[] observedBySlot;

    /** Ratio of the current day's counts to their slots' medians. */
    private double scale = 1;

    /** Day of the latest observed bucket, counted from 1970-01-01. */
    private long scaleDay = Long.MIN_VALUE;

    /** Creates a forecaster without history. */
    public ScaledSeasonalMedian(SeasonalCalendar calendar) {
        this.calendar = calendar;
        this.countsBySlot = new double[calendar.slotCount()][];
        this.observedBySlot = new int[calendar.slotCount()];
    }

    @Override
    public void observe(long bucket, double requestCount) {
        int slot = calendar.slot(bucket);
        long day = Math.floorDiv(bucket, (long) calendar.slotsPerDay());
        if (day != scaleDay) {
            // Half of the previous day's deviation from the medians carries over to the next day.
            scale = 1 + (scale - 1) / 2;
            scaleDay = day;
        }
        if (observedBySlot[slot] >= MIN_COUNTS_PER_SLOT) {
            double slotMedian = quantile(slot, 0.5);
            // Small counts are a noisy measure of the day's scale: medians below 5 requests weigh
            // less, and one request is added to both sides of the ratio.
            scale +=
                    SCALE_WEIGHT
                            * Math.min(1, slotMedian / 5)
                            * ((requestCount + 1) / (slotMedian + 1) - scale);
            scale = Math.max(1 / MAX_SCALE, Math.min(MAX_SCALE, scale));
        }
        if (countsBySlot[slot] == null) {
            countsBySlot[slot] = new double[MAX_COUNTS_PER_SLOT];
        }
        countsBySlot[slot][observedBySlot[slot] % MAX_COUNTS_PER_SLOT] = requestCount;
        observedBySlot[slot]++;
    }

    /** Returns a quantile of the kept counts of a slot, interpolated between two counts. */
    private double quantile(int slot, double probability) {
        int count = Math.min(MAX_COUNTS_PER_SLOT, observedBySlot[slot]);
        double[] sorted = Arrays.copyOf(countsBySlot[slot], count);
        Arrays.sort(sorted);
        double position = probability * (count - 1);
        int lower = (int) position;
        return sorted[lower]
                + (position - lower) * (sorted[Math.min(count - 1, lower + 1)] - sorted[lower]);
    }

    @Override
    public PredictionInterval forecast(long bucket) {
        int slot = calendar.slot(bucket);
        if (observedBySlot[slot] < MIN_COUNTS_PER_SLOT) {
            return PredictionInterval.UNKNOWN;
        }
        double median = quantile(slot, 0.5) * scale;
        double low = median;
        double high = median;
        for (int offset = -1; offset <= 1; offset++) {
            int neighbour = calendar.slot(bucket + offset);
            if (observedBySlot[neighbour] >= MIN_COUNTS_PER_SLOT) {
                // A neighbour widens the interval only by half: its counts are of another slot.
                double weight = offset == 0 ? 1 : 0.5;
                low = Math.min(low, median + weight * (quantile(neighbour, 0.1) * scale - median));
                high =
                        Math.max(
                                high,
                                median + weight * (quantile(neighbour, 0.9) * scale - median));
            }
        }
        // The count of independent requests varies at least as a Poisson distribution, whose 0.1
        // and 0.9 quantiles lie about 1.28 standard deviations from the median.
        double poissonSpread = 1.28 * Math.sqrt(median + 0.25);
        low = Math.min(low, median - poissonSpread);
        high = Math.max(high, median + poissonSpread);
        return new PredictionInterval(
                Math.max(0, median - INTERVAL_FACTOR * (median - low)),
                median,
                median + INTERVAL_FACTOR * (high - median),
                true);
    }
}
