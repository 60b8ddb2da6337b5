package waytrestle.forecast;

import java.util.List;

/**
 * Several methods side by side; the one with the least pinball loss of late is believed. Nothing is
 * said while none of them knows. Guards against a method that suits another history: functions
 * differ, and one may change its habit.
 */
public final class LeastLossForecaster implements Forecaster {
    // ---- Tuned numbers. ----
    private static final double NEWS =
            0.01; // weight of a bucket's loss: some hundred count, so that chance does not choose

    private final List<Forecaster> methods;
    private final double[] loss;
    private final boolean[] judged;

    public LeastLossForecaster(List<Forecaster> methods) {
        this.methods = List.copyOf(methods);
        this.loss = new double[methods.size()];
        this.judged = new boolean[methods.size()];
    }

    /** All methods that there are. */
    public static LeastLossForecaster ofAllMethods(SeasonalCalendar season) {
        return new LeastLossForecaster(
                List.of(
                        new SeasonalNaive(season),
                        new SeasonalSmoothing(season),
                        new ScaledSeasonalMedian(season)));
    }

    @Override
    public void observe(long bucket, double calls) {
        for (int i = 0; i < loss.length; i++) {
            PredictionInterval told = methods.get(i).forecast(bucket);
            if (told.known()) {
                double lost = Forecaster.pinballLoss(told, calls);
                loss[i] = judged[i] ? loss[i] + NEWS * (lost - loss[i]) : lost;
                judged[i] = true;
            }
            methods.get(i).observe(bucket, calls);
        }
    }

    /** The place of the method believed now; -1 for none. */
    public int selectedMethodIndex() {
        int best = -1;
        for (int i = 0; i < loss.length; i++) {
            if (judged[i] && (best < 0 || loss[i] < loss[best])) {
                best = i;
            }
        }
        return best;
    }

    @Override
    public PredictionInterval forecast(long bucket) {
        int best = selectedMethodIndex();
        PredictionInterval told =
                best < 0 ? PredictionInterval.UNKNOWN : methods.get(best).forecast(bucket);
        for (int i = 0; i < loss.length && !told.known(); i++) {
            told = judged[i] ? methods.get(i).forecast(bucket) : told;
        }
        return told;
    }
}
