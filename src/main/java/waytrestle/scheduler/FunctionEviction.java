package waytrestle.scheduler;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Bounds the number of functions that a scheduler remembers. Clients name the functions, and also
 * those that no invoker knows are remembered until they expire, so the request rate alone does not
 * bound them.
 *
 * <p>At the bound, functions are evicted together with what is believed about their instances: the
 * least recently requested ones first, those of which nothing is known before those that were
 * served or have an instance, so that requests for unknown functions do not displace known ones.
 * Functions in use stay: those with an open request, or with an attempt or a preload in flight.
 *
 * <p>Not thread-safe: called from the controller's event loop.
 */
final class FunctionEviction {
    /** Functions remembered, as long as no more of them are in use. */
    static final int MAX_FUNCTIONS = 8_192;

    /**
     * Functions evicted at a time, at least; spreads the cost of choosing them over many requests.
     */
    private static final int BATCH_SIZE = MAX_FUNCTIONS / 8;

    private final SchedulerState state;

    /** Number of functions at which the next batch is evicted. */
    private int evictionSize = MAX_FUNCTIONS;

    FunctionEviction(SchedulerState state) {
        this.state = state;
    }

    /** Evicts functions if the bound is reached; called before a request adds one. */
    void makeRoom() {
        if (state.functions.size() < evictionSize) {
            return;
        }
        evictBatch();
        // Where nearly all functions are in use, the next batch is due once as many were added.
        evictionSize = Math.max(MAX_FUNCTIONS, state.functions.size() + BATCH_SIZE);
    }

    private void evictBatch() {
        Set<FunctionState> inUse = new HashSet<>();
        Set<FunctionState> known = new HashSet<>();
        state.requests.values().forEach(request -> inUse.add(request.function));
        for (InvokerState invoker : state.invokers.inOrder()) {
            for (FunctionInstance instance : invoker.instances.values()) {
                (instance.isInUse() ? inUse : known).add(instance.function);
            }
        }
        List<FunctionState> candidates = new ArrayList<>(state.functions.values());
        candidates.removeIf(inUse::contains);
        candidates.sort(
                Comparator.<FunctionState, Boolean>comparing(
                                function -> function.wasServed() || known.contains(function))
                        .thenComparingLong(function -> function.lastRequestAt));
        int excess = state.functions.size() - (MAX_FUNCTIONS - BATCH_SIZE);
        evict(new HashSet<>(candidates.subList(0, Math.min(excess, candidates.size()))));
    }

    private void evict(Set<FunctionState> evicted) {
        state.functions.values().removeIf(evicted::contains);
        for (InvokerState invoker : state.invokers.inOrder()) {
            invoker.removeInstances(evicted::contains);
        }
    }
}
