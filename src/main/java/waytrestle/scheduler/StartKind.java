package waytrestle.scheduler;

/**
 * Whether an attempt met a loaded instance, as the response states. The order of the constants is
 * part of the protocols.
 */
public enum StartKind {
    /** The response did not state it. */
    UNKNOWN,
    /** The instance was loaded before the request. */
    WARM,
    /** The request began a load and waited for it. */
    COLD,
    /** The request waited for a load that had begun before. */
    JOINED,
    /** The load failed; sent with a not-loaded response or an error. */
    LOAD_FAILED
}
