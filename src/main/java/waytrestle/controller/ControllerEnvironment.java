package waytrestle.controller;

/**
 * What a controller uses beside its invokers: service discovery, the other controllers and the
 * process. Called on the controller's event loop.
 */
public interface ControllerEnvironment {
    /** Subscribes to endpoint updates, or ends the subscription. */
    void subscribe(boolean enabled);

    /** Fetches the endpoint list once. */
    void fetchEndpoints();

    /**
     * Takes in what service discovery has sent already, where that may not have been read because
     * the event loop was busy elsewhere, or the process did not run.
     */
    default void pollEndpoints() {}

    /**
     * Sends a message to another controller.
     *
     * @param peer its number, or {@link waytrestle.scheduler.SchedulerCommand#ALL_PEERS}
     */
    void sendGossip(int peer, byte[] message);

    /** The scheduler has failed too often; the process should stop. */
    void schedulerFailed(String reason);
}
