package waytrestle.http;

/** How the exchange of a request and its response failed, as seen by the client. */
public enum ExchangeFailure {
    /** No connection could be established. */
    NO_CONNECTION,
    /** The connection ended before the kernel accepted any byte of the request for sending. */
    BEFORE_FIRST_BYTE,
    /**
     * The connection ended after the kernel accepted at least one byte of the request and before a
     * complete response arrived.
     */
    AFTER_FIRST_BYTE,
    /**
     * The received bytes are not an HTTP response, exceed a limit, or stopped within a response.
     */
    MALFORMED,
    /** No complete response arrived before the request timed out. */
    TIMEOUT,
    /** The caller cancelled the request, or withdrew it before it was sent. */
    CANCELLED,
    /**
     * The request was not sent because the connection limit is reached, the process has no socket
     * left, or the caller withdrew it for want of capacity.
     */
    NO_ROOM
}
