package waytrestle.http;

/**
 * Decides right before a request is sent whether the caller has withdrawn it. A connection may be
 * established so late that the caller no longer wants the request to be sent.
 */
@FunctionalInterface
public interface Withdrawal {
    /**
     * Returns how the request fails instead of being sent. Called right before the first byte is
     * written, and again before each further attempt to send the request.
     *
     * @return the failure to report, or null if the request is to be sent
     */
    ExchangeFailure failureIfWithdrawn();

    /**
     * Reports that the request was written long after the last {@link #failureIfWithdrawn}, because
     * the process was paused in between. A process cannot prevent such a pause.
     *
     * @param micros time from the last check to the write
     */
    default void writeDelayed(long micros) {}
}
