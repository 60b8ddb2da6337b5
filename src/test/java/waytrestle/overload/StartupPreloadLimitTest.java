package waytrestle.overload;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.overload.OverloadFixture.MICROS_PER_SECOND;

import org.junit.jupiter.api.Test;

class StartupPreloadLimitTest {
    private static final long START_MICROS = 5 * MICROS_PER_SECOND;
    private static final long PERIOD_MICROS = 60 * MICROS_PER_SECOND;

    @Test
    void withinThePeriodPreloadsComeWithAcceptedRequests() {
        StartupPreloadLimit limit = new StartupPreloadLimit(START_MICROS, PERIOD_MICROS, 0.5);
        long now = START_MICROS + PERIOD_MICROS;
        assertFalse(limit.tryAcquire(now), "no request yet");
        limit.requestAccepted(now);
        assertFalse(limit.tryAcquire(now), "half a preload");
        limit.requestAccepted(now);
        assertTrue(limit.tryAcquire(now));
        assertFalse(limit.tryAcquire(now), "the only one is taken");
    }

    @Test
    void afterThePeriodPreloadsAreNotLimited() {
        StartupPreloadLimit limit = new StartupPreloadLimit(START_MICROS, PERIOD_MICROS, 0.5);
        assertTrue(limit.tryAcquire(START_MICROS + PERIOD_MICROS + 1));
        assertTrue(limit.tryAcquire(START_MICROS + PERIOD_MICROS + 1));
    }
}
