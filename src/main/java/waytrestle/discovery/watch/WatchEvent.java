package waytrestle.discovery.watch;

import java.net.InetSocketAddress;
import java.util.List;
import waytrestle.scheduler.EndpointState;

/**
 * One line of the watch server: an event, or a heartbeat with the server's last revision alone.
 *
 * @param revision numbers events without gaps
 * @param snapshot whether the endpoints are the complete list, or just those that changed
 * @param endpoints null in a heartbeat
 */
public record WatchEvent(long revision, boolean snapshot, List<Endpoint> endpoints) {
    /** Whether this only reports the server's last revision. */
    public boolean isHeartbeat() {
        return endpoints == null;
    }

    /**
     * An invoker as the watch server lists it.
     *
     * @param kind index of its kind in the settings
     * @param startedAtUnixMillis when its present process started; 0 when long ago or not reported
     */
    public record Endpoint(
            String id,
            InetSocketAddress address,
            int zone,
            int cell,
            int kind,
            EndpointState state,
            double weight,
            long startedAtUnixMillis) {}
}
