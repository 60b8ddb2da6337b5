package waytrestle.responses;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The records of all invokers by id, in the order in which they were first seen.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class InvokerTable {
    private final Map<String, InvokerRecord> invokers = new LinkedHashMap<>();

    /** The record of an invoker, or null. */
    InvokerRecord find(String invoker) {
        return invokers.get(invoker);
    }

    /** The record of an invoker, new if there was none. */
    InvokerRecord findOrAdd(String invoker) {
        return invokers.computeIfAbsent(invoker, id -> new InvokerRecord());
    }

    Set<String> ids() {
        return invokers.keySet();
    }

    void forEach(BiConsumer<String, InvokerRecord> action) {
        invokers.forEach(action);
    }

    /** Removes invokers that are neither listed nor have attempts in flight. */
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

    /** How many invokers service discovery lists as ready, ejected ones included. */
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
        return invokers.values().stream().filter(each -> each.health().isEjected()).count();
    }

    /** The number of entries held for attempts in flight. */
    int retainedEntries() {
        return invokers.values().stream().mapToInt(InvokerRecord::retainedEntries).sum();
    }
}
