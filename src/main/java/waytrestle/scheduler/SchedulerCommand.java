package waytrestle.scheduler;

/** What a scheduler tells its controller to do. */
public sealed interface SchedulerCommand {
    /** The peer of a message to every other controller. */
    int ALL_PEERS = -1;

    /** Takes the commands of one event in order. */
    interface Sink {
        /** Adds the next command. */
        void add(SchedulerCommand command);
    }

    /**
     * Send an attempt of the request to the invoker.
     *
     * @param giveUpAtMicros when to give the attempt up; 0 leaves it until the request's deadline
     */
    record ForwardAttempt(long id, String invoker, long giveUpAtMicros)
            implements SchedulerCommand {}

    /** Reject the request: a retry is harmless, after this time if it is positive. */
    record RejectRequest(long id, long retryAfterMicros) implements SchedulerCommand {}

    /** Fail the request: it may have run. */
    record FailRequest(long id) implements SchedulerCommand {}

    /** Cancel an attempt that is in flight. */
    record CancelAttempt(long id, int attempt) implements SchedulerCommand {}

    /**
     * Hold at least so many loaded instances of the function.
     *
     * @param instances 0 only asks how many are loaded
     */
    record PreloadFunction(String invoker, String function, int instances)
            implements SchedulerCommand {}

    /** Unload the idle instances of the function. */
    record UnloadFunction(String invoker, String function) implements SchedulerCommand {}

    /** Check the health of an invoker. */
    record CheckHealth(String invoker) implements SchedulerCommand {}

    /** Close the idle connections to an invoker. */
    record CloseIdleConnections(String invoker) implements SchedulerCommand {}

    /** Send a message to another controller, or to {@link #ALL_PEERS}. */
    record SendGossip(int peer, byte[] message) implements SchedulerCommand {}

    /** Subscribe to endpoint updates, or end the subscription. */
    record SubscribeToEndpoints(boolean enabled) implements SchedulerCommand {}

    /** Fetch the endpoint list once. */
    record FetchEndpoints() implements SchedulerCommand {}

    /** Deliver {@link SchedulerEvent.TimerExpired} with this timer after the delay. */
    record SetTimer(long afterMicros, SchedulerTimer timer) implements SchedulerCommand {}

    /** Write a line to the log. */
    record LogMessage(String text) implements SchedulerCommand {}
}
