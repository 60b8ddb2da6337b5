package waytrestle.platform;

import java.util.List;
import waytrestle.discovery.watch.WatchEvent;
import waytrestle.front.platform.PlatformFrontEnd;

/**
 * Holds requests back until the watch server has responded for the first time or the wait for its
 * response has ended: only then are the configuration's endpoints applied and the front end ready.
 *
 * <p>Guards against sends to an invoker that began draining while this process started. The
 * configuration's endpoints date from before the start, which takes most of the drain grace on a
 * fraction of a core.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class StartupGate {
    private final List<WatchEvent> configuredEvents;
    private final EndpointUpdater endpointUpdater;
    private final PlatformFrontEnd frontEnd;
    private boolean opened;

    StartupGate(
            List<WatchEvent> configuredEvents,
            EndpointUpdater endpointUpdater,
            PlatformFrontEnd frontEnd) {
        this.configuredEvents = configuredEvents;
        this.endpointUpdater = endpointUpdater;
        this.frontEnd = frontEnd;
    }

    /**
     * Applies the configuration's endpoints and marks the front end as ready, so that requests are
     * sent to invokers; later calls do nothing.
     */
    void open() {
        if (opened) {
            return;
        }
        opened = true;
        configuredEvents.forEach(endpointUpdater::apply);
        frontEnd.markReady();
    }
}
