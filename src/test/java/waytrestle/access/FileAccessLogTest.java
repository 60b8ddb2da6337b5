package waytrestle.access;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FileAccessLogTest {
    private static final int REQUESTS = 10_000;

    @TempDir private Path directory;
    private final List<IOException> failures = new ArrayList<>();

    private FileAccessLog openLog(Path file, double sampledFraction) throws IOException {
        FileAccessLog.Settings settings =
                new FileAccessLog.Settings(file.toString(), sampledFraction, 64);
        return new FileAccessLog(settings, 1, failures::add);
    }

    private static AccessLine lineForFunction(String function) {
        return new AccessLine(0, "", "", "interactive", function, List.of(), "served", "", 7);
    }

    @Test
    void closeWritesAllQueuedLines() throws IOException {
        Path file = directory.resolve("access.jsonl");
        FileAccessLog log = openLog(file, 1);
        for (int i = 0; i < 20; i++) {
            log.write(lineForFunction("function-" + i));
        }
        log.close();
        List<String> lines = Files.readAllLines(file);
        assertEquals(20, lines.size());
        assertTrue(lines.get(0).contains("\"function-0\""), lines.get(0));
        assertTrue(lines.get(19).contains("\"function-19\""), lines.get(19));
        assertEquals(20, log.writtenLines());
        assertEquals(0, log.droppedLines());
        assertEquals(List.of(), failures);
    }

    @Test
    void existingFileIsAppendedTo() throws IOException {
        Path file = directory.resolve("access.jsonl");
        Files.writeString(file, "earlier\n");
        FileAccessLog log = openLog(file, 1);
        log.write(lineForFunction("resize"));
        log.close();
        List<String> lines = Files.readAllLines(file);
        assertEquals(2, lines.size());
        assertEquals("earlier", lines.get(0));
    }

    @Test
    void linesAfterReopenGoToNewFileWhenOldOneWasMoved() throws IOException {
        Path file = directory.resolve("access.jsonl");
        Path rotated = directory.resolve("access.1");
        FileAccessLog log = openLog(file, 1);
        log.write(lineForFunction("before"));
        Files.move(file, rotated);
        log.reopen();
        log.write(lineForFunction("after"));
        log.close();
        assertTrue(Files.readString(rotated).contains("\"before\""));
        assertTrue(Files.readString(file).contains("\"after\""));
        assertEquals(2, log.writtenLines());
    }

    @Test
    void twoLogsSampleTheSameIdsAtTheConfiguredFraction() throws IOException {
        try (FileAccessLog log = openLog(directory.resolve("a"), 0.25);
                FileAccessLog otherLog = openLog(directory.resolve("b"), 0.25)) {
            int sampled = 0;
            for (int i = 0; i < REQUESTS; i++) {
                String id = "request-" + i;
                assertEquals(
                        log.shouldLog(id),
                        otherLog.shouldLog(id),
                        "both logs must choose alike: " + id);
                sampled += log.shouldLog(id) ? 1 : 0;
            }
            assertTrue(
                    sampled > 0.2 * REQUESTS && sampled < 0.3 * REQUESTS,
                    "sampled " + sampled + " of " + REQUESTS);
        }
    }

    @Test
    void requestsWithoutIdAreSampledAtTheConfiguredFraction() throws IOException {
        try (FileAccessLog log = openLog(directory.resolve("a"), 0.25)) {
            int sampled = 0;
            for (int i = 0; i < REQUESTS; i++) {
                sampled += log.shouldLog("") ? 1 : 0;
            }
            assertTrue(
                    sampled > 0.2 * REQUESTS && sampled < 0.3 * REQUESTS,
                    "sampled " + sampled + " of " + REQUESTS);
        }
    }

    @Test
    void everyRequestIsLoggedAtFractionOne() throws IOException {
        try (FileAccessLog log = openLog(directory.resolve("a"), 1)) {
            assertTrue(log.shouldLog(""));
            assertTrue(log.shouldLog("request-1"));
        }
    }
}
