package waytrestle.scheduler;

/** The invokers that share the idempotency keys which they have seen. */
public enum DeduplicationScope {
    /** All invokers. */
    ALL,
    /** The invokers of one zone. */
    ZONE,
    /** The invokers of one cell. */
    CELL
}
