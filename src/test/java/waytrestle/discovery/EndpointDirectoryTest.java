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

/** Tests what the endpoint directory publishes and when it polls next. */
class EndpointDirectoryTest {
    private static final long MIN_BACKOFF_MICROS = 200_000;
    private static final long MAX_BACKOFF_MICROS = 5_000_000;
    private static final long SEED = 1;
    private static final long RESPONSE_TIMEOUT_MICROS = 12_000_000;
    private static final long VALID_AFTER_FAILURE_MICROS = 2_000_000;

    private final List<Command> commands = new ArrayList<>();
    private EndpointDirectory directory = directory(false);
    private long nowMicros = 1_000_000;

    private static EndpointDirectory directory(boolean publishesFailures) {
        return new EndpointDirectory(
                MIN_BACKOFF_MICROS,
                MAX_BACKOFF_MICROS,
                publishesFailures,
                SEED,
                new PollFreshness.Limits(RESPONSE_TIMEOUT_MICROS, VALID_AFTER_FAILURE_MICROS));
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

    /** Returns the update published by the last event; null if there was none. */
    private EndpointsUpdated publishedUpdate() {
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
    void firstSnapshotIsPublishedWholeAndLaterOnesAsChangesOnly() {
        receiveSnapshot(5, ready("a", 1), ready("b", 1));
        assertTrue(publishedUpdate().snapshot());
        assertEquals(new Poll(5, 0), nextPoll());
        receiveSnapshot(6, ready("a", 1), ready("b", 1));
        assertNull(publishedUpdate());
        receiveSnapshot(7, registered("a", EndpointState.DRAINING, 0, 1));
        assertFalse(publishedUpdate().snapshot());
        assertEquals(
                List.of(EndpointState.DRAINING, EndpointState.GONE),
                publishedUpdate().entries().stream().map(InvokerEndpoint::state).toList());
    }

    @Test
    void emptySnapshotMarksAllEndpointsAsGoneAtOnce() {
        receiveSnapshot(5, ready("a", 1));
        receiveSnapshot(6);
        assertEquals(EndpointState.GONE, publishedUpdate().entries().get(0).state());
        assertEquals(0, directory.size());
    }

    @Test
    void failedPollsKeepTheSnapshotAndBackOffUpToTheLongestBackoff() {
        receiveSnapshot(5, ready("a", 1));
        long longestMicros = 0;
        for (int i = 0; i < 40; i++) {
            failPoll();
            int freshnessChanges = i == 0 ? 1 : 0;
            assertEquals(
                    1 + freshnessChanges,
                    commands.size(),
                    "only the next poll and a change of freshness, no update of the list");
            assertNull(publishedUpdate());
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
    void backoffStartsAgainAtTheShortestAfterASnapshot() {
        for (int i = 0; i < 40; i++) {
            failPoll();
        }
        receiveSnapshot(5, ready("a", 1));
        failPoll();
        assertTrue(nextPoll().delayMicros() <= MIN_BACKOFF_MICROS);
    }

    @Test
    void ageIsMinusOneBeforeTheFirstSnapshot() {
        failPoll();
        assertEquals(-1, directory.ageMicros(nowMicros));
    }

    @Test
    void failedPollIsPublishedIfTheSchedulerRequestsThePolls() {
        directory = directory(true);
        failPoll();
        assertEquals(new PublishFailure(), commands.get(0));
    }

    @Test
    void indexThatGoesBackResetsTheNextPollToIndexZeroAfterADelay() {
        receiveSnapshot(500, ready("a", 1));
        receiveSnapshot(3, ready("a", 1));
        assertEquals(0, nextPoll().index());
        assertTrue(
                nextPoll().delayMicros() > 0,
                "the next poll is delayed, since the health API has just restarted");
    }

    @Test
    void endpointRegisteredAgainWithoutAReportedStartCountsAsStartedNow() {
        receiveSnapshot(1, ready("a", 10));
        nowMicros += 9_000;
        receiveSnapshot(2, ready("a", 11));
        assertEquals(nowMicros, publishedUpdate().entries().get(0).startedAtMicros());
        receiveSnapshot(3, ready("a", 11));
        assertNull(
                publishedUpdate(), "an endpoint that is not registered again keeps its start time");
    }

    /** Returns the freshness published by the last event; null if it has not changed. */
    private PublishFreshness publishedFreshness() {
        for (Command command : commands) {
            if (command instanceof PublishFreshness publish) {
                return publish;
            }
        }
        return null;
    }

    @Test
    void listIsCurrentUntilTheNextResponseIsOverdue() {
        receiveSnapshot(5, ready("a", 1));
        long overdueAtMicros = nowMicros + RESPONSE_TIMEOUT_MICROS;
        assertEquals(
                new PublishFreshness(true, overdueAtMicros + VALID_AFTER_FAILURE_MICROS),
                publishedFreshness());
    }

    @Test
    void listStaysValidForALimitedTimeAfterAFailedPollWhichFurtherFailuresDoNotExtend() {
        receiveSnapshot(5, ready("a", 1));
        nowMicros += 700;
        failPoll();
        assertEquals(
                new PublishFreshness(false, nowMicros + VALID_AFTER_FAILURE_MICROS),
                publishedFreshness());
        nowMicros += 700;
        failPoll();
        assertNull(publishedFreshness());
        receiveSnapshot(5, ready("a", 1));
        assertTrue(publishedFreshness().current());
    }

    @Test
    void snapshotThatLayUnreadCountsFromItsEarliestArrivalAndIsPolledAgainAtOnce() {
        receiveSnapshot(5, ready("a", 1));
        commands.clear();
        nowMicros += 3_000_000;
        long earliestArrivalMicros = nowMicros - 2_500_000;
        directory.handle(
                nowMicros,
                new SnapshotReceived(6, List.of(ready("a", 1)), earliestArrivalMicros),
                commands::add);
        assertEquals(
                new PublishFreshness(false, earliestArrivalMicros + VALID_AFTER_FAILURE_MICROS),
                publishedFreshness());
        assertEquals(new Poll(0, 0), nextPoll());
    }

    @Test
    void listWithoutLimitsDoesNotBecomeOutdatedAfterAFailedPoll() {
        directory =
                new EndpointDirectory(
                        MIN_BACKOFF_MICROS,
                        MAX_BACKOFF_MICROS,
                        false,
                        SEED,
                        PollFreshness.Limits.NONE);
        receiveSnapshot(5, ready("a", 1));
        failPoll();
        assertEquals(new PublishFreshness(false, PollFreshness.UNLIMITED), publishedFreshness());
    }
}
