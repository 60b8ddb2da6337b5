package waytrestle.http;

/**
 * Whether a request is still to be sent: a connection may come up when nobody wants it any more.
 */
@FunctionalInterface
public interface Withdrawal {
    /**
     * Called right before the first byte is written, and again before each further try.
     *
     * @return how the request ends instead of being sent; null to send it
     */
    ExchangeFailure failureIfWithdrawn();

    /**
     * The request was written so long after the last question, since the process was stopped
     * between the two. No process can prevent that.
     */
    default void writeDelayed(long micros) {}
}
