package waytrestle.discovery.watch;

import java.util.function.Consumer;

/**
 * Follows the watch stream: decides which events to publish and when to reconnect. Free of I/O,
 * clocks and threads. Not thread-safe: used by the controller's event loop. Times are in
 * microseconds on the event loop's clock.
 *
 * <p>Each event is published once and in the order of revisions. An event that arrives again is
 * dropped; after a gap the client reconnects and requests the events after the last revision
 * published. When the server ends the connection, the client reconnects at once and, while that
 * fails, with backoff. The client also reconnects to a server that sends nothing on an open
 * connection: a healthy server sends a heartbeat each second. {@link ListFreshness} determines when
 * the endpoint list counts as last received.
 *
 * <p>If the server has no events to send, it answers a request with a heartbeat at once; after
 * events, its next heartbeat follows within a second. So once missing events have arrived, the
 * client sends one more request, whose heartbeat confirms that no event is missing. Without that
 * request, a controller that has just started would wait for up to a second.
 */
public final class WatchState {
    /** Longest time between lines: allows one late heartbeat, but not two missing ones. */
    private static final long HEARTBEAT_TIMEOUT_MICROS = 1_700_000;

    /**
     * Time from the arrival of the first missing event until all missing events have arrived: the
     * server sends them together.
     */
    private static final long CATCH_UP_MICROS = 20_000;

    /**
     * Base of the reconnect backoff, which doubles with each consecutive failure. The first
     * reconnect has no backoff.
     */
    private static final long BASE_BACKOFF_MICROS = 20_000;

    /**
     * Ten doublings exceed the longest backoff of any usual drain grace; more could overflow a
     * {@code long}.
     */
    private static final int MAX_BACKOFF_DOUBLINGS = 10;

    /**
     * The connect time-out and the longest backoff each take the drain grace divided by this
     * number. An event must take effect within the drain grace, and so half of it is left to read
     * and apply the event.
     */
    private static final int RECONNECT_STEP_DIVISOR = 4;

    /** Drain grace if the settings set none; the usual value. */
    private static final long DEFAULT_DRAIN_GRACE_MICROS = 1_000_000;

    /** An input of the state. */
    public sealed interface Event {}

    /**
     * A line arrived: an event or a heartbeat.
     *
     * @param earliestArrivalMicros earliest time at which the line can have arrived
     */
    public record LineReceived(WatchEvent event, long earliestArrivalMicros) implements Event {}

    /**
     * The connection ended, could not be established, or carried a malformed or too long line.
     *
     * @param earliestFailureMicros earliest time at which the connection can have failed
     */
    public record ConnectionFailed(long earliestFailureMicros) implements Event {}

    /** The events after the last published revision were requested on a new connection. */
    public record RequestSent() implements Event {}

    /** The watch server has another address now, or is to be followed for the first time. */
    public record AddressChanged() implements Event {}

    /**
     * This process did not run for a while. If it had no connection, it cannot know whether the
     * server was reachable in that time and published events.
     *
     * @param stoppedSinceMicros earliest time since which the process did not run
     */
    public record ProcessStopped(long stoppedSinceMicros) implements Event {}

    /** A check whether the server still sends heartbeats is due. */
    public record HeartbeatCheckDue() implements Event {}

    /** What is to be done after an event. */
    public sealed interface Command {}

    /** Pass the event to the listener. */
    public record PublishEvent(WatchEvent event) implements Command {}

    /**
     * Tell the listener that the server has confirmed the last revision known at the start: the
     * endpoints known at the start are complete, except for the events published from now on.
     */
    public record PublishSynchronized() implements Command {}

    /**
     * Drop the connection, if there is one, and request events on a new connection.
     *
     * @param afterRevision revision whose later events are requested
     * @param delayMicros how long to wait before the new connection is opened
     */
    public record Reconnect(long afterRevision, long delayMicros) implements Command {}

    /** Why the endpoint list may have become outdated. */
    public enum LossCause {
        /** The server has not answered since the start. */
        STARTING,
        /** The connection failed, or carried a malformed or too long line. */
        CLOSED,
        /** No line arrived, or only heartbeats with old revisions. */
        SILENT,
        /** An event is missing. */
        GAP,
        /** A new configuration names another address of the watch server. */
        MOVED
    }

    /**
     * Tell the listener when the endpoint list counts as last received. Sent only when one of the
     * values has changed.
     *
     * @param current whether this process has all events of the server, as far as it knows
     * @param catchingUp whether the server is delivering missing events
     * @param receivedAtMicros when the endpoint list counts as last received; while it is current,
     *     the time that applies if no further line arrives, which lies ahead
     * @param cause why the endpoint list may be outdated; meaningless while it is current
     */
    public record PublishFreshness(
            boolean current, boolean catchingUp, long receivedAtMicros, LossCause cause)
            implements Command {}

    private final long reconnectStepMicros;
    private final ListFreshness freshness = new ListFreshness();
    private long lastRevision;

    /**
     * Time of the last line that counts as a sign of life; after a reconnect, the time when the new
     * connection is opened.
     */
    private long silentSinceMicros;

    /** While missing events are being delivered: the time when the first of them arrived. */
    private long catchingUpSinceMicros;

