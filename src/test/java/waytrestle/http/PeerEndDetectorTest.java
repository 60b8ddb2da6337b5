package waytrestle.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When closed connections tell of the end of a process. */
class PeerEndDetectorTest {
    private static final long SECOND = 1_000_000;

    private final PeerEndDetector detector = new PeerEndDetector();

    @Test
    void anIdleConnectionUsedLatelyTellsTheEndOnce() {
        detector.idleConnectionClosed(10 * SECOND, 9 * SECOND);
        assertTrue(detector.consumeProcessEnd(10 * SECOND));
        assertFalse(detector.consumeProcessEnd(10 * SECOND));
    }

    @Test
    void aConnectionThatAServerMayHaveClosedForItsAgeTellsNothing() {
        detector.idleConnectionClosed(10 * SECOND, 5 * SECOND);
        assertFalse(detector.consumeProcessEnd(10 * SECOND));
    }

    @Test
    void connectionsThatCloseOneAfterTheOtherTellNothing() {
        detector.idleConnectionClosed(10 * SECOND, 9 * SECOND);
        assertFalse(detector.consumeProcessEnd(11 * SECOND));
    }
}
