package waytrestle.platform;

import waytrestle.controller.ControllerEnvironment;
import waytrestle.discovery.watch.WatchClient;
import waytrestle.gateway.GossipSocket;

/**
 * Connects the controller to service discovery, the other controllers and the log.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class PlatformEnvironment implements ControllerEnvironment {
    private final PlatformLog log;
    private GossipSocket gossip;
    private WatchClient watchClient;

    PlatformEnvironment(PlatformLog log) {
        this.log = log;
    }

    /** Sets the gossip socket before the event loop starts; with null, no gossip is sent. */
    void attachGossipSocket(GossipSocket socket) {
        gossip = socket;
    }

    /** Sets the client of service discovery before the event loop starts; must not be null. */
    void attachWatchClient(WatchClient client) {
        watchClient = client;
    }

    @Override
    public void pollEndpoints() {
        watchClient.pollIfBehind();
    }

    /** Does nothing: the watch server sends every event without a subscription. */
    @Override
    public void subscribe(boolean enabled) {}

    /** Does nothing: endpoint updates come from the watch server and are never fetched. */
    @Override
    public void fetchEndpoints() {}

    @Override
    public void sendGossip(int peer, byte[] message) {
        if (gossip != null) {
            gossip.send(peer, message);
        }
    }

    /** Logs the failure; ending the process would lose every request in flight. */
    @Override
    public void schedulerFailed(String reason) {
        log.logMessage(new LogLine("scheduler.failed").with("reason", reason).toString());
    }
}
