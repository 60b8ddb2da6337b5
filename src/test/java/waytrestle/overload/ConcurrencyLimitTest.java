package waytrestle.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.overload.OverloadFixture.MICROS_PER_SECOND;

import org.junit.jupiter.api.Test;

class ConcurrencyLimitTest {
    private static final int MIN_LIMIT = 10;
    private static final int MAX_LIMIT = 1_000;
    private static final int RESPONSES_PER_WINDOW = 10;
    private static final long WINDOW_MICROS = 250_000;

    private final ConcurrencyLimit limit = new ConcurrencyLimit(MIN_LIMIT, MAX_LIMIT);
    private long nowMicros = MICROS_PER_SECOND;

    /** Records one window of equal response times at a constant number of requests in flight. */
    private void recordWindow(int inFlight, long responseMicros) {
        limit.recordInFlight(nowMicros, inFlight);
        for (int i = 0; i < RESPONSES_PER_WINDOW; i++) {
            nowMicros += WINDOW_MICROS / RESPONSES_PER_WINDOW;
            limit.recordResponse(nowMicros, "function", responseMicros);
        }
    }

    @Test
    void limitDoublesFromInitialLimitWhenFullyUsedWithoutQueueing() {
        int initialLimit = limit.limit();
        assertEquals(8 * MIN_LIMIT, initialLimit);
        recordWindow(initialLimit, 100_000);
        assertEquals(2 * initialLimit, limit.limit());
    }

    @Test
    void limitStaysInitialWhenHalfUsedWithoutQueueing() {
        int initialLimit = limit.limit();
        recordWindow(initialLimit / 2, 100_000);
        assertEquals(initialLimit, limit.limit());
    }

    @Test
    void limitFallsOnSlowResponsesAndToMinimumOnTimeouts() {
        recordWindow(80, 100_000);
        int beforeQueueing = limit.limit();
        recordWindow(80, 1_000_000);
        assertTrue(
                limit.limit() < beforeQueueing,
                "limit "
                        + limit.limit()
                        + " is not below "
                        + beforeQueueing
                        + " after slow responses");
        for (int window = 0; window < 20; window++) {
            for (int timeout = 0; timeout < RESPONSES_PER_WINDOW; timeout++) {
                nowMicros += WINDOW_MICROS / RESPONSES_PER_WINDOW;
                limit.recordTimeout(nowMicros);
            }
        }
        assertEquals(MIN_LIMIT, limit.limit());
    }

    @Test
    void limitGrowsToMaximumWhenFullyUsedWithoutQueueing() {
        for (int window = 0; window < 20; window++) {
            recordWindow(limit.limit(), 100_000);
        }
        assertEquals(MAX_LIMIT, limit.limit());
    }
}
