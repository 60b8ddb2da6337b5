package waytrestle.scheduler;

/** How changes of the endpoint list arrive. */
public enum DiscoveryMode {
    /** Sent to the controller by themselves. */
    PUSH,
    /** Only once the scheduler has subscribed. */
    POLL
}
