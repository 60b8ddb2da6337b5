package waytrestle.scheduler;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;
import waytrestle.stats.DecayingAverage;

/** Follows the endpoint list: which invokers are ready, and which have started anew. */
final class EndpointTracker {
    private final SchedulerState state;
    private final ReadinessLeases leases;

    EndpointTracker(SchedulerState state, ReadinessLeases leases) {
        this.state = state;
        this.leases = leases;
    }

    /** Takes over a snapshot or changes. */
    void update(EndpointsUpdated event) {
        if (event.snapshot()) {
            Set<String> present = new HashSet<>();
            event.entries().forEach(endpoint -> present.add(endpoint.id()));
            for (InvokerState invoker : state.invokers.values()) {
                if (!present.contains(invoker.id)) {
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
        Map<Integer, Integer> ready = new HashMap<>();
        for (InvokerState invoker : state.invokers.values()) {
            ready.merge(invoker.endpoint.kind(), invoker.ready ? 1 : 0, Integer::sum);
        }
        state.readyInvokersByKind.forEach(
                (kind, average) -> average.setCount(ready.getOrDefault(kind, 0), state.now));
        ready.forEach(
                (kind, count) ->
                        state.readyInvokersByKind
                                .computeIfAbsent(
                                        kind,
                                        added ->
                                                new DecayingAverage(
                                                        FinishTimeEstimate.RATE_DECAY_MICROS))
                                .setCount(count, state.now));
    }
}
