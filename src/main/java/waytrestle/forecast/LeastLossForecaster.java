package waytrestle.forecast;

import java.util.List;

/**
 * Runs several forecasting methods in parallel and returns the forecast of the one with the least
 * recent pinball loss. There is no forecast while no method has one.
 *
 * <p>Guards against a method that does not suit the request history: functions differ, and the
 * pattern of one function may change.
 */
public final class LeastLossForecaster implements Forecaster {
    /**
     * Weight of one bucket in a method's mean loss: about the last hundred buckets count, so that
     * the selection does not follow chance.
     */
    private static final double LOSS_WEIGHT = 0.01;

    private final List<Forecaster> methods;
    private final double[] meanLosses;
    private final boolean[] hasLoss;

    /**
     * Creates a forecaster without history.
     *
     * @param methods methods to select from, themselves without history
     */
    public LeastLossForecaster(List<Forecaster> methods) {
        this.methods = List.copyOf(methods);
        this.meanLosses = new double[methods.size()];
        this.hasLoss = new boolean[methods.size()];
    }

    /** Returns a forecaster that selects from all forecasting methods of this package. */
    public static LeastLossForecaster ofAllMethods(SeasonalCalendar calendar) {
        return new LeastLossForecaster(
                List.of(
                        new SeasonalNaive(calendar),
                        new SeasonalSmoothing(calendar),
                        new ScaledSeasonalMedian(calendar)));
    }

    @Override
    public void observe(long bucket, double requestCount) {
        for (int i = 0; i < meanLosses.length; i++) {
            PredictionInterval predicted = methods.get(i).forecast(bucket);
            if (predicted.known()) {
                double loss = Forecaster.pinballLoss(predicted, requestCount);
                meanLosses[i] =
                        hasLoss[i] ? meanLosses[i] + LOSS_WEIGHT * (loss - meanLosses[i]) : loss;
                hasLoss[i] = true;
            }
            methods.get(i).observe(bucket, requestCount);
        }
    }

    /** Returns the index of the method with the least mean loss, -1 if none has a loss yet. */
    public int selectedMethodIndex() {
        int best = -1;
        for (int i = 0; i < meanLosses.length; i++) {
            if (hasLoss[i] && (best < 0 || meanLosses[i] < meanLosses[best])) {
                best = i;
            }
        }
        return best;
    }

    @Override
    public PredictionInterval forecast(long bucket) {
        int best = selectedMethodIndex();
        PredictionInterval interval =
                best < 0 ? PredictionInterval.UNKNOWN : methods.get(best).forecast(bucket);
        for (int i = 0; i < meanLosses.length && !interval.known(); i++) {
            interval = hasLoss[i] ? methods.get(i).forecast(bucket) : interval;
        }
        return interval;
    }
}
