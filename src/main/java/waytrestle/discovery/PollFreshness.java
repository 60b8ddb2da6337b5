package waytrestle.discovery;

/**
 * Knows how current a list is that is polled with blocking queries. The health API holds back the
 * response to a blocking query until something changes, so that the list is current while a query
 * is open, until its response is overdue or it fails.
 *
 * <p>Guards against acting for ever on a list that nobody renews: an outage of service discovery
 * hides which invokers drain.
 *
 * <p>Free of I/O, clocks and threads. Not thread-safe: used by the controller's event loop.
 */
public final class PollFreshness {
    /** In place of a time: the list may be acted on however old it is. */
    public static final long UNLIMITED = Long.MAX_VALUE;

    /**
     * How long the list may be acted on.
     *
     * @param responseTimeoutMicros within which a blocking query is answered
     * @param validAfterFailureMicros after a query that failed or is overdue; {@link #UNLIMITED}
     *     for ever
     */
    public record Limits(long responseTimeoutMicros, long validAfterFailureMicros) {
        /** A list that may be acted on however old it is. */
        public static final Limits NONE = new Limits(0, UNLIMITED);
    }

    private final Limits limits;
    private boolean current = true;
    private long receivedAtMicros = UNLIMITED;

    PollFreshness(Limits limits) {
        this.limits = limits;
    }

    /** Whether the last query was answered in time. */
    boolean isCurrent() {
        return current;
    }

    /**
     * When all that the health API holds counts as received here, if no further query is answered;
     * {@link #UNLIMITED} where that is not limited.
     */
    long receivedAtMicros() {
        return receivedAtMicros;
    }

    /** A query was answered, and the next one follows. */
    void queryAnswered(long nowMicros) {
        current = true;
        receivedAtMicros = validFrom(nowMicros + limits.responseTimeoutMicros());
    }

    /** The query has failed, or its response lay unread, since that time. */
    void queryFailed(long sinceMicros) {
        current = false;
        receivedAtMicros = Math.min(receivedAtMicros, validFrom(sinceMicros));
    }

    private long validFrom(long micros) {
        return limits.validAfterFailureMicros() == UNLIMITED
                ? UNLIMITED
                : micros + limits.validAfterFailureMicros();
    }
}
