package waytrestle.overload;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.overload.OverloadFixture.MICROS_PER_SECOND;

import org.junit.jupiter.api.Test;

class StartupPreloadLimitTest {
    private static final long START_MICROS = 5 * MICROS_PER_SECOND;
    private static final long PERIOD_MICROS = 60 * MICROS_PER_SECOND;

    @Test
    void withinFirstPeriodTwoAcceptedRequestsAllowOnePreloadAtHalfPreloadPerRequest() {
        StartupPreloadLimit limit = new StartupPreloadLimit(START_MICROS, PERIOD_MICROS, 0.5);
        long nowMicros = START_MICROS + PERIOD_MICROS;
        assertFalse(
                limit.tryAcquire(nowMicros), "no preload is allowed without an accepted request");
        limit.requestAccepted(nowMicros);
        assertFalse(limit.tryAcquire(nowMicros), "one accepted request allows only half a preload");
        limit.requestAccepted(nowMicros);
        assertTrue(limit.tryAcquire(nowMicros));
        assertFalse(limit.tryAcquire(nowMicros), "two accepted requests allow only one preload");
    }

    @Test
    void afterFirstPeriodPreloadsAreAllowedWithoutRequests() {
        StartupPreloadLimit limit = new StartupPreloadLimit(START_MICROS, PERIOD_MICROS, 0.5);
        assertTrue(limit.tryAcquire(START_MICROS + PERIOD_MICROS + 1));
        assertTrue(limit.tryAcquire(START_MICROS + PERIOD_MICROS + 1));
    }
}
