package waytrestle.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What a turn of the event loop has found is as old as the time in which nobody looked. */
class SelectionClockTest {
    private static final long MILLI = 1_000;
    private static final long STOP = 3_600 * MILLI;
    private static final long WAIT = 200 * MILLI;

    private final SelectionClock clock = new SelectionClock(0);

    @Test
    void whatEndsAWaitHasJustCome() {
        assertFalse(clock.begin(5 * MILLI));
        clock.expectWait(WAIT);
        assertFalse(clock.end(150 * MILLI));
        assertEquals(MILLI, clock.unseenMicros(151 * MILLI));
        assertEquals(150 * MILLI, clock.currentSelectionMicros());
        assertEquals(0, clock.previousSelectionMicros());
    }

    @Test
    void whatALookFindsMayHaveComeAtAnyTimeOfTheTurnBefore() {
        clock.begin(5 * MILLI);
        assertFalse(clock.end(5 * MILLI));
        assertEquals(6 * MILLI, clock.unseenMicros(6 * MILLI));
    }

    @Test
    void afterALongTurnThereIsALookBeforeTheWait() {
        assertTrue(clock.begin(20 * MILLI));
    }

    /** A ready channel ended the wait just before the stop; the others became ready during it. */
    @Test
    void aWaitInWhichTheProcessWasStoppedIsFollowedByAnotherLook() {
        clock.begin(0);
        clock.expectWait(WAIT);
        assertTrue(clock.end(STOP));
        assertFalse(clock.end(STOP + MILLI));
        assertEquals(STOP + MILLI, clock.unseenMicros(STOP + MILLI));
    }

    @Test
    void soIsALookInWhichTheProcessWasStopped() {
        clock.begin(0);
        assertTrue(clock.end(STOP));
        assertTrue(clock.end(2 * STOP), "stopped again in the further look");
        assertFalse(clock.end(2 * STOP + MILLI));
        assertEquals(2 * STOP + MILLI, clock.unseenMicros(2 * STOP + MILLI));
    }

    @Test
    void theTurnAfterAStopIsAnOrdinaryOne() {
        clock.begin(0);
        clock.expectWait(WAIT);
        clock.end(STOP);
        clock.end(STOP);
        assertFalse(clock.begin(STOP + MILLI));
        clock.expectWait(WAIT);
        assertFalse(clock.end(STOP + 2 * MILLI));
        assertEquals(0, clock.unseenMicros(STOP + 2 * MILLI));
    }

    @Test
    void afterAFailureAllSinceTheSelectionBeforeMayBeUnseen() {
        clock.begin(0);
        clock.expectWait(WAIT);
        clock.selectionFailed(30 * MILLI);
        assertEquals(31 * MILLI, clock.unseenMicros(31 * MILLI));
    }
}
