package waytrestle.discovery.watch;

import java.util.function.Consumer;

/**
 * Decides what the lines of a watch server mean: which events to publish and when to reconnect.
 * Free of I/O, clocks and threads. Not thread-safe: used by the controller's event loop.
 *
 * <p>Each event is published once and in the order of revisions. One that arrives twice is dropped;
 * after a gap the client reconnects from the last revision published. When the server ends the
 * connection, the client reconnects at once, and with backoff while that fails. A server whose
 * connection stays open without a line is taken for dead, since it sends a heartbeat each second.
 * {@link ListFreshness} says meanwhile from when on the list counts as outdated.
 *
 * <p>A server that has nothing to send answers a request with a heartbeat at once; after events its
 * next one comes within a second. So events that were missing are followed by one more request,
 * whose answer tells that none is left: a controller that has just started would wait for a second.
 */
public final class WatchState {
    /** Between lines: one heartbeat may be late, but two may not be missing. */
    private static final long HEARTBEAT_TIMEOUT_MICROS = 1_700_000;

    /**
     * After the first of the missing events: by then the others, which the server sends in one go,
     * have come too.
     */
    private static final long CATCH_UP_MICROS = 20_000;

    /** Doubles with each failure; the first reconnect comes without any backoff. */
    private static final long RECONNECT_BACKOFF_MICROS = 20_000;

    /** Ten are past the longest backoff of any usual drain grace; more could overflow. */
    private static final int MAX_BACKOFF_DOUBLINGS = 10;

    /**
     * The connect time-out and the longest backoff may each take one part of the time in which an
     * event must take effect: half of it is left to read and apply the event.
     */
    private static final int DRAIN_GRACE_PARTS = 4;

    /** Where the settings give no drain grace: the usual one. */
    private static final long DEFAULT_DRAIN_GRACE_MICROS = 1_000_000;

    /** Something that happened. */
    public sealed interface Event {}

    /**
     * A line arrived: an event or a heartbeat.
     *
     * @param earliestArrivalMicros the earliest time at which it can have come
     */
    public record LineReceived(WatchEvent event, long earliestArrivalMicros) implements Event {}

    /**
     * The connection ended, could not be made, or carried a line that cannot be read.
     *
     * @param earliestFailureMicros the earliest time at which that can have happened
     */
    public record ConnectionFailed(long earliestFailureMicros) implements Event {}

    /** The events after the last one known were requested on a new connection. */
    public record RequestSent() implements Event {}

    /** The watch server is at another address now, or is to be followed for the first time. */
    public record AddressChanged() implements Event {}

    /**
     * The process has not run since that time. Where there was no connection it cannot tell whether
     * the server was reachable meanwhile, and events were published.
     */
    public record ProcessStopped(long stoppedSinceMicros) implements Event {}

    /** It is time to check whether the server still sends heartbeats. */
    public record HeartbeatCheckDue() implements Event {}

    /** What is to be done after an event. */
    public sealed interface Command {}

    /** Hand the event to the listener. */
    public record PublishEvent(WatchEvent event) implements Command {}

    /**
     * Tell the listener that the server has answered for the first time: what was known at the
     * start is complete, but for the events published from now on.
     */
    public record PublishSynchronized() implements Command {}

    /**
     * Drop the connection, if there is one, and after the delay request all events after the
     * revision on a new one.
     */
    public record Reconnect(long afterRevision, long delayMicros) implements Command {}

    /** Why the list may have become outdated. */
    public enum LossCause {
        /** The server has not answered since the start. */
        STARTING,
        /** The connection has ended, or what it carried could not be read. */
        CLOSED,
        /** No line came, or none but old revisions. */
        SILENT,
        /** An event is missing. */
        GAP,
        /** A new configuration names another address. */
        MOVED
    }

