package waytrestle.responses;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts, for each invoker, the failures of one function that are attributed to neither the
 * function nor the invoker yet.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class UnattributedFailures {
    /** Highest number of failures counted for one invoker; more would be no stronger evidence. */
    private static final int MAX_FAILURES_PER_INVOKER = 3;

    private static final int MAX_INVOKERS = ResponseHistory.MAX_INVOKERS;

    private final Map<String, Integer> byInvoker = new HashMap<>();

    void add(String invoker) {
        if (byInvoker.size() < MAX_INVOKERS || byInvoker.containsKey(invoker)) {
            byInvoker.merge(
                    invoker,
                    1,
                    (count, added) -> Math.min(count + added, MAX_FAILURES_PER_INVOKER));
        }
    }

    void clear() {
        byInvoker.clear();
    }

    /**
     * Removes the failures at all invokers but the given one and returns their numbers by invoker.
     */
    Map<String, Integer> takeAllExcept(String invoker) {
        if (byInvoker.isEmpty()) {
            return Map.of();
        }
        Map<String, Integer> others = new HashMap<>(byInvoker);
        Integer own = others.remove(invoker);
        byInvoker.clear();
        if (own != null) {
            byInvoker.put(invoker, own);
        }
        return others;
    }
}
