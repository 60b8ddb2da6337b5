package waytrestle.discovery.watch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** How lines of the watch stream are told apart. */
class WatchEventReaderTest {
    private final WatchEventReader reader =
            new WatchEventReader(List.of("east", "west"), List.of("std"));

    /**
     * A revision without endpoints passed for an event that changes nothing: one that came before
     * its event would have had that event dropped as a duplicate.
     */
    @Test
    void aRevisionWithoutEndpointsIsAHeartbeatInEitherForm() {
        assertTrue(reader.readLine("41").isHeartbeat());
        assertTrue(reader.readLine("{\"rev\":41}").isHeartbeat());
        assertEquals(41, reader.readLine("{\"rev\":41}").revision());
    }

    @Test
    void anEventOfAnEmptySnapshotIsNone() {
        WatchEvent event = reader.readLine("{\"rev\":41,\"pool\":{\"whole\":true,\"hosts\":[]}}");
        assertFalse(event.isHeartbeat());
        assertTrue(event.snapshot());
    }
}
