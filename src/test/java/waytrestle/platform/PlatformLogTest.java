package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What the controller's log writes. */
class PlatformLogTest {
    private static final long WALL_MILLIS = 1_700_000_000_500L;
    private static final String TIME = "2023-11-14T22:13:20.500Z ";

    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private final PlatformLog log =
            new PlatformLog(
                    new PrintStream(written, true, StandardCharsets.UTF_8), () -> WALL_MILLIS);

    @Test
    void aFailureIsLoggedWithItsStackTrace() {
        log.handlerFailed(new IllegalStateException("no capacity"));
        List<String> lines = lines();
        assertEquals(
                TIME + "handler.failed error=\"java.lang.IllegalStateException: no capacity\"",
                lines.get(0));
        assertTrue(lines.get(1).startsWith(TIME + "stack.frame at="), lines.get(1));
    }

    @Test
    void aFloodOfLinesIsCutOffEachSecond() {
        for (int i = 0; i < 1_000; i++) {
            log.logMessage("line");
        }
        // At most two seconds of the clock: the flood takes milliseconds.
        int count = lines().size();
        assertTrue(count >= 20 && count <= 40, count + " lines");
    }

    private List<String> lines() {
        return written.toString(StandardCharsets.UTF_8).lines().toList();
    }
}
