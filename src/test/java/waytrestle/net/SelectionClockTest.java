package waytrestle.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Tests for how long the input found by a selection may have lain in the kernel unseen. All times
 * are in microseconds.
 */
class SelectionClockTest {
    private static final long MICROS_PER_MILLI = 1_000;

    /** When the process runs again after it was stopped at time 0. */
    private static final long STOP_END_MICROS = 3_600 * MICROS_PER_MILLI;

    private static final long MAX_WAIT_MICROS = 200 * MICROS_PER_MILLI;

    private final SelectionClock clock = new SelectionClock(0);

    @Test
    void inputThatEndsAWaitHasJustArrived() {
        assertFalse(clock.begin(5 * MICROS_PER_MILLI));
        clock.expectWait(MAX_WAIT_MICROS);
        assertFalse(clock.end(150 * MICROS_PER_MILLI));
        assertEquals(MICROS_PER_MILLI, clock.unseenMicros(151 * MICROS_PER_MILLI));
        assertEquals(150 * MICROS_PER_MILLI, clock.currentSelectionMicros());
        assertEquals(0, clock.previousSelectionMicros());
    }

    @Test
    void inputFoundWithoutWaitingMayHaveArrivedSinceThePreviousSelection() {
        clock.begin(5 * MICROS_PER_MILLI);
        assertFalse(clock.end(5 * MICROS_PER_MILLI));
        assertEquals(6 * MICROS_PER_MILLI, clock.unseenMicros(6 * MICROS_PER_MILLI));
    }

    @Test
    void selectionAfterALongTurnMustNotWaitAtFirst() {
        assertTrue(clock.begin(20 * MICROS_PER_MILLI));
    }

    /**
     * Guards against a selection that a ready channel ended just before the stop: the other
     * channels became ready during the stop and are found only by a further selection.
     */
    @Test
    void selectionIsRepeatedIfTheProcessWasStoppedDuringTheWait() {
        clock.begin(0);
        clock.expectWait(MAX_WAIT_MICROS);
        assertTrue(clock.end(STOP_END_MICROS));
        assertFalse(clock.end(STOP_END_MICROS + MICROS_PER_MILLI));
        assertEquals(
                STOP_END_MICROS + MICROS_PER_MILLI,
                clock.unseenMicros(STOP_END_MICROS + MICROS_PER_MILLI));
    }

    @Test
    void selectionIsRepeatedIfTheProcessWasStoppedDuringASelectionWithoutWait() {
        clock.begin(0);
        assertTrue(clock.end(STOP_END_MICROS));
        assertTrue(
                clock.end(2 * STOP_END_MICROS), "process stopped again in the repeated selection");
        assertFalse(clock.end(2 * STOP_END_MICROS + MICROS_PER_MILLI));
        assertEquals(
                2 * STOP_END_MICROS + MICROS_PER_MILLI,
                clock.unseenMicros(2 * STOP_END_MICROS + MICROS_PER_MILLI));
    }

    @Test
    void inputThatEndsAWaitInTheTurnAfterAStopHasJustArrived() {
        clock.begin(0);
        clock.expectWait(MAX_WAIT_MICROS);
        clock.end(STOP_END_MICROS);
        clock.end(STOP_END_MICROS);
        assertFalse(clock.begin(STOP_END_MICROS + MICROS_PER_MILLI));
        clock.expectWait(MAX_WAIT_MICROS);
        assertFalse(clock.end(STOP_END_MICROS + 2 * MICROS_PER_MILLI));
        assertEquals(0, clock.unseenMicros(STOP_END_MICROS + 2 * MICROS_PER_MILLI));
    }

    @Test
    void inputMayBeUnseenSinceThePreviousSelectionAfterAFailedSelection() {
        clock.begin(0);
        clock.expectWait(MAX_WAIT_MICROS);
        clock.selectionFailed(30 * MICROS_PER_MILLI);
        assertEquals(31 * MICROS_PER_MILLI, clock.unseenMicros(31 * MICROS_PER_MILLI));
    }
}
