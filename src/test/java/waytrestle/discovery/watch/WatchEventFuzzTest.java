package waytrestle.discovery.watch;

import com.code_intelligence.jazzer.junit.FuzzTest;
import java.nio.charset.StandardCharsets;
import java.util.List;
import waytrestle.json.MalformedJsonException;

/**
 * Coverage-guided fuzzing of a notice board's lines: each is an event, a number or malformed, and
 * never anything else.
 */
class WatchEventFuzzTest {
    private final WatchEventReader reader =
            new WatchEventReader(List.of("east", "west"), List.of("std"));

    @FuzzTest(maxDuration = "60s")
    void aLineIsReadOrMalformed(byte[] data) {
        try {
            WatchEvent notice = reader.readLine(new String(data, StandardCharsets.UTF_8));
            if (notice.endpoints() != null) {
                notice.endpoints()
                        .forEach(
                                h -> {
                                    if (h.id() == null
                                            || h.address() == null
                                            || h.state() == null
                                            || h.zone() < 0
                                            || h.kind() < 0) {
                                        throw new AssertionError("half an invoker: " + h);
                                    }
                                });
            }
        } catch (MalformedJsonException expected) {
            // told as such, and asked for again
        }
    }
}
