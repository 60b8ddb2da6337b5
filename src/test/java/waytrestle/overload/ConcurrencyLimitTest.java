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
    private long now = MICROS_PER_SECOND;

    private void runWindow(int inFlight, long responseMicros) {
        limit.recordInFlight(now, inFlight);
        for (int i = 0; i < RESPONSES_PER_WINDOW; i++) {
            now += WINDOW_MICROS / RESPONSES_PER_WINDOW;
            limit.recordResponse(now, "function", responseMicros);
        }
    }

    @Test
    void limitDoublesWhileItIsUsedAndNothingQueues() {
        int initial = limit.limit();
        assertEquals(8 * MIN_LIMIT, initial);
        runWindow(initial, 100_000);
        assertEquals(2 * initial, limit.limit());
    }

    @Test
    void limitStaysWhereItIsNotUsed() {
        int initial = limit.limit();
        runWindow(initial / 2, 100_000);
        assertEquals(initial, limit.limit());
    }

    @Test
    void limitFallsWhileResponsesQueueButNotBelowTheMinimum() {
        runWindow(80, 100_000);
        int beforeQueueing = limit.limit();
        runWindow(80, 1_000_000);
        assertTrue(limit.limit() < beforeQueueing, "limit " + limit.limit());
        for (int i = 0; i < 20; i++) {
            for (int timeout = 0; timeout < RESPONSES_PER_WINDOW; timeout++) {
                now += WINDOW_MICROS / RESPONSES_PER_WINDOW;
                limit.recordTimeout(now);
            }
        }
        assertEquals(MIN_LIMIT, limit.limit());
    }

    @Test
    void limitGrowsUpToTheMaximum() {
        for (int i = 0; i < 20; i++) {
            runWindow(limit.limit(), 100_000);
        }
        assertEquals(MAX_LIMIT, limit.limit());
    }
}
