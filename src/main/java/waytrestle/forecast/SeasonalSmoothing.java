package waytrestle.forecast;

import java.util.Arrays;

/**
 * Exponential smoothing with multiplicative seasonality (Holt-Winters without a trend: over hours
 * the level tells all). The level follows every bucket against its slot's usual share.
 */
public final class SeasonalSmoothing implements Forecaster {
    // ---- Tuned numbers. ----
    private static final double LEVEL =
            0.1; // weight of a bucket in the level: about the last ten count
    private static final double SHARE =
            0.3; // weight of a week in a slot's share: three weeks make it
    private static final double NEWS = 0.05; // weight of a miss in the usual miss
    private static final double WIDE =
            1.6; // usual misses to each side: counts vary more than a normal's
    private static final double LEAST =
            1e-3; // of the level: a share is never nought, so that it can recover

    private final SeasonalCalendar season;
    private final double[] share;
    private double level = -1, miss = -1;
    private long seen;

    public SeasonalSmoothing(SeasonalCalendar season) {
        this.season = season;
        this.share = new double[season.slotCount()];
        Arrays.fill(share, Double.NaN);
    }

    @Override
    public void observe(long bucket, double calls) {
        PredictionInterval told = forecast(bucket);
        int slot = season.slot(bucket);
        seen++;
        if (told.known()) {
            double relative = Math.abs(calls - told.median()) / Math.sqrt(told.median() + 1);
            miss = miss < 0 ? relative : miss + NEWS * (relative - miss);
        }
        level = level < 0 ? calls : level;
        double base = Math.max(level, LEAST);
        boolean fresh = Double.isNaN(share[slot]);
        double before = fresh ? 1 : share[slot];
        share[slot] =
                Math.max(LEAST, fresh ? calls / base : before + SHARE * (calls / base - before));
        level += fresh ? 0.02 * (calls - level) : LEVEL * (calls / before - level);
        level = Math.max(0, level);
    }

    @Override
    public PredictionInterval forecast(long bucket) {
        double slot = share[season.slot(bucket)];
        if (Double.isNaN(slot) || (miss < 0 && seen < 2L * season.slotsPerDay())) {
            return PredictionInterval.UNKNOWN;
        }
        double middle = level * slot;
        double wide = WIDE * Math.max(miss, 0.5) * Math.sqrt(middle + 1);
        return new PredictionInterval(Math.max(0, middle - wide), middle, middle + wide, true);
    }
}
