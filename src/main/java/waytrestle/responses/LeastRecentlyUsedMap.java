package waytrestle.responses;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * A map with string keys and a bounded number of entries: adding an entry above the bound evicts
 * the least recently used one. A look-up counts as a use.
 *
 * <p>Not thread-safe.
 */
final class LeastRecentlyUsedMap<V> {
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<String, V> entries;
    private final Supplier<V> newValue;

    /** Creates an empty map; {@code newValue} creates the value of a missing key. */
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

    /** Returns the value of a key; null if there is none. */
    V find(String key) {
        return entries.get(key);
    }

    /** Returns the value of a key, after adding a new value if there was none. */
    V findOrAdd(String key) {
        return entries.computeIfAbsent(key, absentKey -> newValue.get());
    }

    /** Returns all values; iterating over them does not count as a use. */
    Iterable<V> values() {
        return entries.values();
    }
}
