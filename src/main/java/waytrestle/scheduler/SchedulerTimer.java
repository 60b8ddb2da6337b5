package waytrestle.scheduler;

/** The purpose of a timer, returned unchanged to the scheduler when the timer expires. */
public sealed interface SchedulerTimer {
    /**
     * The timer of a request that has no outcome yet. A request has one timer of each kind, so a
     * later one replaces the earlier, and needs none once it has its outcome.
     */
    sealed interface RequestTimer extends SchedulerTimer {
        /** Returns the id of the request. */
        long requestId();
    }

    /** A request is one clock tick before its deadline. */
    record RequestDeadline(long requestId) implements RequestTimer {}

    /** A queued request is to be routed again. */
    record QueuedRequestRetry(long requestId) implements RequestTimer {}

    /** The periodic maintenance of the scheduler's state is due. */
    record Maintenance() implements SchedulerTimer {}

    /** The subscription to the endpoint list is to be renewed after a failed update. */
    record EndpointResubscription() implements SchedulerTimer {}
}
