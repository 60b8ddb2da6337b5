package waytrestle.net;

/** What a read of one byte has found on an idle connection. */
public enum IdleState {
    /** Nothing has arrived on the connection. */
    USABLE,
    /** Data has arrived that answers no request. */
    UNEXPECTED_DATA,
    /** The peer has ended the connection, or the connection is broken. */
    ENDED,
    /** The read failed; the connection may still be good. */
    UNKNOWN;

    /** Returns the state of an idle connection on which a read had this result. */
    static IdleState ofRead(Transfer read) {
        return switch (read.status()) {
            case WOULD_BLOCK -> USABLE;
            case PROGRESS -> UNEXPECTED_DATA;
            case ENDED, BROKEN -> ENDED;
            case FAILED -> UNKNOWN;
        };
    }
}
