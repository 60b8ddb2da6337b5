package waytrestle.scheduler;

/** State of an invoker in the endpoint list of service discovery. */
public enum EndpointState {
    /** The invoker accepts requests. */
    READY,
    /** The invoker finishes its requests and is to be sent no new ones. */
    DRAINING,
    /** The invoker has left the endpoint list. */
    GONE
}
