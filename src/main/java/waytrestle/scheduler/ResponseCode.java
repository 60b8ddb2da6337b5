package waytrestle.scheduler;

/** How an attempt, a health check or a preload request ended. */
public enum ResponseCode {
    /** The function ran and answered. */
    OK,
    /** The invoker or the function failed; the request may have run. */
    ERROR,
    /** The invoker had no capacity; the request never ran. */
    FULL,
    /** No response arrived within the timeout; the request may have run. */
    TIMEOUT,
    /** No connection could be made; the request never ran. */
    CONNECT_FAILED,
    /** The connection broke after the request was sent; the request may have run. */
    RESET,
    /** This controller cancelled it; the request may have run. */
    CANCELLED,
    /** The request was never sent, or reached the invoker after its deadline; it never ran. */
    NOT_SENT,
    /** The invoker has no instance of the function; the request never ran. */
    NOT_LOADED,
    /** The function ran and answered with an error of its own. */
    REJECTED;

    /** Returns whether the code proves that the request never ran. */
    public boolean provesNotRun() {
        return this == FULL || this == CONNECT_FAILED || this == NOT_SENT || this == NOT_LOADED;
    }

    /** Returns whether the invoker itself responded, successfully or not. */
    public boolean isInvokerResponse() {
        return this == OK
                || this == ERROR
                || this == FULL
                || this == NOT_LOADED
                || this == REJECTED;
    }
}
