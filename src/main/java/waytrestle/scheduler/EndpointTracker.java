package waytrestle.scheduler;

import java.util.HashSet;
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
    private final InvokerCounts counts = new InvokerCounts();

    EndpointTracker(SchedulerState state, ReadinessLeases leases) {
        this.state = state;
        this.leases = leases;
    }

    /** Applies a snapshot of the endpoint list, or the changes since the last update. */
    void update(EndpointsUpdated event) {
        if (event.snapshot()) {
            Set<String> listedIds = new HashSet<>();
            event.entries().forEach(endpoint -> listedIds.add(endpoint.id()));
            for (InvokerState invoker : state.invokers.inOrder()) {
                if (!listedIds.contains(invoker.id)) {
                    counts.remove(invoker);
                    invoker.ready = false;
                    counts.add(invoker);
                    invoker.clearInstances();
                }
            }
        }
        event.entries().forEach(this::update);
        recordReadyByKind();
    }

    /** Removes the invokers that are not ready and have no attempt in flight. */
    void removeUnused() {
        state.invokers.removeIf(this::removeIfUnused);
    }

    private boolean removeIfUnused(InvokerState invoker) {
        boolean unused = !invoker.ready && invoker.inFlight == 0;
        if (unused) {
            counts.remove(invoker);
        }
        return unused;
    }

    private void update(InvokerEndpoint endpoint) {
        InvokerState invoker = state.invokers.findOrAdd(endpoint.id());
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
        if (!added) {
            counts.remove(invoker);
        }
        invoker.endpoint = endpoint;
        leases.recordListed(invoker);
        invoker.ready = endpoint.state() == EndpointState.READY;
        counts.add(invoker);
    }

    private void recordReadyByKind() {
        state.readyInvokersByKind.forEach(
                (kind, average) -> average.setCount(counts.ready(kind), state.now));
        for (int kind : counts.kinds()) {
            state.readyInvokersByKind
                    .computeIfAbsent(
                            kind,
                            absent -> new DecayingAverage(FinishTimeEstimate.RATE_DECAY_MICROS))
                    .setCount(counts.ready(kind), state.now);
        }
    }
}
