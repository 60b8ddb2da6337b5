package waytrestle.scheduler;

/** What a timer of the scheduler is for; it comes back as it was set when the timer expires. */
public sealed interface SchedulerTimer {
    /** The time of a request is nearly up. */
    record RequestDeadline(long requestId) implements SchedulerTimer {}

    /** A queued request is to be routed again. */
    record QueuedRequestRetry(long requestId) implements SchedulerTimer {}

    /** The periodic maintenance of all state is due. */
    record Maintenance() implements SchedulerTimer {}

    /** The subscription to endpoint updates is to be renewed after a failure. */
    record EndpointResubscription() implements SchedulerTimer {}
}
