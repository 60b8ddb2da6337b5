package waytrestle.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import waytrestle.discovery.EndpointDirectory.Command;
import waytrestle.discovery.EndpointDirectory.Poll;
import waytrestle.discovery.EndpointDirectory.PollFailed;
import waytrestle.discovery.EndpointDirectory.PublishFailure;
import waytrestle.discovery.EndpointDirectory.PublishFreshness;
import waytrestle.discovery.EndpointDirectory.PublishUpdate;
import waytrestle.discovery.EndpointDirectory.RegisteredEndpoint;
import waytrestle.discovery.EndpointDirectory.SnapshotReceived;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.InvokerEndpoint;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;

/** What the endpoint directory publishes, and when it polls next. */
class EndpointDirectoryTest {
    private static final long MIN_BACKOFF_MICROS = 200_000;
    private static final long MAX_BACKOFF_MICROS = 5_000_000;
    private static final long SEED = 1;
    private static final long RESPONSE_MICROS = 12_000_000;
    private static final long VALID_MICROS = 2_000_000;

    private final List<Command> commands = new ArrayList<>();
    private EndpointDirectory directory = directory(false);
    private long nowMicros = 1_000_000;

    private static EndpointDirectory directory(boolean publishesFailures) {
        return new EndpointDirectory(
                MIN_BACKOFF_MICROS,
                MAX_BACKOFF_MICROS,
                publishesFailures,
                SEED,
                new PollFreshness.Limits(RESPONSE_MICROS, VALID_MICROS));
    }

    private static RegisteredEndpoint ready(String id, long createIndex) {
        return registered(id, EndpointState.READY, 0, createIndex);
    }

    private static RegisteredEndpoint registered(
            String id, EndpointState state, long startedAtMicros, long createIndex) {
        return new RegisteredEndpoint(
                new InvokerEndpoint(id, 0, 0, 0, state, 1, startedAtMicros), createIndex);
    }

    private void receiveSnapshot(long index, RegisteredEndpoint... entries) {
        commands.clear();
        SnapshotReceived snapshot = new SnapshotReceived(index, Arrays.asList(entries), nowMicros);
        directory.handle(nowMicros, snapshot, commands::add);
    }

    private void failPoll() {
        commands.clear();
        directory.handle(nowMicros, new PollFailed(nowMicros), commands::add);
    }

    /** The update published by the last event, null where there was none. */
    private EndpointsUpdated update() {
        for (Command command : commands) {
            if (command instanceof PublishUpdate publish) {
                return publish.update();
            }
        }
        return null;
    }

    private Poll nextPoll() {
        return (Poll) commands.get(commands.size() - 1);
    }

    @Test
    void theFirstSnapshotIsPublishedWholeAndLaterOnesOnlyAsChanges() {
        receiveSnapshot(5, ready("a", 1), ready("b", 1));
        assertTrue(update().snapshot());
        assertEquals(new Poll(5, 0), nextPoll());
        receiveSnapshot(6, ready("a", 1), ready("b", 1));
        assertNull(update());
        receiveSnapshot(7, registered("a", EndpointState.DRAINING, 0, 1));
        assertFalse(update().snapshot());
        assertEquals(
                List.of(EndpointState.DRAINING, EndpointState.GONE),
                update().entries().stream().map(InvokerEndpoint::state).toList());
    }

    @Test
    void aSnapshotThatShrinksToNothingTakesEffectAtOnce() {
        receiveSnapshot(5, ready("a", 1));
        receiveSnapshot(6);
        assertEquals(EndpointState.GONE, update().entries().get(0).state());
        assertEquals(0, directory.size());
    }

