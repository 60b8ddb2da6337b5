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

/** Forecasts, scored by rolling origin on synthetic histories. */
class ForecastTest {
    private static final SeasonalCalendar SEASON =
            new SeasonalCalendar(
                    900,
                    List.of(new SeasonalCalendar.SpecialDays("quarter-end", List.of(90L, 181L))));
    private static final int OF_DAY = 96;

    /**
     * Calls a quarter of an hour on a weekday with a rush from eight on, nights and weekends quiet.
     */
    private static double week(long bucket, double start) {
        long day = Math.floorDiv(bucket, OF_DAY);
        double hour = Math.floorMod(bucket, OF_DAY) / 4.0;
        boolean weekend = Math.floorMod(day + 3, 7L) >= 5;
        double work = hour > start && hour < 18 ? 40 : 2;
        double rush =
                hour >= start && hour < start + 1.5 && Math.floorMod(day + 3, 7L) == 0 ? 160 : 0;
        return weekend ? 2 : work + rush;
    }

    private static double poisson(Random random, double mean) {
        return Math.max(0, Math.round(mean + Math.sqrt(mean) * random.nextGaussian()));
    }

    private static Map<String, LongToDoubleFunction> histories(Random random) {
        Map<String, LongToDoubleFunction> all = new LinkedHashMap<>();
        all.put("steady weeks", b -> poisson(random, week(b, 8)));
        Map<Long, Double> mood = new LinkedHashMap<>();
        all.put(
                "busy and quiet days",
                b ->
                        poisson(
                                random,
                                week(b, 8)
                                        * mood.computeIfAbsent(
                                                Math.floorDiv(b, OF_DAY),
                                                d -> 0.5 + random.nextDouble() * 1.2)));
        Map<Long, Double> starts = new LinkedHashMap<>();
        all.put(
                "a start that wanders",
                b ->
                        poisson(
                                random,
                                week(
                                        b,
                                        starts.computeIfAbsent(
                                                Math.floorDiv(b, OF_DAY),
                                                d -> 7.75 + 0.25 * random.nextInt(3)))));
        all.put("growth", b -> poisson(random, week(b, 8) * (1 + b / (OF_DAY * 56.0))));
        all.put(
                "one odd week",
                b -> poisson(random, Math.floorDiv(b, OF_DAY * 7L) == 6 ? 5 : week(b, 8)));
        return all;
    }

    private static double score(Forecaster f, LongToDoubleFunction history, int days) {
        double lost = 0;
        long judged = 0;
        for (long b = 0; b < (long) days * OF_DAY; b++) {
            double came = history.applyAsDouble(b);
            Forecaster.PredictionInterval told =
                    f.forecast(b); // the origin rolls: each bucket from all before it
            if (b >= 28L * OF_DAY) {
                assertTrue(told.known(), "after four weeks it speaks");
                lost += Forecaster.pinballLoss(told, came);
                judged++;
            }
            f.observe(b, came);
        }
        return lost / judged;
    }

    @Test
    void theChosenMethodBeatsTheNaiveOneOnEveryHistory() {
        for (String name : histories(new Random(0)).keySet()) {
            double naive = score(new SeasonalNaive(SEASON), histories(new Random(5)).get(name), 84);
            double chosen =
                    score(
                            LeastLossForecaster.ofAllMethods(SEASON),
                            histories(new Random(5)).get(name),
                            84);
            assertTrue(chosen < naive, name + ": " + chosen + " against " + naive);
        }
    }

    @Test
    void rangesHoldAboutFourOfFive() {
        for (Map.Entry<String, LongToDoubleFunction> each : histories(new Random(5)).entrySet()) {
            LeastLossForecaster f = LeastLossForecaster.ofAllMethods(SEASON);
            int within = 0;
            int judged = 0;
            for (long b = 0; b < 84L * OF_DAY; b++) {
                double came = each.getValue().applyAsDouble(b);
                Forecaster.PredictionInterval told = f.forecast(b);
                if (b >= 42L * OF_DAY) {
                    judged++;
                    within += came >= told.low() - 0.5 && came <= told.high() + 0.5 ? 1 : 0;
                }
                f.observe(b, came);
            }
            double share = within / (double) judged;
            assertTrue(share > 0.7 && share <= 0.99, each.getKey() + ": " + share);
        }
    }

    @Test
    void aMondaysRushIsKnownBeforeItComes() {
        LeastLossForecaster f = LeastLossForecaster.ofAllMethods(SEASON);
        Random random = new Random(3);
        long monday = 4; // 1970-01-05
        for (long b = 0; b < (monday + 42) * OF_DAY; b++) {
            f.observe(b, poisson(random, week(b, 8)));
        }
        long eight = (monday + 42) * OF_DAY + 32;
        assertTrue(
                f.forecast(eight).median() > 150 && f.forecast(eight).low() > 40,
                "at eight: " + f.forecast(eight));
        assertTrue(f.forecast(eight - 4).high() < 20, "at seven: " + f.forecast(eight - 4));
        assertTrue(
                f.forecast(eight + OF_DAY).high() < 80,
                "on Tuesday at eight: " + f.forecast(eight + OF_DAY));
    }

    @Test
    void whatIsNotKnownIsSaidSo() {
        for (Forecaster f :
                List.of(
                        new SeasonalNaive(SEASON),
                        new SeasonalSmoothing(SEASON),
                        new ScaledSeasonalMedian(SEASON),
                        LeastLossForecaster.ofAllMethods(SEASON))) {
            assertFalse(f.forecast(50).known());
            f.observe(50, 7);
            assertFalse(f.forecast(50).known(), "one bucket is no habit");
        }
    }

    @Test
    void specialDaysHaveSlotsOfTheirOwn() {
        assertEquals(SEASON.slot(90L * OF_DAY + 5), SEASON.slot(181L * OF_DAY + 5));
        assertTrue(SEASON.slot(90L * OF_DAY + 5) >= 7 * OF_DAY);
        assertEquals(0, SEASON.slot(4L * OF_DAY), "a Monday's first");
        assertEquals(SEASON.slot(4L * OF_DAY), SEASON.slot(11L * OF_DAY));
        assertThrows(IllegalArgumentException.class, () -> new SeasonalCalendar(7_000, List.of()));
    }

    @Test
    void pinballLossPrefersTheRightQuantiles() {
        Forecaster.PredictionInterval right = new Forecaster.PredictionInterval(8, 10, 12, true);
        assertEquals(
                0,
                Forecaster.pinballLoss(new Forecaster.PredictionInterval(10, 10, 10, true), 10),
                1e-9);
        assertTrue(
                Forecaster.pinballLoss(right, 10)
                        < Forecaster.pinballLoss(
                                new Forecaster.PredictionInterval(0, 10, 40, true), 10));
        assertTrue(Forecaster.pinballLoss(right, 50) > Forecaster.pinballLoss(right, 12));
    }
}
