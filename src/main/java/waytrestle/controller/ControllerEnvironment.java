package waytrestle.controller;

/** What the controller reaches beyond invokers. */
public interface ControllerEnvironment {
    void subscribe(boolean on);

    void fetchEndpoints();

    void sendGossip(int peer, byte[] message);

    /** The module has failed too often; the process should stop. */
    void schedulerFailed(String why);
}
