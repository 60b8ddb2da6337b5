package waytrestle.forecast;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.LongToDoubleFunction;
import org.junit.jupiter.api.Test;

/**
 * Tests the forecasters on synthetic histories with buckets of 15 minutes. Each bucket is forecast
 * from all buckets before it (rolling-origin evaluation).
 */
class ForecastTest {
    private static final SeasonalCalendar CALENDAR =
            new SeasonalCalendar(
                    900,
                    List.of(new SeasonalCalendar.SpecialDays("quarter-end", List.of(90L, 181L))));

    private static final int BUCKETS_PER_DAY = 96;

    /**
     * Returns the mean number of requests in a bucket: low at nights and weekends, higher from the
     * start hour to 18:00 on weekdays, with a rush of 90 minutes after the start hour on Mondays.
     */
    private static double meanRequests(long bucket, double startHour) {
        long day = Math.floorDiv(bucket, BUCKETS_PER_DAY);
        double hour = Math.floorMod(bucket, BUCKETS_PER_DAY) / 4.0;
        boolean weekend = Math.floorMod(day + 3, 7L) >= 5;
        double weekdayMean = hour > startHour && hour < 18 ? 40 : 2;
        double mondayRush =
                hour >= startHour && hour < startHour + 1.5 && Math.floorMod(day + 3, 7L) == 0
                        ? 160
                        : 0;
        return weekend ? 2 : weekdayMean + mondayRush;
    }

    /** Returns a random count by the normal approximation of a Poisson distribution. */
    private static double poisson(Random random, double mean) {
        return Math.max(0, Math.round(mean + Math.sqrt(mean) * random.nextGaussian()));
    }

    /** Returns request counts by bucket for several load patterns, by the name of the pattern. */
    private static Map<String, LongToDoubleFunction> histories(Random random) {
        Map<String, LongToDoubleFunction> histories = new LinkedHashMap<>();
        histories.put("equal weeks", bucket -> poisson(random, meanRequests(bucket, 8)));
        Map<Long, Double> factorByDay = new LinkedHashMap<>();
        histories.put(
                "random load factor per day",
                bucket ->
                        poisson(
                                random,
                                meanRequests(bucket, 8)
                                        * factorByDay.computeIfAbsent(
                                                Math.floorDiv(bucket, BUCKETS_PER_DAY),
                                                day -> 0.5 + random.nextDouble() * 1.2)));
        Map<Long, Double> startHourByDay = new LinkedHashMap<>();
        histories.put(
                "random start hour per day",
                bucket ->
                        poisson(
                                random,
                                meanRequests(
                                        bucket,
                                        startHourByDay.computeIfAbsent(
                                                Math.floorDiv(bucket, BUCKETS_PER_DAY),
                                                day -> 7.75 + 0.25 * random.nextInt(3)))));
        histories.put(
                "linear growth",
                bucket ->
                        poisson(
                                random,
                                meanRequests(bucket, 8) * (1 + bucket / (BUCKETS_PER_DAY * 56.0))));
        histories.put(
                "one week of constant low load",
                bucket ->
                        poisson(
                                random,
                                Math.floorDiv(bucket, BUCKETS_PER_DAY * 7L) == 6
                                        ? 5
                                        : meanRequests(bucket, 8)));
        return histories;
    }

    /** Returns the mean pinball loss per bucket, from the fifth week of the history on. */
    private static double meanPinballLoss(
            Forecaster forecaster, LongToDoubleFunction history, int days) {
        double lossSum = 0;
        long scoredBuckets = 0;
        for (long bucket = 0; bucket < (long) days * BUCKETS_PER_DAY; bucket++) {
            double actualCount = history.applyAsDouble(bucket);
            Forecaster.PredictionInterval predicted = forecaster.forecast(bucket);
            if (bucket >= 28L * BUCKETS_PER_DAY) {
                assertTrue(predicted.known(), "a forecast exists after four weeks of history");
                lossSum += Forecaster.pinballLoss(predicted, actualCount);
                scoredBuckets++;
            }
            forecaster.observe(bucket, actualCount);
        }
        return lossSum / scoredBuckets;
    }

    @Test
    void selectedMethodHasLowerLossThanSeasonalNaiveOnEveryHistory() {
        for (String name : histories(new Random(0)).keySet()) {
            double naiveLoss =
                    meanPinballLoss(
                            new SeasonalNaive(CALENDAR), histories(new Random(5)).get(name), 84);
            double selectedLoss =
                    meanPinballLoss(
                            LeastLossForecaster.ofAllMethods(CALENDAR),
                            histories(new Random(5)).get(name),
                            84);
            assertTrue(
                    selectedLoss < naiveLoss,
                    name + ": loss " + selectedLoss + ", seasonal naive " + naiveLoss);
        }
    }

