package waytrestle.scheduler;

/** A command of a scheduler to its controller. Times are in microseconds. */
public sealed interface SchedulerCommand {
    /** Value of {@link SendGossip#peer} that stands for all other controllers. */
    int ALL_PEERS = -1;

    /** Receives the commands of one event in order. */
    interface Sink {
        /** Adds the next command. */
        void add(SchedulerCommand command);
    }

    /**
     * Send an attempt of the request to the invoker.
     *
     * @param id id of the request
     * @param giveUpAtMicros when to give the attempt up, on the scheduler's clock; 0 for the
     *     request's deadline
     */
    record ForwardAttempt(long id, String invoker, long giveUpAtMicros)
            implements SchedulerCommand {}

    /**
     * Reject the request: a retry is harmless.
     *
     * @param retryAfterMicros time after which the client should retry; 0 to state none
     */
    record RejectRequest(long id, long retryAfterMicros) implements SchedulerCommand {}

    /** Fail the request, which may have run. */
    record FailRequest(long id) implements SchedulerCommand {}

    /** Cancel an attempt in flight; attempts of a request are numbered from 0. */
    record CancelAttempt(long id, int attempt) implements SchedulerCommand {}

    /**
     * Ask the invoker to hold loaded instances of the function.
     *
     * @param instances least number of loaded instances; 0 only asks how many are loaded
     */
    record PreloadFunction(String invoker, String function, int instances)
            implements SchedulerCommand {}

    /** Ask the invoker to unload the idle instances of the function. */
    record UnloadFunction(String invoker, String function) implements SchedulerCommand {}

    /** Check the health of an invoker. */
    record CheckHealth(String invoker) implements SchedulerCommand {}

    /** Close the idle connections to an invoker. */
    record CloseIdleConnections(String invoker) implements SchedulerCommand {}

    /** Send a message to another controller, or to {@link #ALL_PEERS}. */
    record SendGossip(int peer, byte[] message) implements SchedulerCommand {}

    /** Subscribe to updates of the endpoint list, or end the subscription. */
    record SubscribeToEndpoints(boolean enabled) implements SchedulerCommand {}

    /** Fetch the endpoint list once. */
    record FetchEndpoints() implements SchedulerCommand {}

    /** Deliver {@link SchedulerEvent.TimerExpired} with this timer after the delay. */
    record SetTimer(long afterMicros, SchedulerTimer timer) implements SchedulerCommand {}

    /** Write a line to the log. */
    record LogMessage(String text) implements SchedulerCommand {}
}
