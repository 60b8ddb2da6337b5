/**
 * Forecasts of request counts: each {@link waytrestle.forecast.Forecaster} predicts the number of
 * requests of one function in a later time bucket from the counts in past buckets, as an interval
 * that contains the count with a probability of 0.8.
 *
 * <p>{@link waytrestle.forecast.SeasonalNaive}, {@link waytrestle.forecast.SeasonalSmoothing} and
 * {@link waytrestle.forecast.ScaledSeasonalMedian} are the forecasting methods; {@link
 * waytrestle.forecast.LeastLossForecaster} selects the one with the least recent loss. {@link
 * waytrestle.forecast.SeasonalCalendar} maps buckets to the slots of a week or of a special day.
 *
 * <p>The package does no I/O, reads no clock and starts no threads. Its forecasters are not
 * thread-safe. No program uses the package yet.
 */
package waytrestle.forecast;
