package waytrestle.platform;

import waytrestle.controller.Controller;
import waytrestle.discovery.watch.WatchClient;
import waytrestle.front.platform.PlatformFrontEnd;
import waytrestle.gateway.GossipSocket;
import waytrestle.http.HttpServer;

/**
 * The components of one controller, as {@link ControllerBootstrap} has connected them. All are
 * owned by the controller's event loop.
 *
 * @param gossip null if the settings allow no gossip or the configuration has no address for it
 */
record PlatformComponents(
        Controller controller,
        PlatformFrontEnd frontEnd,
        HttpServer server,
        WatchClient watchClient,
        GossipSocket gossip,
        InvokerAddresses addresses,
        ProcessStartTimes startTimes) {}
