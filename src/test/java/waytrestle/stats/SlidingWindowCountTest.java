package waytrestle.stats;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import waytrestle.stats.SlidingWindowCount.Expiry;

class SlidingWindowCountTest {
    private static final long PERIOD_MICROS = 10_000_000;

    @Test
    void eventsFarApartAreCountedExactlyForOnePeriod() {
        for (Expiry expiry : Expiry.values()) {
            SlidingWindowCount count = new SlidingWindowCount(PERIOD_MICROS, expiry);
            count.add(0);
            count.add(PERIOD_MICROS / 2);
            assertEquals(2, count.count(PERIOD_MICROS));
            assertEquals(1, count.count(PERIOD_MICROS + 1));
            assertEquals(0, count.count(2 * PERIOD_MICROS));
        }
    }

    /** Guards against a list of times that grows with the request rate. */
    @Test
    void theMemoryOfAnyNumberOfEventsIsBounded() {
        SlidingWindowCount count = new SlidingWindowCount(PERIOD_MICROS, Expiry.WITH_FIRST);
        int most = 0;
        for (long now = 0; now < 3 * PERIOD_MICROS; now += 10) {
            count.add(now);
            most = Math.max(most, count.groups());
        }
        assertTrue(most <= SlidingWindowCount.GROUPS_PER_PERIOD + 1, most + " groups");
    }

    @Test
    void countsDifferFromTheNumberOfEventsInTheStatedDirectionAlone() {
        SplittableRandom random = new SplittableRandom(1);
        SlidingWindowCount low = new SlidingWindowCount(PERIOD_MICROS, Expiry.WITH_FIRST);
        SlidingWindowCount high = new SlidingWindowCount(PERIOD_MICROS, Expiry.WITH_LAST);
        ArrayDeque<Long> exact = new ArrayDeque<>();
        long now = 0;
        for (int i = 0; i < 100_000; i++) {
            now += random.nextLong(i % 1_000 < 500 ? 1_000 : 20_000);
            low.add(now);
            high.add(now);
            exact.add(now);
            while (exact.peekFirst() < now - PERIOD_MICROS) {
                exact.removeFirst();
            }
            int events = exact.size();
            assertTrue(low.count(now) <= events, "too many at " + now);
            assertTrue(high.count(now) >= events, "too few at " + now);
            long slack = 2 + events / 50;
            assertTrue(high.count(now) - low.count(now) <= slack, "too far apart at " + now);
        }
    }
}
