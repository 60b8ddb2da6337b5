package waytrestle.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which closes of idle connections are taken for the end of the peer's process. */
class PeerEndDetectorTest {
    private static final long SECOND_MICROS = 1_000_000;

    private final PeerEndDetector detector = new PeerEndDetector();

    @Test
    void reportsProcessEndOnceWhenRecentlyUsedIdleConnectionCloses() {
        detector.idleConnectionClosed(10 * SECOND_MICROS, 9 * SECOND_MICROS);
        assertTrue(detector.consumeProcessEnd(10 * SECOND_MICROS));
        assertFalse(detector.consumeProcessEnd(10 * SECOND_MICROS));
    }

    @Test
    void ignoresCloseOfConnectionIdleBeyondServerTimeout() {
        detector.idleConnectionClosed(10 * SECOND_MICROS, 5 * SECOND_MICROS);
        assertFalse(detector.consumeProcessEnd(10 * SECOND_MICROS));
    }

    @Test
    void ignoresCloseOutsideProcessEndWindow() {
        detector.idleConnectionClosed(10 * SECOND_MICROS, 9 * SECOND_MICROS);
        assertFalse(detector.consumeProcessEnd(11 * SECOND_MICROS));
    }
}
