package waytrestle.scheduler;

/** How changes of the endpoint list reach a controller. */
public enum DiscoveryMode {
    /** They are delivered without a subscription. */
    PUSH,
    /** They are delivered after {@link SchedulerCommand.SubscribeToEndpoints}. */
    POLL
}
