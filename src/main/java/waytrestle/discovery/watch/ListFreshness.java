package waytrestle.discovery.watch;

/**
 * Determines when the endpoint list counts as last received, also while the watch server is
 * unreachable. Every event that the server holds counts as received at that time, so rules that
 * begin with an event, such as the drain grace of a draining invoker, run from then.
 *
 * <p>The platform's rules set that time: two seconds after a connection ended, four seconds after
 * the last line of a silent server or after a change of the server's address, and at once when the
 * events are requested again. The earliest of these times applies until the server has confirmed
 * that this process has all events.
 *
 * <p>A line or the end of a connection counts from the earliest time at which it can have arrived:
 * a process that has not run for a while finds old lines and ends.
 *
 * <p>Free of I/O, clocks and threads. Not thread-safe: used by the controller's event loop. Times
 * are in microseconds on the event loop's clock.
 */
final class ListFreshness {
    /** From the end of a connection until the list counts as received; set by the platform. */
    private static final long INTERRUPTION_GRACE_MICROS = 2_000_000;

    /**
     * From the last line of a silent server until the list counts as received; set by the platform.
     */
    private static final long SILENCE_GRACE_MICROS = 4_000_000;

    /**
     * From a change of the server's address until the list counts as received; set by the platform.
     */
    private static final long ADDRESS_CHANGE_GRACE_MICROS = 4_000_000;

    /**
     * Time at which the list counts as received before the server's first confirmation: far in the
     * past, since the process then only knows the endpoints that were listed before its start. Half
     * of the minimum, so that adding to it or subtracting from it cannot overflow.
     */
    private static final long BEFORE_START = Long.MIN_VALUE / 2;

    private boolean current;
    private long receivedAtMicros = BEFORE_START;
    private long lastLineAtMicros;
    private boolean catchingUp;

    /**
     * Returns when the endpoint list counts as last received. While the list is current, this is
     * the time that applies if no further line arrives, so that it stays right even if this process
     * does not run in the meantime.
     */
    long receivedAtMicros() {
        return current ? lastLineAtMicros + SILENCE_GRACE_MICROS : receivedAtMicros;
    }

    /** Returns whether this process has all events of the server, as far as it knows. */
    boolean isCurrent() {
        return current;
    }

    /**
     * Returns whether the server is delivering missing events. The next heartbeat will confirm that
     * none is missing any more.
     */
    boolean isCatchingUp() {
        return catchingUp;
    }

    /**
     * Records that the connection has ended or that an event is missing on it.
     *
     * @param interruptedAtMicros earliest time at which that can have happened
     */
    void streamInterrupted(long interruptedAtMicros) {
        outdatedAtLatest(interruptedAtMicros + INTERRUPTION_GRACE_MICROS);
    }

    /**
     * Records that the server has sent no line, or only heartbeats with old revisions, for longer
     * than the heartbeat time-out.
     */
    void serverSilent() {
        outdatedAtLatest(lastLineAtMicros + SILENCE_GRACE_MICROS);
    }

    /**
     * Records that this process has not run for a while, during which the server may have been
     * reachable and published events. Guards against a process that does not run between two
     * outages of the server: it would take them for one outage.
     *
     * @param stoppedSinceMicros earliest time since which the process has not run
     */
    void processStopped(long stoppedSinceMicros) {
        if (!current) {
            receivedAtMicros = Math.min(receivedAtMicros, stoppedSinceMicros);
        }
    }

    /** Records that the server has another address from now on. */
    void addressChanged(long nowMicros) {
        outdatedAtLatest(nowMicros + ADDRESS_CHANGE_GRACE_MICROS);
    }

    /** Records that the events have been requested on a new connection. */
    void eventsRequested(long nowMicros) {
        outdatedAtLatest(nowMicros);
    }

    /** Marks the list as not current and as received at the given time at the latest. */
    private void outdatedAtLatest(long latestMicros) {
        receivedAtMicros = Math.min(receivedAtMicros(), latestMicros);
        current = false;
        catchingUp = false;
    }

    /**
     * Records that the next event in the order of revisions has arrived. While further events may
     * be missing, the time at which the list counts as received stays: the missing events count as
     * received at that time too.
     *
     * @param arrivedAtMicros earliest time at which the event can have arrived
     */
    void eventReceived(long arrivedAtMicros) {
        lastLineAtMicros = arrivedAtMicros;
        catchingUp = !current;
    }

    /**
     * Records that the server has confirmed, by a heartbeat, that this process has its last event.
     *
     * @param arrivedAtMicros earliest time at which the heartbeat can have arrived
     */
    void caughtUp(long arrivedAtMicros) {
        lastLineAtMicros = arrivedAtMicros;
        current = true;
        catchingUp = false;
    }
}
