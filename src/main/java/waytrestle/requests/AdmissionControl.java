package waytrestle.requests;

import waytrestle.requests.RequestOutcome.Reason;

/**
 * What is offered to the module when more comes than the fleet can do. Where a call runs, and
 * whether it can finish in time, stays the module's; a gate only says whether a new call, or one
 * more attempt, is put before it at all.
 */
public interface AdmissionControl {
    /** Lets everything through. */
    AdmissionControl ADMIT_ALL = new AdmissionControl() {};

    /**
     * Why a new call is turned away, or null. A mark recognises a client's retry of what was
     * refused; 0 has none.
     */
    default Reason rejectionReason(long now, int tenant, int requestClass, long mark) {
        return null;
    }

    default void requestStarted(long now, int tenant, int requestClass) {}

    /** A call ended, however; timedOut when its time ran out on it. */
    default void requestCompleted(
            long now, int tenant, int requestClass, long mark, boolean refused, boolean timedOut) {}

    /**
     * Whether a further attempt of a call may go out; asked only where the last one was no miss.
     */
    default boolean admitsRetry(long now) {
        return true;
    }

    /** A warm attempt of a function was served in this time. */
    default void warmResponseServed(long now, String function, long tookMicros) {}
}
