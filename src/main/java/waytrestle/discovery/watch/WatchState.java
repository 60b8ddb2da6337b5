package waytrestle.discovery.watch;

/**
 * What comes of a notice board's lines: numbers, order and gaps. Free of I/O, clock and threads.
 *
 * <p>Each event is told once, in order; one that comes twice is dropped, and after a gap the board
 * is asked again from the last one told. A board that ends its connection is asked again at once;
 * one that stays open and says nothing is taken to have stopped, for it says its last number each
 * second.
 */
public final class WatchState {
    // ---- Tuned numbers, micros. ----
    private static final long SILENCE = 1_700_000; // between lines: one number may be late, not two
    private static final long RETRY = 20_000; // first pause after a failure, doubling ...
    private static final int GRACE_PARTS =
            4; // connecting, and the longest pause, may take one part each of the time

    // in which an event must be obeyed: half is left to read and obey it

    /** What happens. */
    public sealed interface Event {}

    /** A line came; hosts are null in one that holds a number alone. */
    public record LineReceived(WatchEvent event) implements Event {}

    /** The connection ended, was not made, or a line could not be read. */
    public record ConnectionBroke() implements Event {}

    /** The board is at another address now. */
    public record AddressChanged() implements Event {}

    /** Time has passed. */
    public record SilenceCheckDue() implements Event {}

    /** What is to be done. */
    public sealed interface Command {}

    public record PublishEvent(WatchEvent event) implements Command {}

    /**
     * The board has answered for the first time: what was known at the start is complete, but for
     * what is told next.
     */
    public record Current() implements Command {}

    /**
     * Drop the connection, if there is one, and after a while ask on a new one for all after this
     * event.
     */
    public record Reconnect(long afterRevision, long delayMicros) implements Command {}

    /** Takes the actions in order. */
    public interface CommandSink {
        void add(Command action);
    }

    private static final long UNTOLD_GRACE =
            1_000_000; // where the settings tell none: the usual one

    private final long longestStep;
    private long lastRevision, heardAt;
    private int failures;
    private boolean current;

    /**
     * Last is the number of the last event that is known already; grace is the time in which an
     * event must be obeyed.
     */
    public WatchState(long last, long graceMicros) {
        this.lastRevision = last;
        this.longestStep = (graceMicros > 0 ? graceMicros : UNTOLD_GRACE) / GRACE_PARTS;
    }

    /** Micros after which a connection that has not come up is given up. */
    public long connectMicros() {
        return longestStep;
    }

    public long lastRevision() {
        return lastRevision;
    }

    public void handle(long now, Event event, CommandSink actions) {
        if (event instanceof LineReceived line) {
            line(now, line.event(), actions);
        } else if (event instanceof ConnectionBroke) {
            again(now, actions);
        } else if (event instanceof AddressChanged) {
            failures = 0;
            again(now, actions);
        } else if (now - heardAt > SILENCE) {
            again(now, actions);
        }
    }

    private void line(long now, WatchEvent notice, CommandSink actions) {
        boolean told = notice.endpoints() != null;
        if (!told && notice.revision() < lastRevision) {
            return; // a board that is behind what was told here tells nothing: as good as silent
        }
        heardAt = now;
        if (notice.revision() > lastRevision + (told ? 1 : 0)) {
            again(now, actions);
            return;
        }
        failures = 0;
        if (!current && notice.revision() >= lastRevision) {
            current = true;
            actions.add(new Current());
        }
        if (told && notice.revision() == lastRevision + 1) {
            lastRevision = notice.revision();
            actions.add(new PublishEvent(notice));
        }
    }

    private void again(long now, CommandSink actions) {
        long pause = failures == 0 ? 0 : Math.min(longestStep, RETRY << Math.min(10, failures));
        failures++;
        heardAt = now + pause;
        actions.add(new Reconnect(lastRevision, pause));
    }
}
