package waytrestle.requests;

import waytrestle.requests.RequestOutcome.Reason;

/**
 * Sheds load that exceeds the capacity of the invokers: decides whether a new request is given to
 * the scheduler, and whether a request may be retried at another invoker. The scheduler decides
 * which invoker runs an admitted request, and whether the request can finish in time.
 *
 * <p>Times are monotonic, in microseconds. Tenants and request classes are given by their indices
 * in the scheduler settings; a tenant of -1 means none. Not thread-safe: used by the controller's
 * event loop.
 */
public interface AdmissionControl {
    /** Admits every request and every retry. */
    AdmissionControl ADMIT_ALL = new AdmissionControl() {};

    /**
     * Returns the reason why a new request is rejected, or null if the request is admitted.
     *
     * @param retryFingerprint value by which a client's retry of a rejected request is recognised;
     *     0 if the request has none
     */
    default Reason rejectionReason(
            long nowMicros, int tenant, int requestClass, long retryFingerprint) {
        return null;
    }

    /** Records that an admitted request is now in flight. */
    default void requestStarted(long nowMicros, int tenant, int requestClass) {}

    /**
     * Records that a request reported by {@link #requestStarted} has its outcome.
     *
     * @param retryFingerprint the value given to {@link #rejectionReason} for the request
     * @param rejected whether the outcome is a rejection
     * @param timedOut whether the request failed because its deadline was exceeded
     */
    default void requestCompleted(
            long nowMicros,
            int tenant,
            int requestClass,
            long retryFingerprint,
            boolean rejected,
            boolean timedOut) {}

    /**
     * Returns whether a retry of a request may be forwarded to an invoker. Not called for a retry
     * that follows an attempt at an invoker without a loaded instance of the function.
     */
    default boolean admitsRetry(long nowMicros) {
        return true;
    }

    /**
     * Records that an attempt was served by a function instance that was already loaded.
     *
     * @param responseMicros time that the response took
     */
    default void warmResponseServed(long nowMicros, String function, long responseMicros) {}
}