    @Test
    void predictionIntervalsContain70To99PercentOfCounts() {
        for (Map.Entry<String, LongToDoubleFunction> history :
                histories(new Random(5)).entrySet()) {
            LeastLossForecaster forecaster = LeastLossForecaster.ofAllMethods(CALENDAR);
            int countsWithin = 0;
            int scoredBuckets = 0;
            for (long bucket = 0; bucket < 84L * BUCKETS_PER_DAY; bucket++) {
                double actualCount = history.getValue().applyAsDouble(bucket);
                Forecaster.PredictionInterval predicted = forecaster.forecast(bucket);
                if (bucket >= 42L * BUCKETS_PER_DAY) {
                    scoredBuckets++;
                    countsWithin +=
                            actualCount >= predicted.low() - 0.5
                                            && actualCount <= predicted.high() + 0.5
                                    ? 1
                                    : 0;
                }
                forecaster.observe(bucket, actualCount);
            }
            double fraction = countsWithin / (double) scoredBuckets;
            assertTrue(
                    fraction > 0.7 && fraction <= 0.99,
                    history.getKey() + ": fraction of counts within the interval " + fraction);
        }
    }

    @Test
    void mondayRushIsForecastAfterSixWeeksOfHistory() {
        LeastLossForecaster forecaster = LeastLossForecaster.ofAllMethods(CALENDAR);
        Random random = new Random(3);
        // 1970-01-05 was a Monday.
        long firstMonday = 4;
        for (long bucket = 0; bucket < (firstMonday + 42) * BUCKETS_PER_DAY; bucket++) {
            forecaster.observe(bucket, poisson(random, meanRequests(bucket, 8)));
        }
        long mondayAtEight = (firstMonday + 42) * BUCKETS_PER_DAY + 32;
        assertTrue(
                forecaster.forecast(mondayAtEight).median() > 150
                        && forecaster.forecast(mondayAtEight).low() > 40,
                "forecast for Monday at 8:00: " + forecaster.forecast(mondayAtEight));
        assertTrue(
                forecaster.forecast(mondayAtEight - 4).high() < 20,
                "forecast for Monday at 7:00: " + forecaster.forecast(mondayAtEight - 4));
        assertTrue(
                forecaster.forecast(mondayAtEight + BUCKETS_PER_DAY).high() < 80,
                "forecast for Tuesday at 8:00: "
                        + forecaster.forecast(mondayAtEight + BUCKETS_PER_DAY));
    }

    @Test
    void forecastIsUnknownBeforeAndAfterSingleObservation() {
        for (Forecaster forecaster :
                List.of(
                        new SeasonalNaive(CALENDAR),
                        new SeasonalSmoothing(CALENDAR),
                        new ScaledSeasonalMedian(CALENDAR),
                        LeastLossForecaster.ofAllMethods(CALENDAR))) {
            assertFalse(forecaster.forecast(50).known());
            forecaster.observe(50, 7);
            assertFalse(
                    forecaster.forecast(50).known(),
                    "no forecast is made from a single observation");
        }
    }

    @Test
    void slotsRepeatWeeklyExceptOnSpecialDaysAndUnevenBucketLengthIsRejected() {
        assertEquals(
                CALENDAR.slot(90L * BUCKETS_PER_DAY + 5),
                CALENDAR.slot(181L * BUCKETS_PER_DAY + 5));
        assertTrue(CALENDAR.slot(90L * BUCKETS_PER_DAY + 5) >= 7 * BUCKETS_PER_DAY);
        assertEquals(
                0, CALENDAR.slot(4L * BUCKETS_PER_DAY), "slot of the first bucket of a Monday");
        assertEquals(CALENDAR.slot(4L * BUCKETS_PER_DAY), CALENDAR.slot(11L * BUCKETS_PER_DAY));
        assertThrows(IllegalArgumentException.class, () -> new SeasonalCalendar(7_000, List.of()));
    }

    @Test
    void pinballLossIsZeroForExactForecastAndGrowsWithIntervalWidthAndDistance() {
        Forecaster.PredictionInterval interval = new Forecaster.PredictionInterval(8, 10, 12, true);
        assertEquals(
                0,
                Forecaster.pinballLoss(new Forecaster.PredictionInterval(10, 10, 10, true), 10),
                1e-9);
        assertTrue(
                Forecaster.pinballLoss(interval, 10)
                        < Forecaster.pinballLoss(
                                new Forecaster.PredictionInterval(0, 10, 40, true), 10));
        assertTrue(Forecaster.pinballLoss(interval, 50) > Forecaster.pinballLoss(interval, 12));
    }
}
