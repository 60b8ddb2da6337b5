package waytrestle.scheduler;

/** Whether a request may be executed more than once. */
public enum Idempotency {
    /** Another execution has no further effect. */
    IDEMPOTENT,
    /**
     * The request carries an idempotency key: the invokers of its {@link DeduplicationScope} drop
     * duplicates within the deduplication window.
     */
    KEYED,
    /** A second execution would double the effect. */
    NON_IDEMPOTENT
}
