package waytrestle.scheduler;

/** The purpose of a timer, returned unchanged to the scheduler when the timer expires. */
public sealed interface SchedulerTimer {
    /** A request is one clock tick before its deadline. */
    record RequestDeadline(long requestId) implements SchedulerTimer {}

    /** A queued request is to be routed again. */
    record QueuedRequestRetry(long requestId) implements SchedulerTimer {}

    /** The periodic maintenance of the scheduler's state is due. */
    record Maintenance() implements SchedulerTimer {}

    /** The subscription to the endpoint list is to be renewed after a failed update. */
    record EndpointResubscription() implements SchedulerTimer {}
}
