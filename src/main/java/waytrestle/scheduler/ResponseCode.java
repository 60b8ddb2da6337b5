package waytrestle.scheduler;

/** How an attempt, a health check or a preload request ended. */
public enum ResponseCode {
    /** The function ran and answered. */
    OK,
    /** It failed; it may have run. */
    ERROR,
    /** The invoker had no capacity; it never ran. */
    FULL,
    /** Nothing came within the time given. */
    TIMEOUT,
    /** No connection could be made; it never ran. */
    CONNECT_FAILED,
    /** The connection broke after the request was sent. */
    RESET,
    /** Cancelled by this controller. */
    CANCELLED,
    /** It was never sent, or arrived after its deadline; it never ran. */
    NOT_SENT,
    /** The invoker has no instance of the function; it never ran. */
    NOT_LOADED,
    /** The function answered with an error of its own. */
    REJECTED;

    /** Whether it proves that the attempt never ran. */
    public boolean provesNotRun() {
        return this == FULL || this == CONNECT_FAILED || this == NOT_SENT || this == NOT_LOADED;
    }

    /** Whether the invoker itself answered, whatever it said. */
    public boolean isInvokerResponse() {
        return this == OK
                || this == ERROR
                || this == FULL
                || this == NOT_LOADED
                || this == REJECTED;
    }
}
