package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import waytrestle.net.Loop;

/** The conversion of reported process starts. */
class ProcessStartTimesTest {
    private static final long WALL_MILLIS = 1_800_000_000_000L;

    private static final long HOUR_MILLIS = 3_600_000;
    private static final long MINUTE_MICROS = 60_000_000;

    private final AtomicLong wallMillis = new AtomicLong(WALL_MILLIS);
    private final ProcessStartTimes startTimes = new ProcessStartTimes(wallMillis::get);

    @Test
    void aStartThatIsNotReportedIsZeroAndNotRemembered() {
        assertEquals(0, startTimes.startedAtMicros("s-1", 0));
        assertEquals(0, startTimes.size());
    }

    @Test
    void theSameReportedStartStaysTheSameMomentWhenTheWallClockIsStepped() {
        long first = startTimes.startedAtMicros("s-1", WALL_MILLIS - 5);
        wallMillis.addAndGet(3_600_000);
        assertEquals(first, startTimes.startedAtMicros("s-1", WALL_MILLIS - 5));
    }

    @Test
    void anotherReportedStartIsAnotherMoment() {
        long first = startTimes.startedAtMicros("s-1", WALL_MILLIS - 60_000);
        long second = startTimes.startedAtMicros("s-1", WALL_MILLIS);
        assertNotEquals(first, second);
    }

    @Test
    void invokersThatAreNotRetainedAreForgotten() {
        startTimes.startedAtMicros("s-1", WALL_MILLIS);
        startTimes.startedAtMicros("s-2", WALL_MILLIS);
        startTimes.retainOnly(Set.of("s-2"));
        assertEquals(1, startTimes.size());
    }

    @Test
    void aStepForwardOfTheWallClockMakesNoInvokerOlder() {
        wallMillis.addAndGet(HOUR_MILLIS);
        long start = startTimes.startedAtMicros("s-1", WALL_MILLIS);
        assertTrue(start > Loop.nowMicros() - MINUTE_MICROS, "it has just started");
    }

    @Test
    void aStepBackOfTheWallClockPutsNoStartInTheFuture() {
        wallMillis.addAndGet(-HOUR_MILLIS);
        long start = startTimes.startedAtMicros("s-1", WALL_MILLIS);
        assertTrue(start <= Loop.nowMicros(), "it has started");
    }
}
