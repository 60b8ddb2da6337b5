package waytrestle.scheduler;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The number of known and of ready invokers of each kind, kept up to date with each change of an
 * invoker, so that a change of one does not cost a walk over all.
 *
 * <p>Not thread-safe: called from the controller's event loop.
 */
final class InvokerCounts {
    private final Map<Integer, Integer> knownByKind = new HashMap<>();
    private final Map<Integer, Integer> readyByKind = new HashMap<>();

    /** Counts an invoker by its present kind and readiness. */
    void add(InvokerState invoker) {
        change(invoker, 1);
    }

    /** No longer counts an invoker; called before its kind or its readiness changes. */
    void remove(InvokerState invoker) {
        change(invoker, -1);
    }

    private void change(InvokerState invoker, int difference) {
        int kind = invoker.endpoint.kind();
        addTo(knownByKind, kind, difference);
        if (invoker.ready) {
            addTo(readyByKind, kind, difference);
        }
    }

    private static void addTo(Map<Integer, Integer> counts, int kind, int difference) {
        int count = counts.getOrDefault(kind, 0) + difference;
        if (count == 0) {
            counts.remove(kind);
        } else {
            counts.put(kind, count);
        }
    }

    /** Returns the number of ready invokers of a kind. */
    int ready(int kind) {
        return readyByKind.getOrDefault(kind, 0);
    }

    /** Returns the kinds of which at least one invoker is known, ready or not. */
    Set<Integer> kinds() {
        return knownByKind.keySet();
    }
}
