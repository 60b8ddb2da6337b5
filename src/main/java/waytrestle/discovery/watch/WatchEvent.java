package waytrestle.discovery.watch;

import java.net.InetSocketAddress;
import java.util.List;
import waytrestle.scheduler.EndpointState;

/**
 * One line of the watch stream: an event, or a heartbeat that holds nothing but the revision of the
 * server's last event. Immutable if the list of endpoints is.
 *
 * @param revision number of the event, counted without gaps; in a heartbeat, that of the server's
 *     last event
 * @param snapshot whether the endpoints are the complete list rather than only those that changed;
 *     false in a heartbeat
 * @param endpoints endpoints that the event lists; null in a heartbeat
 */
public record WatchEvent(long revision, boolean snapshot, List<Endpoint> endpoints) {
    /** Returns whether the line is a heartbeat. */
    public boolean isHeartbeat() {
        return endpoints == null;
    }

    /**
     * An invoker's entry in an event.
     *
     * @param id name of the invoker
     * @param address address at which the invoker accepts requests
     * @param zone index of the invoker's zone in the settings
     * @param cell number of the cell that the invoker is in
     * @param kind index of the invoker's kind in the settings
     * @param state whether the invoker accepts requests
     * @param weight the invoker's weight among the invokers
     * @param startedAtUnixMillis when the invoker's present process started, in Unix milliseconds;
     *     0 if that is long ago or was not reported
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
