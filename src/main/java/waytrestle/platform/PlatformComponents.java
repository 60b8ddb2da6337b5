package waytrestle.platform;

import waytrestle.controller.Controller;
import waytrestle.discovery.watch.WatchClient;
import waytrestle.front.platform.PlatformFrontEnd;
import waytrestle.gateway.GossipSocket;
import waytrestle.http.HttpServer;

/**
 * The parts of one controller, as the bootstrap has connected them. All belong to its event loop.
 *
 * @param gossip null when the settings allow no gossip or give no address for it
 */
record PlatformComponents(
        Controller controller,
        PlatformFrontEnd frontEnd,
        HttpServer server,
        WatchClient watchClient,
        GossipSocket gossip,
        InvokerAddresses addresses,
        ProcessStartTimes startTimes) {}
