package waytrestle.net;

/**
 * When a failed transfer is tried again, for one direction of one connection. A connection that is
 * still good makes up for the failure at one of the next tries; one that is broken says so at the
 * next read. A failure that goes on for longer than the patience counts as a broken connection.
 *
 * <p>Free of I/O and clock.
 */
final class TransferRetry {
    /** In place of a time to wait: the connection counts as broken. */
    static final long GIVE_UP = -1;

    private static final long FIRST_BACKOFF_MICROS = 1_000;
    private static final long MAX_BACKOFF_MICROS = 50_000;
    private static final long NOT_FAILING = Long.MIN_VALUE;

    private final long patienceMicros;
    private long failingSince = NOT_FAILING;
    private long backoffMicros;

    /** Creates it for transfers that may go on failing for so long. */
    TransferRetry(long patienceMicros) {
        this.patienceMicros = patienceMicros;
    }

    boolean isFailing() {
        return failingSince != NOT_FAILING;
    }

    /** Notes a failure; how long to wait before the next try, or {@link #GIVE_UP}. */
    long recordFailure(long nowMicros) {
        if (!isFailing()) {
            failingSince = nowMicros;
            backoffMicros = FIRST_BACKOFF_MICROS;
            return backoffMicros;
        }
        if (nowMicros - failingSince > patienceMicros) {
            return GIVE_UP;
        }
        backoffMicros = Math.min(MAX_BACKOFF_MICROS, 2 * backoffMicros);
        return backoffMicros;
    }

    /** Notes that the call works again. */
    void recordSuccess() {
        failingSince = NOT_FAILING;
    }
}
