package waytrestle.scheduler;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;
import waytrestle.stats.DecayingAverage;

/**
 * Applies updates of the endpoint list to the scheduler's state: which invokers are ready, which
 * have restarted, and how many of each kind are ready.
 *
 * <p>Not thread-safe: called from the controller's event loop.
 */
final class EndpointTracker {
    private final SchedulerState state;
    private final ReadinessLeases leases;

    EndpointTracker(SchedulerState state, ReadinessLeases leases) {
        this.state = state;
        this.leases = leases;
    }

    /** Applies a snapshot of the endpoint list, or the changes since the last update. */
    void update(EndpointsUpdated event) {
        if (event.snapshot()) {
            Set<String> listedIds = new HashSet<>();
            event.entries().forEach(endpoint -> listedIds.add(endpoint.id()));
            for (InvokerState invoker : state.invokers.values()) {
                if (!listedIds.contains(invoker.id)) {
                    invoker.ready = false;
                    invoker.clearInstances();
                }
            }
        }
        event.entries().forEach(this::update);
        countReadyByKind();
    }

    private void update(InvokerEndpoint endpoint) {
        InvokerState invoker = state.invokers.computeIfAbsent(endpoint.id(), InvokerState::new);
        boolean added = invoker.endpoint == null;
        boolean restarted =
                !added && endpoint.startedAtMicros() > invoker.endpoint.startedAtMicros();
        if (restarted || endpoint.state() == EndpointState.GONE) {
            invoker.clearInstances();
            invoker.clearHealth();
        }
        if (restarted || added) {
            invoker.slowStartSince = Math.max(invoker.slowStartSince, endpoint.startedAtMicros());
        }
        invoker.endpoint = endpoint;
        leases.recordListed(invoker);
        invoker.ready = endpoint.state() == EndpointState.READY;
    }

    private void countReadyByKind() {
        Map<Integer, Integer> readyCounts = new HashMap<>();
        for (InvokerState invoker : state.invokers.values()) {
            readyCounts.merge(invoker.endpoint.kind(), invoker.ready ? 1 : 0, Integer::sum);
        }
        state.readyInvokersByKind.forEach(
                (kind, average) -> average.setCount(readyCounts.getOrDefault(kind, 0), state.now));
        readyCounts.forEach(
                (kind, count) ->
                        state.readyInvokersByKind
                                .computeIfAbsent(
                                        kind,
                                        absent ->
                                                new DecayingAverage(
                                                        FinishTimeEstimate.RATE_DECAY_MICROS))
                                .setCount(count, state.now));
    }
}
