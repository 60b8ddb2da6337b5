package waytrestle.discovery;

/**
 * Tracks how fresh an endpoint list is that is polled with blocking queries. The health API holds
 * back the response to a blocking query until the list changes. So the list is current while a
 * query is in flight, until the query fails or its response is overdue.
 *
 * <p>Guards against using a list for ever that is no longer renewed: during an outage of service
 * discovery, draining invokers cannot be recognized.
 *
 * <p>Free of I/O, clocks and threads. Not thread-safe: used by the controller's event loop. Times
 * are in microseconds on the scheduler's clock.
 */
public final class PollFreshness {
    /** Stands for a time or duration without an end: the list may be used however old it is. */
    public static final long UNLIMITED = Long.MAX_VALUE;

    /**
     * How long the list may be used.
     *
     * @param responseTimeoutMicros time after which the response to a blocking query is overdue
     * @param validAfterFailureMicros time from the moment when a query failed or its response was
     *     overdue until the list counts as last received; {@link #UNLIMITED} if the list does not
     *     become outdated
     */
    public record Limits(long responseTimeoutMicros, long validAfterFailureMicros) {
        /** Limits of a list that may be used however old it is. */
        public static final Limits NONE = new Limits(0, UNLIMITED);
    }

    private final Limits limits;
    private boolean current = true;
    private long receivedAtMicros = UNLIMITED;

    PollFreshness(Limits limits) {
        this.limits = limits;
    }

    /** Returns whether the last query was answered in time; true before the first. */
    boolean isCurrent() {
        return current;
    }

    /**
     * Returns when the endpoint list counts as last received unless a further query is answered.
     * The time may lie ahead; {@link #UNLIMITED} if the list does not become outdated.
     */
    long receivedAtMicros() {
        return receivedAtMicros;
    }

    /** Records that a query was answered now, and that the next query follows at once. */
    void queryAnswered(long nowMicros) {
        current = true;
        receivedAtMicros = receivedAtAfterFailure(nowMicros + limits.responseTimeoutMicros());
    }

    /**
     * Records that a query has failed or that its response lay unread.
     *
     * @param failedAtMicros earliest time at which the query can have failed or its response can
     *     have arrived
     */
    void queryFailed(long failedAtMicros) {
        current = false;
        receivedAtMicros = Math.min(receivedAtMicros, receivedAtAfterFailure(failedAtMicros));
    }

    private long receivedAtAfterFailure(long failedAtMicros) {
        return limits.validAfterFailureMicros() == UNLIMITED
                ? UNLIMITED
                : failedAtMicros + limits.validAfterFailureMicros();
    }
}
