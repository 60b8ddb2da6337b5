package waytrestle.net;

/**
 * Decides when a failed transfer is tried again, for one direction of one connection. On a good
 * connection one of the next tries succeeds; a broken one is reported as broken by the next read. A
 * connection whose transfers fail for longer than the retry timeout counts as broken.
 *
 * <p>Does no I/O and reads no clock; all times are monotonic microseconds. Not thread-safe: used on
 * the loop's thread.
 */
final class TransferRetry {
    /** Returned in place of a backoff: the connection counts as broken. */
    static final long GIVE_UP = -1;

    private static final long FIRST_BACKOFF_MICROS = 1_000;
    private static final long MAX_BACKOFF_MICROS = 50_000;
    private static final long NOT_FAILING = Long.MIN_VALUE;

    private final long retryTimeoutMicros;
    private long failingSinceMicros = NOT_FAILING;
    private long backoffMicros;

    /** Creates it for transfers that may go on failing for the retry timeout. */
    TransferRetry(long retryTimeoutMicros) {
        this.retryTimeoutMicros = retryTimeoutMicros;
    }

    /** Returns whether the last recorded transfer failed. */
    boolean isFailing() {
        return failingSinceMicros != NOT_FAILING;
    }

    /**
     * Records a failure.
     *
     * @return microseconds to wait before the next try, or {@link #GIVE_UP}
     */
    long recordFailure(long nowMicros) {
        if (!isFailing()) {
            failingSinceMicros = nowMicros;
            backoffMicros = FIRST_BACKOFF_MICROS;
            return backoffMicros;
        }
        if (nowMicros - failingSinceMicros > retryTimeoutMicros) {
            return GIVE_UP;
        }
        backoffMicros = Math.min(MAX_BACKOFF_MICROS, 2 * backoffMicros);
        return backoffMicros;
    }

    /** Records a transfer that did not fail. */
    void recordSuccess() {
        failingSinceMicros = NOT_FAILING;
    }
}
