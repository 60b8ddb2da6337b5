package waytrestle.net;

/** What an idle connection is found to be, before the loop has come to it. */
public enum IdleState {
    /** Nothing has come on it. */
    USABLE,
    /** Something has come that nobody asked for. */
    UNEXPECTED_DATA,
    /** The other side has ended it. */
    ENDED,
    /** The look failed; the connection may still be good. */
    UNKNOWN;

    /** What a read of an idle connection says of it. */
    static IdleState ofRead(Transfer look) {
        return switch (look.status()) {
            case WOULD_BLOCK -> USABLE;
            case PROGRESS -> UNEXPECTED_DATA;
            case ENDED, BROKEN -> ENDED;
            case FAILED -> UNKNOWN;
        };
    }
}
