package waytrestle.overload;

import java.util.Map;

/**
 * Bounds the load that retries add, those of clients and the gateway's own: every first request
 * deposits a fixed fraction of a retry, every retry withdraws a whole one, and a small constant
 * rate is always deposited so that sparse traffic can be retried. After Finagle's retry budgets and
 * "Metastable Failures in Distributed Systems" (Bronson et al., HotOS 2021).
 *
 * <p>Guards against a retry storm that sustains itself: an outage ends, but the retries it caused
 * keep the fleet overloaded.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class RetryBudget {
    /**
     * Seconds of deposits that are saved: enough for a short outage's retries, not a long one's.
     */
    private static final double MAX_SAVED_SECONDS = 10;

    /** Rejected requests that are recognised when they are sent again; the eldest goes first. */
    private static final int MAX_REJECTED_REQUESTS = 20_000;

    /** Time for which a rejected request is recognised; later it counts as a first request. */
    private static final long RECOGNITION_MICROS = 30_000_000;

    /** Fingerprint of a request that has none. */
    private static final long NO_FINGERPRINT = 0;

    /** Value of {@link #updatedAt} before the first update. */
    private static final long NEVER = 0;

    private final double retryRatio;
    private final double minRetriesPerSecond;
    private final Map<Long, Long> rejectedAtByFingerprint =
            BoundedMap.inInsertionOrder(MAX_REJECTED_REQUESTS);
    private double balance;

    /** Deposits with an exponential decay over one second, which sums up a second of them. */
    private double depositsPerSecond;

    private long updatedAt = NEVER;

    /**
     * A budget that starts with the constant rate's savings.
     *
     * @param retryRatio fraction of a retry that each first request deposits
     * @param minRetriesPerSecond retries that are deposited each second without any request
     */
    public RetryBudget(double retryRatio, double minRetriesPerSecond) {
        this.retryRatio = retryRatio;
        this.minRetriesPerSecond = minRetriesPerSecond;
        this.balance = minRetriesPerSecond * MAX_SAVED_SECONDS;
    }

    /** Whether this is a client's retry of a request that was rejected not long ago. */
    public boolean isRetry(long nowMicros, long fingerprint) {
        if (fingerprint == NO_FINGERPRINT) {
            return false;
        }
        Long rejectedAt = rejectedAtByFingerprint.get(fingerprint);
        return rejectedAt != null && nowMicros - rejectedAt < RECOGNITION_MICROS;
    }

    /** Records a rejected request, so that its retry is recognised. */
    public void recordRejection(long nowMicros, long fingerprint) {
        if (fingerprint == NO_FINGERPRINT) {
            return;
        }
        rejectedAtByFingerprint.remove(fingerprint);
        rejectedAtByFingerprint.put(fingerprint, nowMicros);
    }

    /** Records a first request, which pays for its fraction of a retry. */
    public void deposit(long nowMicros) {
        update(nowMicros);
        balance += retryRatio;
        depositsPerSecond += retryRatio;
    }

    /** Takes one retry from the budget, or returns false where less than one is left. */
    public boolean tryWithdraw(long nowMicros) {
        update(nowMicros);
        if (balance < 1) {
            return false;
        }
        balance--;
        return true;
    }

    private void update(long nowMicros) {
        if (updatedAt != NEVER) {
            double elapsedSeconds = MicrosecondTime.toSeconds(nowMicros - updatedAt);
            balance += minRetriesPerSecond * elapsedSeconds;
            depositsPerSecond *= Math.exp(-elapsedSeconds);
        }
        updatedAt = nowMicros;
        double savedPerSecond = minRetriesPerSecond + depositsPerSecond;
        balance = Math.min(balance, MAX_SAVED_SECONDS * savedPerSecond);
    }
}
