package waytrestle.controller;

/**
 * What a controller uses beside its invokers: service discovery, the other controllers and the
 * process. All methods are called on the controller's event loop.
 */
public interface ControllerEnvironment {
    /**
     * Subscribes to endpoint updates, or ends the subscription.
     *
     * @param enabled false to end the subscription
     */
    void subscribe(boolean enabled);

    /** Fetches the endpoint list once. */
    void fetchEndpoints();

    /**
     * Reads and handles the messages that service discovery has sent already. Messages may be
     * unread because the event loop was busy or the process was stopped.
     */
    default void pollEndpoints() {}

    /**
     * Sends a message to another controller.
     *
     * @param peer number of the other controller, or {@link
     *     waytrestle.scheduler.SchedulerCommand#ALL_PEERS}
     */
    void sendGossip(int peer, byte[] message);

    /**
     * Reports that the scheduler threw more often than the {@link FailureThreshold} tolerates. The
     * implementation decides whether the process ends.
     *
     * @param reason the threshold that was exceeded, in words
     */
    void schedulerFailed(String reason);
}
