package waytrestle.scheduler;

/** What a response says of the instance that it used. The order is part of the protocols. */
public enum StartKind {
    /** Not reported. */
    UNKNOWN,
    /** The instance stood loaded. */
    WARM,
    /** The request began a load and waited for it. */
    COLD,
    /** The request waited for a load that had begun before. */
    JOINED,
    /** The load failed; comes with a not-loaded response or an error. */
    LOAD_FAILED
}
