package waytrestle.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class BoundedMapTest {
    /** Inserts "a" and "b", reads "a", then inserts "c". */
    private static Map<String, Integer> insertThreeEntries(Map<String, Integer> map) {
        map.put("a", 1);
        map.put("b", 2);
        map.get("a");
        map.put("c", 3);
        return map;
    }

    @Test
    void insertionBeyondMaximumEvictsFirstInsertedEntryInInsertionOrder() {
        assertEquals(Set.of("b", "c"), insertThreeEntries(BoundedMap.inInsertionOrder(2)).keySet());
    }

    @Test
    void insertionBeyondMaximumEvictsLeastRecentlyUsedEntryInAccessOrder() {
        assertEquals(Set.of("a", "c"), insertThreeEntries(BoundedMap.inAccessOrder(2)).keySet());
    }
}
