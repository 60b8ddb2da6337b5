package waytrestle.discovery.watch;

import com.code_intelligence.jazzer.junit.FuzzTest;
import java.nio.charset.StandardCharsets;
import java.util.List;
import waytrestle.json.MalformedJsonException;

/**
 * Coverage-guided fuzzing of the reader of watch lines: each line is an event with complete
 * endpoints, a heartbeat, or rejected with a {@link MalformedJsonException}.
 */
class WatchEventFuzzTest {
    private final WatchEventReader reader =
            new WatchEventReader(List.of("east", "west"), List.of("std"));

    @FuzzTest(maxDuration = "60s")
    void lineIsReadCompletelyOrRejectedAsMalformed(byte[] data) {
        try {
            WatchEvent event = reader.readLine(new String(data, StandardCharsets.UTF_8));
            if (!event.isHeartbeat()) {
                event.endpoints().forEach(WatchEventFuzzTest::requireComplete);
            }
        } catch (MalformedJsonException expected) {
            // Most inputs are malformed: the watch client then drops the connection and reconnects.
        }
    }

    private static void requireComplete(WatchEvent.Endpoint endpoint) {
        boolean complete =
                endpoint.id() != null
                        && endpoint.address() != null
                        && endpoint.state() != null
                        && endpoint.zone() >= 0
                        && endpoint.kind() >= 0;
        if (!complete) {
            throw new AssertionError("incomplete endpoint: " + endpoint);
        }
    }
}
