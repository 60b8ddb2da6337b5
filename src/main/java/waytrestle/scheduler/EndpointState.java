package waytrestle.scheduler;

/** What service discovery says of an invoker. */
public enum EndpointState {
    /** Takes requests. */
    READY,
    /** Finishes its requests and takes nothing new. */
    DRAINING,
    /** Has left. */
    GONE
}
