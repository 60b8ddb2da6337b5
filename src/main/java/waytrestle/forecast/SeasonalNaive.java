package waytrestle.forecast;

import java.util.Arrays;

/** As it was at the last bucket of this slot: the yardstick that others must beat. */
public final class SeasonalNaive implements Forecaster {
    // ---- Tuned numbers. ----
    private static final double NEWS =
            0.05; // weight of a miss in the usual miss: about the last twenty count
    private static final double WIDE =
            1.28; // usual misses to each side: four of five, were they normal

    private final SeasonalCalendar season;
    private final double[] last;
    private double miss = -1;

    public SeasonalNaive(SeasonalCalendar season) {
        this.season = season;
        this.last = new double[season.slotCount()];
        Arrays.fill(last, Double.NaN);
    }

    @Override
    public void observe(long bucket, double calls) {
        int slot = season.slot(bucket);
        if (!Double.isNaN(last[slot])) {
            double missed = Math.abs(calls - last[slot]);
            miss = miss < 0 ? missed : miss + NEWS * (missed - miss);
        }
        last[slot] = calls;
    }

    @Override
    public PredictionInterval forecast(long bucket) {
        double middle = last[season.slot(bucket)];
        return Double.isNaN(middle) || miss < 0
                ? PredictionInterval.UNKNOWN
                : new PredictionInterval(
                        Math.max(0, middle - WIDE * miss), middle, middle + WIDE * miss, true);
    }
}
