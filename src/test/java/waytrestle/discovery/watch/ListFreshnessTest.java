package waytrestle.discovery.watch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests when the endpoint list counts as last received, for each way in which the watch server can
 * be lost.
 */
class ListFreshnessTest {
    private static final long START_MICROS = 1_000_000;
    private static final long SECOND_MICROS = 1_000_000;

    private final WatchState state = new WatchState(3, SECOND_MICROS);
    private long nowMicros = START_MICROS;
    private WatchState.PublishFreshness published;

    @BeforeEach
    void connectAndCatchUp() {
        handle(new WatchState.AddressChanged());
        handle(new WatchState.RequestSent());
        assertFalse(published.current());
        assertTrue(
                published.receivedAtMicros() < START_MICROS,
                "the endpoint list known at the start is outdated until the server has answered");
        assertEquals(WatchState.LossCause.STARTING, published.cause());
        receiveHeartbeat(3);
        assertCurrentUntil(4 * SECOND_MICROS);
        published = null;
    }

    private void handle(WatchState.Event event) {
        state.handle(
                nowMicros,
                event,
                command -> {
                    if (command instanceof WatchState.PublishFreshness freshness) {
                        published = freshness;
                    }
                });
    }

    private void receiveHeartbeat(long revision) {
        handle(new WatchState.LineReceived(new WatchEvent(revision, false, null), nowMicros));
    }

    private void receiveEvent(long revision) {
        handle(new WatchState.LineReceived(new WatchEvent(revision, false, List.of()), nowMicros));
    }

    /**
     * Asserts that the list is current and, without a further line, counts as last received at the
     * given time.
     *
     * @param micros time since the start of the test, in microseconds
     */
    private void assertCurrentUntil(long micros) {
        assertTrue(published.current());
        assertEquals(START_MICROS + micros, published.receivedAtMicros());
    }

    /**
     * Asserts that the list is not current and counts as last received at the given time.
     *
     * @param micros time since the start of the test, in microseconds
     */
    private void assertOutdatedAfter(long micros, WatchState.LossCause cause) {
        assertFalse(published.current());
        assertEquals(START_MICROS + micros, published.receivedAtMicros());
        assertEquals(cause, published.cause());
    }

    @Test
    void endedConnectionOutdatesTheListAfterTwoSeconds() {
        handle(new WatchState.ConnectionFailed(nowMicros));
        assertOutdatedAfter(2 * SECOND_MICROS, WatchState.LossCause.CLOSED);
        nowMicros += SECOND_MICROS;
        handle(new WatchState.ConnectionFailed(nowMicros));
        assertOutdatedAfter(2 * SECOND_MICROS, WatchState.LossCause.CLOSED);
    }

    @Test
    void connectionEndDetectedLateCountsFromItsEarliestTime() {
        nowMicros += 3 * SECOND_MICROS;
        handle(new WatchState.ConnectionFailed(START_MICROS));
        assertOutdatedAfter(2 * SECOND_MICROS, WatchState.LossCause.CLOSED);
    }

    @Test
    void heartbeatReadLateCountsFromItsEarliestArrival() {
        nowMicros += 3 * SECOND_MICROS;
        WatchEvent heartbeat = new WatchEvent(3, false, null);
        handle(new WatchState.LineReceived(heartbeat, START_MICROS + SECOND_MICROS));
        assertCurrentUntil(5 * SECOND_MICROS);
    }

    @Test
    void silentServerOutdatesTheListFourSecondsAfterItsLastLine() {
        nowMicros += 2 * SECOND_MICROS;
        handle(new WatchState.HeartbeatCheckDue());
        assertOutdatedAfter(4 * SECOND_MICROS, WatchState.LossCause.SILENT);
        nowMicros += SECOND_MICROS;
        handle(new WatchState.ConnectionFailed(nowMicros));
        assertOutdatedAfter(4 * SECOND_MICROS, WatchState.LossCause.SILENT);
    }

    @Test
    void heartbeatsWithAnOldRevisionCountAsSilence() {
        for (int i = 0; i < 5; i++) {
            nowMicros += SECOND_MICROS / 2;
            receiveHeartbeat(2);
            handle(new WatchState.HeartbeatCheckDue());
        }
        assertOutdatedAfter(4 * SECOND_MICROS, WatchState.LossCause.SILENT);
    }

    @Test
    void addressChangeOutdatesTheListAfterFourSeconds() {
        handle(new WatchState.AddressChanged());
        assertOutdatedAfter(4 * SECOND_MICROS, WatchState.LossCause.MOVED);
    }

    @Test
    void unansweredRequestOutdatesTheListAtOnce() {
        handle(new WatchState.ConnectionFailed(nowMicros));
        nowMicros += SECOND_MICROS / 10;
        handle(new WatchState.RequestSent());
        assertOutdatedAfter(SECOND_MICROS / 10, WatchState.LossCause.CLOSED);
        nowMicros += 3 * SECOND_MICROS;
        handle(new WatchState.RequestSent());
        assertOutdatedAfter(SECOND_MICROS / 10, WatchState.LossCause.CLOSED);
    }

    @Test
    void missingEventOutdatesTheListUntilAHeartbeatConfirmsTheLastEvent() {
        receiveHeartbeat(5);
        assertOutdatedAfter(2 * SECOND_MICROS, WatchState.LossCause.GAP);
        nowMicros += 3 * SECOND_MICROS;
        handle(new WatchState.RequestSent());
        receiveEvent(4);
        assertOutdatedAfter(2 * SECOND_MICROS, WatchState.LossCause.GAP);
        assertTrue(published.catchingUp());
        receiveEvent(5);
        assertOutdatedAfter(2 * SECOND_MICROS, WatchState.LossCause.GAP);
        receiveHeartbeat(5);
        assertCurrentUntil(7 * SECOND_MICROS);
    }

    @Test
    void eventsInOrderKeepACurrentListCurrent() {
        receiveEvent(4);
        receiveEvent(5);
        assertNull(published, "the events leave the freshness unchanged, as no time has passed");
        nowMicros += SECOND_MICROS;
        receiveHeartbeat(5);
        assertCurrentUntil(5 * SECOND_MICROS);
    }

    @Test
    void processStoppedWhileDisconnectedOutdatesTheListFromItsStop() {
        handle(new WatchState.ConnectionFailed(nowMicros));
        nowMicros += SECOND_MICROS;
        handle(new WatchState.ProcessStopped(START_MICROS + SECOND_MICROS / 2));
        assertOutdatedAfter(SECOND_MICROS / 2, WatchState.LossCause.CLOSED);
    }

    @Test
    void processStoppedWhileConnectedLeavesTheListCurrent() {
        nowMicros += SECOND_MICROS;
        handle(new WatchState.ProcessStopped(START_MICROS));
        assertNull(published, "a connected process still reads all events that were sent");
    }
}
