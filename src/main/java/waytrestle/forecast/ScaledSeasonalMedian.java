package waytrestle.forecast;

import java.util.Arrays;

/**
 * The median of a slot's last weeks, scaled by how today has gone against its own medians so far.
 * Medians forget a single odd week; the scale follows a day that is busier or quieter as a whole.
 * The range is taken from what the slot and its neighbours have missed by, so that a rush whose
 * start wanders by a bucket is told as a wide range there.
 */
public final class ScaledSeasonalMedian implements Forecaster {
    // ---- Tuned numbers. ----
    private static final int WEEKS = 6; // of a slot that are kept: a season's habit, not a year's
    private static final int LEAST = 2; // weeks before anything is said
    private static final double TODAY =
            0.08; // weight of a bucket in today's scale: the last dozen count
    private static final double MOST =
            4; // times, and its inverse: a scale beyond it is an accident, not a habit
    private static final double WIDEN =
            1.15; // of the spread told: the quantiles of few weeks are too narrow

    private final SeasonalCalendar season;
    private final double[][] weeks;
    private final int[] filled;
    private double scale = 1;
    private long scaleDay = Long.MIN_VALUE;

    public ScaledSeasonalMedian(SeasonalCalendar season) {
        this.season = season;
        this.weeks = new double[season.slotCount()][];
        this.filled = new int[season.slotCount()];
    }

    @Override
    public void observe(long bucket, double calls) {
        int slot = season.slot(bucket);
        long day = Math.floorDiv(bucket, (long) season.slotsPerDay());
        if (day != scaleDay) {
            scale = 1 + (scale - 1) / 2; // half of yesterday's mood lasts
            scaleDay = day;
        }
        if (filled[slot] >= LEAST) {
            double usual = quantile(slot, 0.5);
            // Small counts say little of a day's mood: one call is added to both sides.
            scale += TODAY * Math.min(1, usual / 5) * ((calls + 1) / (usual + 1) - scale);
            scale = Math.max(1 / MOST, Math.min(MOST, scale));
        }
        if (weeks[slot] == null) {
            weeks[slot] = new double[WEEKS];
        }
        weeks[slot][filled[slot] % WEEKS] = calls;
        filled[slot]++;
    }

    private double quantile(int slot, double q) {
        int n = Math.min(WEEKS, filled[slot]);
        double[] sorted = Arrays.copyOf(weeks[slot], n);
        Arrays.sort(sorted);
        double at = q * (n - 1);
        int below = (int) at;
        return sorted[below] + (at - below) * (sorted[Math.min(n - 1, below + 1)] - sorted[below]);
    }

    @Override
    public PredictionInterval forecast(long bucket) {
        int slot = season.slot(bucket);
        if (filled[slot] < LEAST) {
            return PredictionInterval.UNKNOWN;
        }
        double middle = quantile(slot, 0.5) * scale;
        double low = middle;
        double high = middle;
        for (int d = -1; d <= 1; d++) {
            int near = season.slot(bucket + d);
            if (filled[near] >= LEAST) {
                // A neighbour widens only by half: it is told for another time.
                double share = d == 0 ? 1 : 0.5;
                low = Math.min(low, middle + share * (quantile(near, 0.1) * scale - middle));
                high = Math.max(high, middle + share * (quantile(near, 0.9) * scale - middle));
            }
        }
        double chance =
                1.28 * Math.sqrt(middle + 0.25); // counts vary by chance alone at least so much
        low = Math.min(low, middle - chance);
        high = Math.max(high, middle + chance);
        return new PredictionInterval(
                Math.max(0, middle - WIDEN * (middle - low)),
                middle,
                middle + WIDEN * (high - middle),
                true);
    }
}
