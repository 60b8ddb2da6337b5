package waytrestle.discovery.watch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what the watch state publishes and when it reconnects. */
class WatchStateTest {
    private static final long KNOWN_REVISION = 3;
    private static final long DRAIN_GRACE_MICROS = 2_000_000;

    private final WatchState state = new WatchState(KNOWN_REVISION, DRAIN_GRACE_MICROS);
    private long nowMicros = 1_000_000;

    /** Handles an event; returns the commands as text, except those that publish the freshness. */
    private List<String> handle(WatchState.Event event) {
        List<String> commands = new ArrayList<>();
        state.handle(
                nowMicros,
                event,
                command -> {
                    if (!(command instanceof WatchState.PublishFreshness)) {
                        commands.add(describe(command));
                    }
                });
        return commands;
    }

    private static String describe(WatchState.Command command) {
        if (command instanceof WatchState.PublishEvent publish) {
            return "publish " + publish.event().revision();
        }
        if (command instanceof WatchState.Reconnect reconnect) {
            return "reconnect after " + reconnect.afterRevision();
        }
        return "synchronized";
    }

    private List<String> receiveEvent(long revision) {
        return handle(
                new WatchState.LineReceived(new WatchEvent(revision, false, List.of()), nowMicros));
    }

    private List<String> receiveHeartbeat(long revision) {
        return handle(
                new WatchState.LineReceived(new WatchEvent(revision, false, null), nowMicros));
    }

    private List<String> checkHeartbeat() {
        return handle(new WatchState.HeartbeatCheckDue());
    }

    /** Fails the connection; returns the delay of the reconnect, in microseconds. */
    private static long backoffMicrosAfterFailure(WatchState state, long nowMicros) {
        List<WatchState.Reconnect> commands = new ArrayList<>();
        state.handle(
                nowMicros,
                new WatchState.ConnectionFailed(nowMicros),
                command -> {
                    if (!(command instanceof WatchState.PublishFreshness)) {
                        commands.add((WatchState.Reconnect) command);
                    }
                });
        assertEquals(1, commands.size());
        return commands.get(0).delayMicros();
    }

    @Test
    void serverThatSendsOnlyOldRevisionsIsReconnectedToAsSilent() {
        receiveHeartbeat(3);
        List<String> commands = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            nowMicros += 200_000;
            commands.addAll(receiveHeartbeat(2));
            commands.addAll(checkHeartbeat());
        }
        assertEquals(
                List.of("reconnect after 3", "reconnect after 3"),
                commands,
                "one reconnect per heartbeat time-out");
        receiveHeartbeat(3);
        nowMicros += 200_000;
        assertEquals(
                List.of(),
                checkHeartbeat(),
                "the server has caught up with the last published revision");
    }

    @Test
    void eventsArePublishedOnceAndInOrderAndAGapCausesAReconnect() {
        assertEquals(List.of("synchronized", "publish 4"), receiveEvent(4));
        assertEquals(List.of(), receiveEvent(4), "a duplicate is dropped");
        assertEquals(List.of(), receiveEvent(2), "an old event is dropped");
        assertEquals(
                List.of("reconnect after 4"),
                receiveEvent(6),
                "an event after a gap is not published");
        assertEquals(List.of("publish 5"), receiveEvent(5));
        assertEquals(List.of("publish 6"), receiveEvent(6));
        assertEquals(List.of(), receiveHeartbeat(6));
        assertEquals(
                List.of("reconnect after 6"),
                receiveHeartbeat(7),
                "the server has an event that it did not send");
    }

    @Test
    void silentServerIsReconnectedToAfterTwoMissingHeartbeatsButNotAfterOne() {
        assertEquals(List.of("reconnect after 3"), handle(new WatchState.AddressChanged()));
        receiveHeartbeat(3);
        nowMicros += 1_500_000;
        assertEquals(List.of(), checkHeartbeat(), "one heartbeat may be late");
        nowMicros += 500_000;
        assertEquals(List.of("reconnect after 3"), checkHeartbeat());
        assertEquals(
                List.of(),
                checkHeartbeat(),
                "the heartbeat time-out starts again with the new connection");
        nowMicros += 2_000_000;
        assertEquals(List.of("reconnect after 3"), checkHeartbeat());
    }

    @Test
    void synchronizedIsPublishedOnceWhenTheServerConfirmsTheRevisionKnownAtTheStart() {
        assertEquals(List.of("reconnect after 3"), handle(new WatchState.AddressChanged()));
        assertEquals(
                List.of(),
                receiveHeartbeat(2),
                "the server is behind the revision known at the start");
        assertEquals(
                List.of("reconnect after 3"),
                receiveHeartbeat(4),
                "the server has an event that it did not send");
        assertEquals(List.of("synchronized"), receiveHeartbeat(3));
        assertEquals(List.of(), receiveHeartbeat(3), "synchronized is published only once");
        assertEquals(List.of("publish 4"), receiveEvent(4));
    }

    @Test
    void connectTimeoutAndLongestBackoffTogetherTakeHalfOfTheDrainGrace() {
        for (long graceMicros : new long[] {400_000, 1_000_000, 8_000_000}) {
            WatchState stateWithGrace = new WatchState(KNOWN_REVISION, graceMicros);
            long backoffMicros = 0;
            for (int i = 0; i < 20; i++) {
                backoffMicros = backoffMicrosAfterFailure(stateWithGrace, nowMicros);
            }
            assertEquals(graceMicros / 2, backoffMicros + stateWithGrace.connectTimeoutMicros());
        }
    }

    @Test
    void firstReconnectHasNoDelayAndLaterOnesBackOffUpToAQuarterOfTheDrainGrace() {
        long longestMicros = 0;
        for (int i = 0; i < 20; i++) {
            long backoffMicros = backoffMicrosAfterFailure(state, nowMicros);
            assertEquals(i == 0, backoffMicros == 0);
            longestMicros = Math.max(longestMicros, backoffMicros);
        }
        assertEquals(500_000, longestMicros, "the longest backoff");
    }

    @Test
    void missingEventsAreFollowedByExactlyOneReconnectForAConfirmation() {
        handle(new WatchState.AddressChanged());
        receiveEvent(4);
        receiveEvent(5);
        assertEquals(List.of(), checkHeartbeat(), "further missing events may still arrive");
        nowMicros += 30_000;
        assertEquals(List.of("reconnect after 5"), checkHeartbeat());
        receiveEvent(6);
        nowMicros += 100_000;
        assertEquals(
                List.of(),
                checkHeartbeat(),
                "only one reconnect: then the next heartbeat is awaited");
    }

    @Test
    void eventOnACurrentListIsFollowedByNoReconnect() {
        handle(new WatchState.AddressChanged());
        receiveHeartbeat(3);
        receiveEvent(4);
        nowMicros += 100_000;
        assertEquals(List.of(), checkHeartbeat());
    }
}