    private int consecutiveFailures;
    private boolean synchronizedOnce;
    private boolean confirmationRequested;
    private LossCause lossCause = LossCause.STARTING;
    private PublishFreshness lastPublishedFreshness;

    /**
     * Creates the state before the first connection.
     *
     * @param lastRevision revision of the last event that is already known from the configuration
     * @param drainGraceMicros time within which an event must take effect; 0 for the default
     */
    public WatchState(long lastRevision, long drainGraceMicros) {
        this.lastRevision = lastRevision;
        long graceMicros = drainGraceMicros > 0 ? drainGraceMicros : DEFAULT_DRAIN_GRACE_MICROS;
        this.reconnectStepMicros = graceMicros / RECONNECT_STEP_DIVISOR;
    }

    /** Returns the microseconds after which an attempt to connect is abandoned. */
    public long connectTimeoutMicros() {
        return reconnectStepMicros;
    }

    /**
     * Returns the revision of the last event published, or known from the start if there is none.
     */
    public long lastRevision() {
        return lastRevision;
    }

    /** Handles an event and passes the commands on, in the order to run them in. */
    public void handle(long nowMicros, Event event, Consumer<Command> commands) {
        if (event instanceof LineReceived line) {
            handleLine(nowMicros, line, commands);
        } else if (event instanceof RequestSent) {
            freshness.eventsRequested(nowMicros);
        } else if (event instanceof ConnectionFailed failed) {
            recordLossCause(LossCause.CLOSED);
            freshness.streamInterrupted(failed.earliestFailureMicros());
            reconnect(nowMicros, commands);
        } else if (event instanceof ProcessStopped stopped) {
            freshness.processStopped(stopped.stoppedSinceMicros());
        } else if (event instanceof AddressChanged) {
            recordLossCause(LossCause.MOVED);
            freshness.addressChanged(nowMicros);
            consecutiveFailures = 0;
            reconnect(nowMicros, commands);
        } else if (nowMicros - silentSinceMicros > HEARTBEAT_TIMEOUT_MICROS) {
            recordLossCause(LossCause.SILENT);
            freshness.serverSilent();
            reconnect(nowMicros, commands);
        } else if (mayHaveCaughtUp(nowMicros)) {
            confirmationRequested = true;
            reconnect(nowMicros, commands);
        }
        PublishFreshness latest =
                new PublishFreshness(
                        freshness.isCurrent(),
                        freshness.isCatchingUp(),
                        freshness.receivedAtMicros(),
                        lossCause);
        if (!latest.equals(lastPublishedFreshness)) {
            lastPublishedFreshness = latest;
            commands.accept(latest);
        }
    }

    /**
     * Returns whether all missing events have probably arrived and no request for a confirmation
     * has been sent yet since the list became outdated.
     */
    private boolean mayHaveCaughtUp(long nowMicros) {
        return freshness.isCatchingUp()
                && !confirmationRequested
                && nowMicros - catchingUpSinceMicros > CATCH_UP_MICROS;
    }

    /** Records why the list may be outdated; only the first cause is kept while it is. */
    private void recordLossCause(LossCause cause) {
        if (freshness.isCurrent()) {
            lossCause = cause;
        }
    }

    private void handleLine(long nowMicros, LineReceived line, Consumer<Command> commands) {
        WatchEvent event = line.event();
        if (event.isHeartbeat() && event.revision() < lastRevision) {
            // A server behind the last published revision has nothing new to send: it counts as
            // silent, so that the client reconnects once the heartbeat time-out is over.
            return;
        }
        silentSinceMicros = nowMicros;
        if (event.revision() > highestExpectedRevision(event)) {
            recordLossCause(LossCause.GAP);
            freshness.streamInterrupted(line.earliestArrivalMicros());
            reconnect(nowMicros, commands);
            return;
        }
        consecutiveFailures = 0;
        if (!synchronizedOnce && event.revision() >= lastRevision) {
            synchronizedOnce = true;
            commands.accept(new PublishSynchronized());
        }
        if (event.isHeartbeat()) {
            freshness.caughtUp(line.earliestArrivalMicros());
            confirmationRequested = false;
        } else if (event.revision() == lastRevision + 1) {
            lastRevision = event.revision();
            if (!freshness.isCatchingUp()) {
                catchingUpSinceMicros = nowMicros;
            }
            freshness.eventReceived(line.earliestArrivalMicros());
            commands.accept(new PublishEvent(event));
        }
    }

    /** Returns the highest revision that the line may have if no event is missing before it. */
    private long highestExpectedRevision(WatchEvent event) {
        return event.isHeartbeat() ? lastRevision : lastRevision + 1;
    }

    private void reconnect(long nowMicros, Consumer<Command> commands) {
        long delayMicros = consecutiveFailures == 0 ? 0 : backoffMicros();
        consecutiveFailures++;
        silentSinceMicros = nowMicros + delayMicros;
        commands.accept(new Reconnect(lastRevision, delayMicros));
    }

    private long backoffMicros() {
        int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, consecutiveFailures);
        return Math.min(reconnectStepMicros, BASE_BACKOFF_MICROS << doublings);
    }
}
