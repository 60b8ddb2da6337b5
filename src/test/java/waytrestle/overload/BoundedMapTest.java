package waytrestle.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class BoundedMapTest {
    private static Map<String, Integer> filled(Map<String, Integer> map) {
        map.put("a", 1);
        map.put("b", 2);
        map.get("a");
        map.put("c", 3);
        return map;
    }

    @Test
    void inInsertionOrderTheFirstInsertedIsEvicted() {
        assertEquals(Set.of("b", "c"), filled(BoundedMap.inInsertionOrder(2)).keySet());
    }

    @Test
    void inAccessOrderTheLongestUnusedIsEvicted() {
        assertEquals(Set.of("a", "c"), filled(BoundedMap.inAccessOrder(2)).keySet());
    }
}
