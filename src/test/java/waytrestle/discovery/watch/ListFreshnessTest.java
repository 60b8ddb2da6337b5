package waytrestle.discovery.watch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** By when the endpoint list counts as outdated, for each way in which the server can be lost. */
class ListFreshnessTest {
    private static final long START_MICROS = 1_000_000;
    private static final long SECOND = 1_000_000;

    private final WatchState state = new WatchState(3, SECOND);
    private long nowMicros = START_MICROS;
    private WatchState.PublishFreshness published;

    @BeforeEach
    void connectAndCatchUp() {
        handle(new WatchState.AddressChanged());
        handle(new WatchState.RequestSent());
        assertFalse(published.current());
        assertTrue(
                published.receivedAtMicros() < START_MICROS,
                "the list of the start is outdated until the server has answered");
        assertEquals(WatchState.LossCause.STARTING, published.cause());
        receiveHeartbeat(3);
        assertCurrentUntil(4 * SECOND);
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

    /** It is current, and would be outdated from then on if nothing more came. */
    private void assertCurrentUntil(long micros) {
        assertTrue(published.current());
        assertEquals(START_MICROS + micros, published.receivedAtMicros());
    }

    private void assertOutdatedAfter(long micros, WatchState.LossCause cause) {
        assertFalse(published.current());
        assertEquals(START_MICROS + micros, published.receivedAtMicros());
        assertEquals(cause, published.cause());
    }

    @Test
    void anEndedConnectionOutdatesTheListAfterTwoSeconds() {
        handle(new WatchState.ConnectionFailed(nowMicros));
        assertOutdatedAfter(2 * SECOND, WatchState.LossCause.CLOSED);
        nowMicros += SECOND;
        handle(new WatchState.ConnectionFailed(nowMicros));
        assertOutdatedAfter(2 * SECOND, WatchState.LossCause.CLOSED);
    }

    @Test
    void anEndThatIsFoundLateCountsFromWhenItMayHaveBeen() {
        nowMicros += 3 * SECOND;
        handle(new WatchState.ConnectionFailed(START_MICROS));
        assertOutdatedAfter(2 * SECOND, WatchState.LossCause.CLOSED);
    }

    @Test
    void aHeartbeatThatIsReadLateCountsFromWhenItMayHaveCome() {
        nowMicros += 3 * SECOND;
        WatchEvent heartbeat = new WatchEvent(3, false, null);
        handle(new WatchState.LineReceived(heartbeat, START_MICROS + SECOND));
        assertCurrentUntil(5 * SECOND);
    }

    @Test
    void aSilentServerOutdatesTheListFourSecondsAfterItsLastLine() {
        nowMicros += 2 * SECOND;
        handle(new WatchState.HeartbeatCheckDue());
        assertOutdatedAfter(4 * SECOND, WatchState.LossCause.SILENT);
        nowMicros += SECOND;
        handle(new WatchState.ConnectionFailed(nowMicros));
        assertOutdatedAfter(4 * SECOND, WatchState.LossCause.SILENT);
    }

    @Test
    void heartbeatsOfAnOldRevisionCountAsSilence() {
        for (int i = 0; i < 5; i++) {
            nowMicros += SECOND / 2;
            receiveHeartbeat(2);
            handle(new WatchState.HeartbeatCheckDue());
        }
        assertOutdatedAfter(4 * SECOND, WatchState.LossCause.SILENT);
    }

    @Test
    void anAddressChangeOutdatesTheListAfterFourSeconds() {
        handle(new WatchState.AddressChanged());
        assertOutdatedAfter(4 * SECOND, WatchState.LossCause.MOVED);
    }

    @Test
    void anUnansweredRequestOutdatesTheListAtOnce() {
        handle(new WatchState.ConnectionFailed(nowMicros));
        nowMicros += SECOND / 10;
        handle(new WatchState.RequestSent());
        assertOutdatedAfter(SECOND / 10, WatchState.LossCause.CLOSED);
        nowMicros += 3 * SECOND;
        handle(new WatchState.RequestSent());
        assertOutdatedAfter(SECOND / 10, WatchState.LossCause.CLOSED);
    }

    @Test
    void aMissingEventOutdatesTheListUntilTheServerReportsThatNoneIsLeft() {
        receiveHeartbeat(5);
        assertOutdatedAfter(2 * SECOND, WatchState.LossCause.GAP);
        nowMicros += 3 * SECOND;
        handle(new WatchState.RequestSent());
        receiveEvent(4);
        assertOutdatedAfter(2 * SECOND, WatchState.LossCause.GAP);
        assertTrue(published.catchingUp());
        receiveEvent(5);
        assertOutdatedAfter(2 * SECOND, WatchState.LossCause.GAP);
        receiveHeartbeat(5);
        assertCurrentUntil(7 * SECOND);
    }

    @Test
    void eventsOfAServerThatIsCurrentOutdateNothing() {
        receiveEvent(4);
        receiveEvent(5);
        assertNull(published, "no time has passed");
        nowMicros += SECOND;
        receiveHeartbeat(5);
        assertCurrentUntil(5 * SECOND);
    }

    @Test
    void aProcessThatWasStoppedWithoutAConnectionMayHaveMissedEventsSinceThen() {
        handle(new WatchState.ConnectionFailed(nowMicros));
        nowMicros += SECOND;
        handle(new WatchState.ProcessStopped(START_MICROS + SECOND / 2));
        assertOutdatedAfter(SECOND / 2, WatchState.LossCause.CLOSED);
    }

    @Test
    void aProcessThatWasStoppedWithAConnectionReadsWhatHasCome() {
        nowMicros += SECOND;
        handle(new WatchState.ProcessStopped(START_MICROS));
        assertNull(published, "nothing has changed");
    }
}
