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
    UNKNOWN
}
