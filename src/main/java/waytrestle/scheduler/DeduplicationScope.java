package waytrestle.scheduler;

/**
 * The invokers among which an idempotency key is deduplicated: each of them drops a request whose
 * key any of them has seen.
 */
public enum DeduplicationScope {
    /** All invokers. */
    ALL,
    /** The invokers of one zone. */
    ZONE,
    /** The invokers of one cell. */
    CELL
}
