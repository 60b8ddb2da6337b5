package waytrestle.responses;

import java.util.HashMap;
import java.util.Map;

/**
 * Failures of one function that are not yet held against anybody: they may be the function's or
 * their invokers'.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class UnattributedFailures {
    /** Failures counted of one invoker: more prove no more. */
    private static final int MAX_FAILURES_PER_INVOKER = 3;

    private static final int MAX_INVOKERS = ResponseHistory.MAX_INVOKERS;

    private final Map<String, Integer> byInvoker = new HashMap<>();

    void add(String invoker) {
        if (byInvoker.size() < MAX_INVOKERS || byInvoker.containsKey(invoker)) {
            byInvoker.merge(
                    invoker, 1, (one, two) -> Math.min(one + two, MAX_FAILURES_PER_INVOKER));
        }
    }

    void clear() {
        byInvoker.clear();
    }

    /** Takes out the failures, by invoker, of all invokers but this one. */
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
