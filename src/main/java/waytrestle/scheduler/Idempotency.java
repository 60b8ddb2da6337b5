package waytrestle.scheduler;

/** Whether a request may be executed more than once. */
public enum Idempotency {
    /** A repeated execution has no further effect. */
    IDEMPOTENT,
    /** Carries an idempotency key: invokers of one scope drop duplicates for a limited window. */
    KEYED,
    /** A second execution would double the effect. */
    NON_IDEMPOTENT
}
