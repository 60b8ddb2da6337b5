package waytrestle.discovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.InvokerEndpoint;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;

/**
 * Keeps the list of endpoints that service discovery reports. It takes the result of each poll as
 * an {@link Event} and passes on what to do next as {@link Command}s. Free of I/O, clocks and
 * threads. Not thread-safe: used by the controller's event loop. Times are in microseconds on the
 * scheduler's clock.
 *
 * <p>Faults of the health API are handled as follows:
 *
 * <ul>
 *   <li>While the health API lags, the last snapshot stays in use.
 *   <li>When a poll fails, the last snapshot stays in use for as long as {@link PollFreshness}
 *       allows, and the next poll follows after an exponential backoff with jitter, so that
 *       controllers whose polls failed together do not poll together again.
 *   <li>When a response lay unread because this process did not run, the next poll has index 0, is
 *       answered at once and reports the changes since that response.
 *   <li>A snapshot with fewer endpoints, even with none, takes effect at once: an endpoint that is
 *       gone must receive no new attempts, and rejecting requests for lack of invokers is harmless.
 *   <li>When the health API's index goes back, because the health API has restarted, the next poll
 *       has index 0.
 * </ul>
 */
public final class EndpointDirectory {
    /**
     * Share of a backoff that is not random. The random half is enough to spread the polls of
     * controllers whose polls failed together.
     */
    private static final double BACKOFF_FIXED_SHARE = 0.5;

    /**
     * Enough doublings to reach the longest backoff of any usual setting; more could overflow a
     * {@code long}.
     */
    private static final int MAX_BACKOFF_DOUBLINGS = 16;

    /**
     * A response that lay unread for longer shows the list of an earlier time. The limit is small
     * compared with any drain grace and longer than the pauses of a loaded process.
     */
    private static final long MAX_UNREAD_MICROS = 100_000;

    /** Stands for the time of the last snapshot before there is one. */
    private static final long NEVER = 0;

    private static final long AGE_BEFORE_FIRST_SNAPSHOT = -1;

    /**
     * An endpoint as the health API lists it.
     *
     * @param createIndex the health API's index of the registration; changes when the endpoint is
     *     registered again
     */
    public record RegisteredEndpoint(InvokerEndpoint endpoint, long createIndex) {}

    /** The result of a poll. */
    public sealed interface Event {}

    /**
     * A poll returned the complete list of endpoints.
     *
     * @param index the health API's index at which the list was valid
     * @param entries the complete list of endpoints
     * @param earliestArrivalMicros earliest time at which the response can have arrived; earlier
     *     than now if the response may have lain unread
     */
    public record SnapshotReceived(
            long index, List<RegisteredEndpoint> entries, long earliestArrivalMicros)
            implements Event {}

    /**
     * A poll returned no list of endpoints.
     *
     * @param earliestFailureMicros earliest time at which the poll can have failed
     */
    public record PollFailed(long earliestFailureMicros) implements Event {}

    /** What is to be done after an event. */
    public sealed interface Command {}

    /** Pass the update to the scheduler. */
    public record PublishUpdate(EndpointsUpdated update) implements Command {}

    /** Tell the scheduler that the poll it requested failed. */
    public record PublishFailure() implements Command {}

    /**
     * Tell the scheduler when the endpoint list counts as last received. Sent only when one of the
     * values has changed.
     *
     * @param current whether the last poll was answered in time
     * @param receivedAtMicros when the endpoint list counts as last received unless a further poll
     *     is answered; may lie ahead; {@link PollFreshness#UNLIMITED} if the list does not become
     *     outdated
     */
    public record PublishFreshness(boolean current, long receivedAtMicros) implements Command {}

    /**
     * Send the next poll.
     *
     * @param index the response is held back until the health API's index differs from this one; a
     *     poll with index 0 is answered at once
     * @param delayMicros how long to wait before the poll is sent
     */
    public record Poll(long index, long delayMicros) implements Command {}

    private final long minBackoffMicros;
    private final long maxBackoffMicros;
    private final boolean publishesFailures;
    private final SplittableRandom random;
    private final PollFreshness freshness;
    private Map<String, RegisteredEndpoint> endpoints = new LinkedHashMap<>();
    private boolean awaitingFirstSnapshot = true;
    private long index;
    private long lastSnapshotAtMicros = NEVER;
    private int consecutiveFailures;
    private PublishFreshness lastPublishedFreshness;

    /**
     * Creates a directory without endpoints.
     *
     * @param minBackoffMicros longest delay of the next poll after the first failure, and its delay
     *     when the health API's index has gone back or is not positive
     * @param maxBackoffMicros longest delay of the next poll after any number of failures
     * @param publishesFailures whether a failed poll results in {@link PublishFailure}: the
     *     scheduler must know of failures if it requests the polls itself
     * @param seed random seed of the backoff's jitter
     * @param limits how long the list may be used without an answered poll
     */
    public EndpointDirectory(
            long minBackoffMicros,
            long maxBackoffMicros,
            boolean publishesFailures,
            long seed,
            PollFreshness.Limits limits) {
        this.minBackoffMicros = minBackoffMicros;
        this.maxBackoffMicros = maxBackoffMicros;
        this.publishesFailures = publishesFailures;
        this.random = new SplittableRandom(seed);
        this.freshness = new PollFreshness(limits);
    }

    /** Returns the number of endpoints in the last snapshot; 0 before the first. */
    public int size() {
        return endpoints.size();
    }

