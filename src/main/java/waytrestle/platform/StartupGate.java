package waytrestle.platform;

import java.util.List;
import waytrestle.discovery.watch.WatchEvent;
import waytrestle.front.platform.PlatformFrontEnd;

/**
 * Holds requests back until the watch server has answered, or has had its time to.
 *
 * <p>Guards against sends to an invoker that was declared draining while this process started: the
 * configuration's endpoints are as old as the start, which on part of a core takes most of the
 * drain grace.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class StartupGate {
    private final List<WatchEvent> configuredEvents;
    private final EndpointUpdater endpoints;
    private final PlatformFrontEnd frontEnd;
    private boolean opened;

    StartupGate(
            List<WatchEvent> configuredEvents,
            EndpointUpdater endpoints,
            PlatformFrontEnd frontEnd) {
        this.configuredEvents = configuredEvents;
        this.endpoints = endpoints;
        this.frontEnd = frontEnd;
    }

    /** Applies the configuration's endpoints and lets requests be served; later runs do nothing. */
    void open() {
        if (opened) {
            return;
        }
        opened = true;
        configuredEvents.forEach(endpoints::apply);
        frontEnd.markReady();
    }
}
