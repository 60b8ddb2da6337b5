package waytrestle.platform;

import waytrestle.controller.ControllerEnvironment;
import waytrestle.discovery.watch.WatchClient;
import waytrestle.gateway.GossipSocket;

/**
 * What the controller reaches beyond invokers: gossip and the log.
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

    /** Sets the socket for gossip, before the event loop starts; null sends none. */
    void attachGossipSocket(GossipSocket socket) {
        gossip = socket;
    }

    /** Sets who follows the endpoints, before the event loop starts. */
    void attachWatchClient(WatchClient client) {
        watchClient = client;
    }

    @Override
    public void pollEndpoints() {
        watchClient.pollIfBehind();
    }

    /** Does nothing: the watch server sends every event without a subscription. */
    @Override
    public void subscribe(boolean active) {}

    /** Does nothing: endpoints are watched, not fetched. */
    @Override
    public void fetchEndpoints() {}

    @Override
    public void sendGossip(int peer, byte[] message) {
        if (gossip != null) {
            gossip.send(peer, message);
        }
    }

    /** Logs and goes on: to end the process would lose every request in flight. */
    @Override
    public void schedulerFailed(String reason) {
        log.logMessage(new LogLine("scheduler.failed").with("reason", reason).toString());
    }
}