    /** Returns the microseconds since the last snapshot; -1 before the first. */
    public long ageMicros(long nowMicros) {
        if (lastSnapshotAtMicros == NEVER) {
            return AGE_BEFORE_FIRST_SNAPSHOT;
        }
        return nowMicros - lastSnapshotAtMicros;
    }

    /** Handles the result of a poll and passes the commands on, in the order to run them in. */
    public void handle(long nowMicros, Event event, Consumer<Command> commands) {
        if (event instanceof SnapshotReceived snapshot) {
            snapshotReceived(nowMicros, snapshot, commands);
        } else {
            pollFailed((PollFailed) event, commands);
        }
    }

    private void pollFailed(PollFailed failure, Consumer<Command> commands) {
        long delayMicros = nextBackoffMicros();
        if (publishesFailures) {
            commands.accept(new PublishFailure());
        }
        freshness.queryFailed(failure.earliestFailureMicros());
        publishFreshness(commands);
        commands.accept(new Poll(index, delayMicros));
    }

    private long nextBackoffMicros() {
        int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, consecutiveFailures);
        consecutiveFailures++;
        long longestMicros = Math.min(maxBackoffMicros, minBackoffMicros << doublings);
        double randomShare = (1 - BACKOFF_FIXED_SHARE) * random.nextDouble();
        return (long) (longestMicros * (BACKOFF_FIXED_SHARE + randomShare));
    }

    private void snapshotReceived(
            long nowMicros, SnapshotReceived snapshot, Consumer<Command> commands) {
        lastSnapshotAtMicros = nowMicros;
        consecutiveFailures = 0;
        Map<String, RegisteredEndpoint> received = new LinkedHashMap<>();
        for (RegisteredEndpoint entry : snapshot.entries()) {
            received.put(entry.endpoint().id(), withKnownStart(nowMicros, entry));
        }
        List<InvokerEndpoint> changes = changes(received);
        endpoints = received;
        if (awaitingFirstSnapshot || !changes.isEmpty()) {
            EndpointsUpdated update = new EndpointsUpdated(awaitingFirstSnapshot, false, changes);
            commands.accept(new PublishUpdate(update));
        }
        awaitingFirstSnapshot = false;
        boolean late = nowMicros - snapshot.earliestArrivalMicros() > MAX_UNREAD_MICROS;
        if (late) {
            freshness.queryFailed(snapshot.earliestArrivalMicros());
        } else {
            freshness.queryAnswered(nowMicros);
        }
        publishFreshness(commands);
        if (late) {
            // The changes since the response arrived are polled for at once.
            commands.accept(new Poll(0, 0));
        } else {
            pollAfter(snapshot, commands);
        }
    }

    private void publishFreshness(Consumer<Command> commands) {
        PublishFreshness latest =
                new PublishFreshness(freshness.isCurrent(), freshness.receivedAtMicros());
        if (!latest.equals(lastPublishedFreshness)) {
            lastPublishedFreshness = latest;
            commands.accept(latest);
        }
    }

    private void pollAfter(SnapshotReceived snapshot, Consumer<Command> commands) {
        boolean restarted = snapshot.index() < index;
        index = restarted ? 0 : snapshot.index();
        // Index 0 is answered at once: without a delay, polls would follow each other endlessly.
        boolean answersAtOnce = restarted || snapshot.index() <= 0;
        commands.accept(new Poll(index, answersAtOnce ? minBackoffMicros : 0));
    }

    /**
     * Returns the endpoints that are new or different in the received snapshot, followed by those
     * that are missing from it, with the state {@link EndpointState#GONE}.
     */
    private List<InvokerEndpoint> changes(Map<String, RegisteredEndpoint> received) {
        List<InvokerEndpoint> changes = new ArrayList<>();
        for (RegisteredEndpoint current : received.values()) {
            RegisteredEndpoint previous = endpoints.get(current.endpoint().id());
            if (previous == null || !previous.endpoint().equals(current.endpoint())) {
                changes.add(current.endpoint());
            }
        }
        for (RegisteredEndpoint previous : endpoints.values()) {
            if (!received.containsKey(previous.endpoint().id())) {
                changes.add(asGone(previous.endpoint()));
            }
        }
        return changes;
    }

    private static InvokerEndpoint asGone(InvokerEndpoint endpoint) {
        return new InvokerEndpoint(
                endpoint.id(),
                endpoint.zone(),
                endpoint.cell(),
                endpoint.kind(),
                EndpointState.GONE,
                endpoint.weight(),
                endpoint.startedAtMicros());
    }

    /**
     * Returns the received endpoint with a start time. If the health API reports none, an endpoint
     * that was registered again since the last snapshot counts as started now, and any other known
     * endpoint keeps the start time it has. An endpoint that was unknown is returned unchanged.
     */
    private RegisteredEndpoint withKnownStart(long nowMicros, RegisteredEndpoint received) {
        InvokerEndpoint endpoint = received.endpoint();
        RegisteredEndpoint previous = endpoints.get(endpoint.id());
        if (previous == null || endpoint.startedAtMicros() > 0) {
            return received;
        }
        boolean registeredAnew = previous.createIndex() != received.createIndex();
        long startedAtMicros = registeredAnew ? nowMicros : previous.endpoint().startedAtMicros();
        InvokerEndpoint started =
                new InvokerEndpoint(
                        endpoint.id(),
                        endpoint.zone(),
                        endpoint.cell(),
                        endpoint.kind(),
                        endpoint.state(),
                        endpoint.weight(),
                        startedAtMicros);
        return new RegisteredEndpoint(started, received.createIndex());
    }
}
