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
    private static final int IDS = 10_000;

    @TempDir private Path directory;
    private final List<IOException> failures = new ArrayList<>();

    private FileAccessLog open(Path file, double sampledFraction) throws IOException {
        FileAccessLog.Settings settings =
                new FileAccessLog.Settings(file.toString(), sampledFraction, 64);
        return new FileAccessLog(settings, 1, failures::add);
    }

    private static AccessLine lineOf(String function) {
        return new AccessLine(0, "", "", "interactive", function, List.of(), "served", "", 7);
    }

    @Test
    void closingWritesWhatIsQueued() throws IOException {
        Path file = directory.resolve("access.jsonl");
        FileAccessLog log = open(file, 1);
        for (int i = 0; i < 20; i++) {
            log.write(lineOf("function-" + i));
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
    void anExistingFileIsAppendedTo() throws IOException {
        Path file = directory.resolve("access.jsonl");
        Files.writeString(file, "earlier\n");
        FileAccessLog log = open(file, 1);
        log.write(lineOf("resize"));
        log.close();
        List<String> lines = Files.readAllLines(file);
        assertEquals(2, lines.size());
        assertEquals("earlier", lines.get(0));
    }

    @Test
    void reopeningWritesFurtherLinesToANewFileOfTheName() throws IOException {
        Path file = directory.resolve("access.jsonl");
        Path rotated = directory.resolve("access.1");
        FileAccessLog log = open(file, 1);
        log.write(lineOf("before"));
        Files.move(file, rotated);
        log.reopen();
        log.write(lineOf("after"));
        log.close();
        assertTrue(Files.readString(rotated).contains("\"before\""));
        assertTrue(Files.readString(file).contains("\"after\""));
        assertEquals(2, log.writtenLines());
    }

    @Test
    void sampledRequestsAreChosenByTheirIdAtTheConfiguredRate() throws IOException {
        try (FileAccessLog log = open(directory.resolve("a"), 0.25);
                FileAccessLog other = open(directory.resolve("b"), 0.25)) {
            int sampled = 0;
            for (int i = 0; i < IDS; i++) {
                String id = "request-" + i;
                assertEquals(log.shouldLog(id), other.shouldLog(id), id);
                sampled += log.shouldLog(id) ? 1 : 0;
            }
            assertTrue(
                    sampled > 0.2 * IDS && sampled < 0.3 * IDS,
                    "sampled " + sampled + " of " + IDS);
        }
    }

    @Test
    void requestsWithoutAnIdAreSampledAtRandom() throws IOException {
        try (FileAccessLog log = open(directory.resolve("a"), 0.25)) {
            int sampled = 0;
            for (int i = 0; i < IDS; i++) {
                sampled += log.shouldLog("") ? 1 : 0;
            }
            assertTrue(
                    sampled > 0.2 * IDS && sampled < 0.3 * IDS,
                    "sampled " + sampled + " of " + IDS);
        }
    }

    @Test
    void everyRequestIsLoggedWithoutSampling() throws IOException {
        try (FileAccessLog log = open(directory.resolve("a"), 1)) {
            assertTrue(log.shouldLog(""));
            assertTrue(log.shouldLog("request-1"));
        }
    }
}
