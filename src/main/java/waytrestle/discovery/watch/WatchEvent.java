package waytrestle.discovery.watch;

import java.net.InetSocketAddress;
import java.util.List;
import waytrestle.scheduler.EndpointState;

/** One numbered event of the notice board: the full list of invokers, or those that changed. */
public record WatchEvent(long revision, boolean snapshot, List<Endpoint> endpoints) {
    /** An invoker as listed; bornMillis is the Unix time of a late start, or 0. */
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
