package waytrestle.http;

/** Where the exchange of a request and its response broke. */
public enum ExchangeFailure {
    /** No connection came up. */
    NO_CONNECTION,
    /** The connection ended before the kernel took anything of the request. */
    BEFORE_FIRST_BYTE,
    /** The connection ended after that, before a complete response. */
    AFTER_FIRST_BYTE,
    /** What came was no response, or too large. */
    MALFORMED,
    /** No complete response came in time. */
    TIMEOUT,
    /** The caller cancelled or withdrew it. */
    CANCELLED,
    /** There was no connection to be had for it. */
    NO_ROOM
}
