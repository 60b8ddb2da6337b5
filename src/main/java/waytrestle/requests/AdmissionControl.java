package waytrestle.requests;

import waytrestle.requests.RequestOutcome.Reason;

/**
 * Sheds load that exceeds what the fleet can serve: decides whether a new request, or one more
 * attempt, reaches the scheduler at all. Where a request runs, and whether it can finish in time,
 * remains the scheduler's decision.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public interface AdmissionControl {
    /** Admits everything. */
    AdmissionControl ADMIT_ALL = new AdmissionControl() {};

    /**
     * Why a new request is rejected, or null if it is admitted.
     *
     * @param retryMark recognises a client's retry of a rejected request, 0 without one
     */
    default Reason rejectionReason(long nowMicros, int tenant, int requestClass, long retryMark) {
        return null;
    }

    /** An admitted request is in flight. */
    default void requestStarted(long nowMicros, int tenant, int requestClass) {}

    /**
     * A request that was started has its outcome.
     *
     * @param timedOut whether its deadline was exceeded
     */
    default void requestCompleted(
            long nowMicros,
            int tenant,
            int requestClass,
            long retryMark,
            boolean rejected,
            boolean timedOut) {}

    /**
     * Whether a further attempt of a request may be forwarded; not asked when the last invoker did
     * not have the function loaded.
     */
    default boolean admitsRetry(long nowMicros) {
        return true;
    }

    /** An attempt that found a loaded instance of the function was served. */
    default void warmResponseServed(long nowMicros, String function, long tookMicros) {}
}
