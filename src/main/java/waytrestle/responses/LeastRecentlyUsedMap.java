package waytrestle.responses;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * A map by name that holds a bounded number of entries; the least recently used one is evicted. A
 * look-up counts as a use.
 *
 * <p>Not thread-safe.
 */
final class LeastRecentlyUsedMap<V> {
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<String, V> entries;
    private final Supplier<V> newValue;

    /** An empty map that makes missing values itself. */
    LeastRecentlyUsedMap(int initialCapacity, int maxEntries, Supplier<V> newValue) {
        this.newValue = newValue;
        this.entries =
                new LinkedHashMap<>(initialCapacity, LOAD_FACTOR, true) {
                    @Override
                    protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
                        return size() > maxEntries;
                    }
                };
    }

    /** The value of a name, or null. */
    V find(String name) {
        return entries.get(name);
    }

    /** The value of a name, new if there was none. */
    V findOrAdd(String name) {
        return entries.computeIfAbsent(name, key -> newValue.get());
    }

    /** All values; reading them counts as no use. */
    Iterable<V> values() {
        return entries.values();
    }
}
