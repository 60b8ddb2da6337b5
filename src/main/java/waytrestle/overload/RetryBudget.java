package waytrestle.overload;

import java.util.Map;

/**
 * Bounds the load that retries by clients and by the gateway add. The balance is counted in
 * retries: every first request deposits a fixed fraction of a retry, every retry withdraws one, and
 * a small constant rate is deposited without any request so that sparse traffic can be retried. The
 * budget follows Finagle's retry budgets and "Metastable Failures in Distributed Systems" (Bronson
 * et al., HotOS 2021).
 *
 * <p>Guards against a self-sustaining retry storm: the retries that an outage caused keep the fleet
 * overloaded after the outage has ended.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class RetryBudget {
    /**
     * Upper bound of the balance, as seconds of deposits: enough for the retries of a short outage,
     * not of a long one.
     */
    private static final double MAX_SAVED_SECONDS = 10;

    /** Maximum rejected requests whose retries are recognised; the eldest is dropped first. */
    private static final int MAX_REJECTED_REQUESTS = 20_000;

    /** Time after a rejection within which the request, sent again, counts as a retry. */
    private static final long RECOGNITION_MICROS = 30_000_000;

    /** Fingerprint value of a request without a fingerprint; such a request is never a retry. */
    private static final long NO_FINGERPRINT = 0;

    /** Value of {@link #updatedAtMicros} before the first update. */
    private static final long NEVER = 0;

    private final double retryRatio;
    private final double minRetriesPerSecond;
    private final Map<Long, Long> rejectedAtByFingerprint =
            BoundedMap.inInsertionOrder(MAX_REJECTED_REQUESTS);
    private double balance;

    /** Deposits of first requests, in retries, decayed with a time constant of one second. */
    private double depositsPerSecond;

    private long updatedAtMicros = NEVER;

    /**
     * Creates a budget whose balance starts at its upper bound without first requests.
     *
     * @param retryRatio fraction of a retry that each first request deposits
     * @param minRetriesPerSecond retries deposited per second without any request
     */
    public RetryBudget(double retryRatio, double minRetriesPerSecond) {
        this.retryRatio = retryRatio;
        this.minRetriesPerSecond = minRetriesPerSecond;
        this.balance = minRetriesPerSecond * MAX_SAVED_SECONDS;
    }

    /** Returns whether a request repeats, by its fingerprint, a recently rejected request. */
    public boolean isRetry(long nowMicros, long fingerprint) {
        if (fingerprint == NO_FINGERPRINT) {
            return false;
        }
        Long rejectedAtMicros = rejectedAtByFingerprint.get(fingerprint);
        return rejectedAtMicros != null && nowMicros - rejectedAtMicros < RECOGNITION_MICROS;
    }

    /** Records a rejected request, so that {@link #isRetry} recognises its retry. */
    public void recordRejection(long nowMicros, long fingerprint) {
        if (fingerprint == NO_FINGERPRINT) {
            return;
        }
        rejectedAtByFingerprint.remove(fingerprint);
        rejectedAtByFingerprint.put(fingerprint, nowMicros);
    }

    /** Deposits the fraction of a retry that a first request contributes. */
    public void deposit(long nowMicros) {
        updateBalance(nowMicros);
        balance += retryRatio;
        depositsPerSecond += retryRatio;
    }

    /** Withdraws one retry, or returns false if the balance is less than one retry. */
    public boolean tryWithdraw(long nowMicros) {
        updateBalance(nowMicros);
        if (balance < 1) {
            return false;
        }
        balance--;
        return true;
    }

    private void updateBalance(long nowMicros) {
        if (updatedAtMicros != NEVER) {
            double elapsedSeconds = MicrosecondTime.toSeconds(nowMicros - updatedAtMicros);
            balance += minRetriesPerSecond * elapsedSeconds;
            depositsPerSecond *= Math.exp(-elapsedSeconds);
        }
        updatedAtMicros = nowMicros;
        double totalDepositsPerSecond = minRetriesPerSecond + depositsPerSecond;
        balance = Math.min(balance, MAX_SAVED_SECONDS * totalDepositsPerSecond);
    }
}
