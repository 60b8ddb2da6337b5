package waytrestle.responses;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Holds the records of all invokers by id, in the order in which they were first seen.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class InvokerTable {
    private final Map<String, InvokerRecord> invokers = new LinkedHashMap<>();

    /** Returns the record of an invoker; null if there is none. */
    InvokerRecord find(String invoker) {
        return invokers.get(invoker);
    }

    /** Returns the record of an invoker, after adding an empty one if there was none. */
    InvokerRecord findOrAdd(String invoker) {
        return invokers.computeIfAbsent(invoker, id -> new InvokerRecord());
    }

    Set<String> ids() {
        return invokers.keySet();
    }

    void forEach(BiConsumer<String, InvokerRecord> action) {
        invokers.forEach(action);
    }

    /**
     * Removes invokers that are not listed and have no attempts in flight, and passes the id of
     * each to the consumer.
     */
    void removeGone(Consumer<String> onRemoved) {
        invokers.entrySet()
                .removeIf(
                        entry -> {
                            InvokerRecord invoker = entry.getValue();
                            boolean gone =
                                    invoker.endpoint() == null && invoker.attemptsInFlight() == 0;
                            if (gone) {
                                onRemoved.accept(entry.getKey());
                            }
                            return gone;
                        });
    }

    /**
     * Returns the number of invokers that service discovery lists as ready, ejected ones included.
     */
    int readyCount() {
        int ready = 0;
        for (InvokerRecord invoker : invokers.values()) {
            if (invoker.isReady()) {
                ready++;
            }
        }
        return ready;
    }

    long ejectedCount() {
        return invokers.values().stream().filter(invoker -> invoker.health().isEjected()).count();
    }

    /** Returns the number of entries held for attempts in flight. */
    int retainedEntries() {
        return invokers.values().stream().mapToInt(InvokerRecord::retainedEntries).sum();
    }
}
