package waytrestle.scheduler;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The invokers that a scheduler knows, by id and in the order in which they were first listed.
 * Walks go over an array that is rebuilt after an invoker was added or removed: each decision walks
 * over all invokers, and a walk over the entries of a hash table takes several times as long.
 *
 * <p>Not thread-safe: called from the controller's event loop.
 */
final class InvokerTable {
    private static final InvokerState[] OUTDATED = {};

    private final Map<String, InvokerState> byId = new LinkedHashMap<>();

    /** All invokers in order; {@link #OUTDATED} after a change. */
    private InvokerState[] inOrder = OUTDATED;

    /** Returns the invoker, or null if it is not known. */
    InvokerState find(String id) {
        return byId.get(id);
    }

    /** Returns the invoker, after adding it if it is not known. */
    InvokerState findOrAdd(String id) {
        InvokerState invoker = byId.get(id);
        if (invoker == null) {
            invoker = new InvokerState(id);
            byId.put(id, invoker);
            inOrder = OUTDATED;
        }
        return invoker;
    }

    /** Removes the invokers that the condition holds for. */
    void removeIf(Predicate<InvokerState> condition) {
        if (byId.values().removeIf(condition)) {
            inOrder = OUTDATED;
        }
    }

    int size() {
        return byId.size();
    }

    /**
     * Returns all invokers in order. The array is valid until the next change; not to be changed.
     */
    InvokerState[] inOrder() {
        if (inOrder.length != byId.size()) {
            inOrder = byId.values().toArray(OUTDATED);
        }
        return inOrder;
    }
}