    @Test
    void failedPollsKeepTheSnapshotAndBackOffUpToTheMaximum() {
        receiveSnapshot(5, ready("a", 1));
        long longestMicros = 0;
        for (int i = 0; i < 40; i++) {
            failPoll();
            int freshnessChanges = i == 0 ? 1 : 0;
            assertEquals(
                    1 + freshnessChanges,
                    commands.size(),
                    "no list is published, only the next poll is set");
            assertNull(update());
            assertEquals(5, nextPoll().index());
            assertTrue(nextPoll().delayMicros() <= MAX_BACKOFF_MICROS);
            assertTrue(nextPoll().delayMicros() >= MIN_BACKOFF_MICROS / 2);
            longestMicros = Math.max(longestMicros, nextPoll().delayMicros());
        }
        assertTrue(longestMicros > MAX_BACKOFF_MICROS / 2);
        assertEquals(1, directory.size());
        nowMicros += 700;
        assertEquals(700, directory.ageMicros(nowMicros));
    }

    @Test
    void theBackoffStartsAnewAfterASnapshot() {
        for (int i = 0; i < 40; i++) {
            failPoll();
        }
        receiveSnapshot(5, ready("a", 1));
        failPoll();
        assertTrue(nextPoll().delayMicros() <= MIN_BACKOFF_MICROS);
    }

    @Test
    void thereIsNoAgeBeforeTheFirstSnapshot() {
        failPoll();
        assertEquals(-1, directory.ageMicros(nowMicros));
    }

    @Test
    void failuresArePublishedWhereTheSchedulerPolls() {
        directory = directory(true);
        failPoll();
        assertEquals(new PublishFailure(), commands.get(0));
    }

    @Test
    void anIndexThatGoesBackIsPolledFromTheStart() {
        receiveSnapshot(500, ready("a", 1));
        receiveSnapshot(3, ready("a", 1));
        assertEquals(0, nextPoll().index());
        assertTrue(nextPoll().delayMicros() > 0, "not at once: the health API has just restarted");
    }

    @Test
    void anEndpointRegisteredAnewHasStartedAnew() {
        receiveSnapshot(1, ready("a", 10));
        nowMicros += 9_000;
        receiveSnapshot(2, ready("a", 11));
        assertEquals(nowMicros, update().entries().get(0).startedAtMicros());
        receiveSnapshot(3, ready("a", 11));
        assertNull(update(), "the same start keeps its time");
    }

    /** By when the list counts as outdated, by the last event; null where that has not changed. */
    private PublishFreshness freshness() {
        for (Command command : commands) {
            if (command instanceof PublishFreshness publish) {
                return publish;
            }
        }
        return null;
    }

    @Test
    void aListIsCurrentUntilTheNextResponseIsOverdue() {
        receiveSnapshot(5, ready("a", 1));
        long overdueAt = nowMicros + RESPONSE_MICROS;
        assertEquals(new PublishFreshness(true, overdueAt + VALID_MICROS), freshness());
    }

    @Test
    void afterAFailedPollTheListCountsForALimitedTimeWhichFurtherFailuresDoNotExtend() {
        receiveSnapshot(5, ready("a", 1));
        nowMicros += 700;
        failPoll();
        assertEquals(new PublishFreshness(false, nowMicros + VALID_MICROS), freshness());
        nowMicros += 700;
        failPoll();
        assertNull(freshness());
        receiveSnapshot(5, ready("a", 1));
        assertTrue(freshness().current());
    }

    @Test
    void aListThatLayUnreadIsAsOldAsThatAndIsAskedForAgainAtOnce() {
        receiveSnapshot(5, ready("a", 1));
        commands.clear();
        nowMicros += 3_000_000;
        long sinceMicros = nowMicros - 2_500_000;
        directory.handle(
                nowMicros,
                new SnapshotReceived(6, List.of(ready("a", 1)), sinceMicros),
                commands::add);
        assertEquals(new PublishFreshness(false, sinceMicros + VALID_MICROS), freshness());
        assertEquals(new Poll(0, 0), nextPoll());
    }

    @Test
    void withoutALimitTheListCountsForEver() {
        directory =
                new EndpointDirectory(
                        MIN_BACKOFF_MICROS,
                        MAX_BACKOFF_MICROS,
                        false,
                        SEED,
                        PollFreshness.Limits.NONE);
        receiveSnapshot(5, ready("a", 1));
        failPoll();
        assertEquals(new PublishFreshness(false, PollFreshness.UNLIMITED), freshness());
    }
}
