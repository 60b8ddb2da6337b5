package waytrestle.discovery.watch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how events and heartbeats of the watch stream are distinguished. */
class WatchEventReaderTest {
    private final WatchEventReader reader =
            new WatchEventReader(List.of("east", "west"), List.of("std"));

    /**
     * Guards against reading a revision without endpoints as an event that changes nothing. If such
     * a line arrived before the event of the same revision, that event would be dropped as a
     * duplicate.
     */
    @Test
    void bareRevisionAndObjectWithoutEndpointsAreHeartbeats() {
        assertTrue(reader.readLine("41").isHeartbeat());
        assertTrue(reader.readLine("{\"rev\":41}").isHeartbeat());
        assertEquals(41, reader.readLine("{\"rev\":41}").revision());
    }

    @Test
    void snapshotWithoutEndpointsIsAnEventAndNotAHeartbeat() {
        WatchEvent event = reader.readLine("{\"rev\":41,\"pool\":{\"whole\":true,\"hosts\":[]}}");
        assertFalse(event.isHeartbeat());
        assertTrue(event.snapshot());
    }
}
