package waytrestle.discovery.watch;

/**
 * From when on all that the watch server holds counts as received here, also while it is out of
 * reach: rules that begin with a notification, as that on draining invokers, run from then.
 *
 * <p>The platform states the times: two seconds after a connection has broken off, four seconds
 * after the server has fallen silent or its address has changed, and at once when the events are
 * requested again. The earliest one counts. It is over when the server has shown that nothing is
 * missing here.
 *
 * <p>Lines and ends count from the earliest time at which they can have come: a process that has
 * not run for a while finds old ones.
 *
 * <p>Free of I/O, clocks and threads. Not thread-safe: used by the controller's event loop.
 */
final class ListFreshness {
    /** After the end of a connection, by the platform's pages. */
    private static final long BROKEN_OFF_MICROS = 2_000_000;

    /** After the last line of a server that has fallen silent, by the platform's pages. */
    private static final long SILENT_MICROS = 4_000_000;

    /** After a new configuration with another address, by the platform's pages. */
    private static final long MOVED_MICROS = 4_000_000;

    /** A process knows at first what was listed when it was started, which is past. */
    private static final long BEFORE_START = Long.MIN_VALUE / 2;

    private boolean current;
    private long receivedAtMicros = BEFORE_START;
    private long lastLineAtMicros;
    private boolean catchingUp;

    /**
     * When all that the server holds counts as received. While nothing is missing this is when it
     * will if no further line comes, so that it holds for a process that has not run since.
     */
    long receivedAtMicros() {
        return current ? lastLineAtMicros + SILENT_MICROS : receivedAtMicros;
    }

    /** Whether nothing is missing here, so far as is known. */
    boolean isCurrent() {
        return current;
    }

    /**
     * Whether missing events are being delivered: the next heartbeat will tell that none is left.
     */
    boolean isCatchingUp() {
        return catchingUp;
    }

    /** The connection has ended, or events are missing on it. */
    void streamInterrupted(long sinceMicros) {
        atLatest(sinceMicros + BROKEN_OFF_MICROS);
    }

    /** The server has sent nothing new for longer than it may. */
    void serverSilent() {
        atLatest(lastLineAtMicros + SILENT_MICROS);
    }

    /**
     * Nobody listened for a while, and the server may have been reachable. Guards against a process
     * that was stopped between two outages: it takes them for one.
     */
    void processStopped(long sinceMicros) {
        if (!current) {
            receivedAtMicros = Math.min(receivedAtMicros, sinceMicros);
        }
    }

    /** The server is at another address from now on. */
    void addressChanged(long nowMicros) {
        atLatest(nowMicros + MOVED_MICROS);
    }

    /** The events have been requested again on a new connection. */
    void eventsRequested(long nowMicros) {
        atLatest(nowMicros);
    }

    private void atLatest(long micros) {
        receivedAtMicros = Math.min(receivedAtMicros(), micros);
        current = false;
        catchingUp = false;
    }

    /**
     * The next event has come. While others may be missing the list counts for no more than before:
     * those that are still to come have counted as received all the time.
     */
    void eventReceived(long sinceMicros) {
        lastLineAtMicros = sinceMicros;
        catchingUp = !current;
    }

    /** The server has reported that its last event is the last one known here. */
    void caughtUp(long sinceMicros) {
        lastLineAtMicros = sinceMicros;
        current = true;
        catchingUp = false;
    }
}