    /**
     * Tell the listener by when the list counts as outdated, at each change.
     *
     * @param current whether nothing is missing, so far as is known
     * @param catchingUp whether missing events are being delivered
     * @param receivedAtMicros from when on all that the server holds counts as received here; while
     *     nothing is missing, if no further line comes
     * @param cause why the list may be outdated; of no meaning where nothing is missing
     */
    public record PublishFreshness(
            boolean current, boolean catchingUp, long receivedAtMicros, LossCause cause)
            implements Command {}

    private final long longestStepMicros;
    private final ListFreshness freshness = new ListFreshness();
    private long lastRevision;
    private long silentSinceMicros;
    private long catchingUpSinceMicros;
    private int consecutiveFailures;
    private boolean synchronizedOnce;
    private boolean confirmationRequested;
    private LossCause lossCause = LossCause.STARTING;
    private PublishFreshness published;

    /**
     * Starts before the first connection.
     *
     * @param lastRevision of the last event that is known already
     * @param drainGraceMicros the time in which an event must take effect; 0 for the usual one
     */
    public WatchState(long lastRevision, long drainGraceMicros) {
        this.lastRevision = lastRevision;
        long graceMicros = drainGraceMicros > 0 ? drainGraceMicros : DEFAULT_DRAIN_GRACE_MICROS;
        this.longestStepMicros = graceMicros / DRAIN_GRACE_PARTS;
    }

    /** Microseconds after which a connection attempt is given up. */
    public long connectTimeoutMicros() {
        return longestStepMicros;
    }

    /** The revision of the last event published, or known from the start. */
    public long lastRevision() {
        return lastRevision;
    }

    /** Takes in what happened and passes on what to do about it, in order. */
    public void handle(long nowMicros, Event event, Consumer<Command> commands) {
        if (event instanceof LineReceived line) {
            lineReceived(nowMicros, line, commands);
        } else if (event instanceof RequestSent) {
            freshness.eventsRequested(nowMicros);
        } else if (event instanceof ConnectionFailed failed) {
            lost(LossCause.CLOSED);
            freshness.streamInterrupted(failed.earliestFailureMicros());
            reconnect(nowMicros, commands);
        } else if (event instanceof ProcessStopped stopped) {
            freshness.processStopped(stopped.stoppedSinceMicros());
        } else if (event instanceof AddressChanged) {
            lost(LossCause.MOVED);
            freshness.addressChanged(nowMicros);
            consecutiveFailures = 0;
            reconnect(nowMicros, commands);
        } else if (nowMicros - silentSinceMicros > HEARTBEAT_TIMEOUT_MICROS) {
            lost(LossCause.SILENT);
            freshness.serverSilent();
            reconnect(nowMicros, commands);
        } else if (mayHaveCaughtUp(nowMicros)) {
            confirmationRequested = true;
            reconnect(nowMicros, commands);
        }
        PublishFreshness now =
                new PublishFreshness(
                        freshness.isCurrent(),
                        freshness.isCatchingUp(),
                        freshness.receivedAtMicros(),
                        lossCause);
        if (!now.equals(published)) {
            published = now;
            commands.accept(now);
        }
    }

    /** Whether missing events have come, and none for a while. Once for each loss. */
    private boolean mayHaveCaughtUp(long nowMicros) {
        return freshness.isCatchingUp()
                && !confirmationRequested
                && nowMicros - catchingUpSinceMicros > CATCH_UP_MICROS;
    }

    /** Remembers why: the first cause of one loss counts. */
    private void lost(LossCause cause) {
        if (freshness.isCurrent()) {
            lossCause = cause;
        }
    }

    private void lineReceived(long nowMicros, LineReceived line, Consumer<Command> commands) {
        WatchEvent event = line.event();
        if (event.isHeartbeat() && event.revision() < lastRevision) {
            // A server that is behind what was published here has nothing new to send: it counts
            // as silent, so that the client reconnects once the heartbeat time-out is over.
            return;
        }
        silentSinceMicros = nowMicros;
        if (event.revision() > highestExpectedRevision(event)) {
            lost(LossCause.GAP);
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

    /** A higher revision shows that events were missed. */
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
        return Math.min(longestStepMicros, RECONNECT_BACKOFF_MICROS << doublings);
    }
}
