package waytrestle.net;

/** What an idle connection is found to be, before the loop has come to it. */
public enum IdleState {
    /** Nothing has come on it. */
    FIT,
    /** Something has come that nobody asked for. */
    SPOKE,
    /** The other side has ended it. */
    ENDED,
    /** The look failed; the connection may still be good. */
    UNKNOWN;

    /** What a read of an idle connection says of it. */
    static IdleState of(Transfer look) {
        return switch (look.status()) {
            case WOULD_BLOCK -> FIT;
            case PROGRESS -> SPOKE;
            case ENDED, BROKEN -> ENDED;
            case FAILED -> UNKNOWN;
        };
    }
}
