package waytrestle.overload;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that evicts its eldest entry whenever an insertion makes it exceed a maximum number of
 * entries.
 *
 * <p>Not thread-safe.
 */
final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1;
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maxEntries;

    private BoundedMap(int maxEntries, boolean accessOrder) {
        super(INITIAL_CAPACITY, LOAD_FACTOR, accessOrder);
        this.maxEntries = maxEntries;
    }

    /** Returns an empty map that evicts the entry inserted first. */
    static <K, V> BoundedMap<K, V> inInsertionOrder(int maxEntries) {
        return new BoundedMap<>(maxEntries, false);
    }

    /** Returns an empty map that evicts the least recently read or written entry. */
    static <K, V> BoundedMap<K, V> inAccessOrder(int maxEntries) {
        return new BoundedMap<>(maxEntries, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > maxEntries;
    }
}
