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
 * The invokers that service discovery lists, kept up to date from the results of polls: a result
 * comes in as an {@link Event}, what to do about it goes out as {@link Command}s. Free of I/O,
 * clocks and threads. Not thread-safe: used by the controller's event loop.
 *
 * <p>Faults of the health API are met as follows:
 *
 * <ul>
 *   <li>While it lags, the last snapshot stays in force.
 *   <li>When a poll fails, the last snapshot stays in force too, for as long as {@link
 *       PollFreshness} allows, and the next poll comes after an exponential backoff with jitter, so
 *       that controllers do not return all together.
 *   <li>When a response lay unread, since this process did not run, the next poll is answered at
 *       once and tells what has changed since.
 *   <li>A snapshot that shrinks, even to nothing, takes effect at once: an endpoint that is gone
 *       must receive nothing new, and a request without invokers is rejected, which harms nobody.
 *   <li>When it restarts, so that its index goes back, it is polled from index 0 again.
 * </ul>
 */
public final class EndpointDirectory {
    /**
     * Half of a backoff is random: enough to spread the polls of controllers that failed at once.
     */
    private static final double BACKOFF_FIXED_SHARE = 0.5;

    /** More could overflow; these reach the longest backoff of any usual setting. */
    private static final int MAX_BACKOFF_DOUBLINGS = 16;

    /**
     * A response that lay unread for longer tells what held then. It is small beside any drain
     * grace, and longer than the pauses of a loaded process.
     */
    private static final long LATE_MICROS = 100_000;

    private static final long NEVER = 0;
    private static final long AGE_BEFORE_FIRST_SNAPSHOT = -1;

    /**
     * An endpoint as the health API lists it.
     *
     * @param createIndex changes when the endpoint is registered anew
     */
    public record RegisteredEndpoint(InvokerEndpoint endpoint, long createIndex) {}

    /** The result of a poll. */
    public sealed interface Event {}

    /**
     * A poll returned the complete list of endpoints, as of the health API's index.
     *
     * @param earliestArrivalMicros the earliest time at which the response can have arrived
     */
    public record SnapshotReceived(
            long index, List<RegisteredEndpoint> entries, long earliestArrivalMicros)
            implements Event {}

    /**
     * A poll returned no list of endpoints.
     *
     * @param earliestFailureMicros the earliest time at which it can have failed
     */
    public record PollFailed(long earliestFailureMicros) implements Event {}

    /** What is to be done after an event. */
    public sealed interface Command {}

    /** Hand the update to the scheduler. */
    public record PublishUpdate(EndpointsUpdated update) implements Command {}

    /** Tell the scheduler that the poll it asked for failed. */
    public record PublishFailure() implements Command {}

    /**
     * Tell the scheduler by when the list counts as outdated, at each change.
     *
     * @param current whether the last poll was answered in time
     * @param receivedAtMicros from when on all that the health API holds counts as received here,
     *     if no further poll is answered; {@link PollFreshness#UNLIMITED} where that is not limited
     */
    public record PublishFreshness(boolean current, long receivedAtMicros) implements Command {}

    /** Poll after the delay, blocking until the index changes; index 0 is answered at once. */
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
    private PublishFreshness published;

    /**
     * Starts with no endpoints.
     *
     * @param publishesFailures whether the scheduler polls by itself and so has to know of failures
     * @param seed of the backoff's jitter
     * @param limits for how long the list may be acted on without an answered poll
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

    /** The number of endpoints in the last snapshot. */
    public int size() {
        return endpoints.size();
    }

    /** Microseconds since the last snapshot; -1 before the first. */
    public long ageMicros(long nowMicros) {
        if (lastSnapshotAtMicros == NEVER) {
            return AGE_BEFORE_FIRST_SNAPSHOT;
        }
        return nowMicros - lastSnapshotAtMicros;
    }

    /** Takes in the result of a poll and passes on what to do about it, in order. */
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
        long longest = Math.min(maxBackoffMicros, minBackoffMicros << doublings);
        double randomShare = (1 - BACKOFF_FIXED_SHARE) * random.nextDouble();
        return (long) (longest * (BACKOFF_FIXED_SHARE + randomShare));
    }

    private void snapshotReceived(
            long nowMicros, SnapshotReceived snapshot, Consumer<Command> commands) {
        lastSnapshotAtMicros = nowMicros;
        consecutiveFailures = 0;
        Map<String, RegisteredEndpoint> received = new LinkedHashMap<>();
        for (RegisteredEndpoint each : snapshot.entries()) {
            received.put(each.endpoint().id(), withKnownStart(nowMicros, each));
        }
        List<InvokerEndpoint> changes = changes(received);
        endpoints = received;
        if (awaitingFirstSnapshot || !changes.isEmpty()) {
            EndpointsUpdated update = new EndpointsUpdated(awaitingFirstSnapshot, false, changes);
            commands.accept(new PublishUpdate(update));
        }
        awaitingFirstSnapshot = false;
        boolean late = nowMicros - snapshot.earliestArrivalMicros() > LATE_MICROS;
        if (late) {
            freshness.queryFailed(snapshot.earliestArrivalMicros());
        } else {
            freshness.queryAnswered(nowMicros);
        }
        publishFreshness(commands);
        if (late) {
            // What has changed since the response came is asked for at once.
            commands.accept(new Poll(0, 0));
        } else {
            pollAfter(snapshot, commands);
        }
    }

    private void publishFreshness(Consumer<Command> commands) {
        PublishFreshness now =
                new PublishFreshness(freshness.isCurrent(), freshness.receivedAtMicros());
        if (!now.equals(published)) {
            published = now;
            commands.accept(now);
        }
    }

    private void pollAfter(SnapshotReceived snapshot, Consumer<Command> commands) {
        boolean restarted = snapshot.index() < index;
        index = restarted ? 0 : snapshot.index();
        // Without an index to wait for, the health API answers at once: polling must not spin.
        boolean answersAtOnce = restarted || snapshot.index() <= 0;
        commands.accept(new Poll(index, answersAtOnce ? minBackoffMicros : 0));
    }

    /**
     * The endpoints that are new or different in the received snapshot, then those gone from it.
     */
    private List<InvokerEndpoint> changes(Map<String, RegisteredEndpoint> received) {
        List<InvokerEndpoint> changes = new ArrayList<>();
        for (RegisteredEndpoint each : received.values()) {
            RegisteredEndpoint previous = endpoints.get(each.endpoint().id());
            if (previous == null || !previous.endpoint().equals(each.endpoint())) {
                changes.add(each.endpoint());
            }
        }
        for (RegisteredEndpoint each : endpoints.values()) {
            if (!received.containsKey(each.endpoint().id())) {
                changes.add(gone(each.endpoint()));
            }
        }
        return changes;
    }

    private static InvokerEndpoint gone(InvokerEndpoint endpoint) {
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
     * Where no start is reported, an endpoint registered anew is taken to have started just now.
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
