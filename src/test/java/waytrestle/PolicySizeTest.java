package waytrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.tomlj.Toml;
import org.tomlj.TomlArray;

/** Each module of the decisions must stay short and narrow enough to be read in one sitting. */
class PolicySizeTest {
    private static final int MAX_LINES_PER_FILE = 250;
    private static final int MAX_FILES = 20;
    private static final int MAX_WIDTH = 110;
    private static final Path SCHEDULER = Path.of("src/main/java/waytrestle/scheduler");

    private static List<Path> policyFiles() throws Exception {
        TomlArray listed = Toml.parse(Path.of("deploy/balancer.toml")).getArray("policy");
        List<Path> files = new ArrayList<>();
        for (int i = 0; i < listed.size(); i++) {
            files.add(Path.of(listed.getString(i)));
        }
        return files;
    }

    @Test
    void eachPolicyFileStaysShortAndNarrowAndTheyStayFew() throws Exception {
        List<Path> files = policyFiles();
        assertTrue(files.size() > 5 && files.size() <= MAX_FILES, files::toString);
        for (Path file : files) {
            List<String> lines = Files.readAllLines(file);
            long filled = lines.stream().filter(line -> !line.isBlank()).count();
            assertTrue(filled <= MAX_LINES_PER_FILE, file + " has non-blank lines: " + filled);
            lines.forEach(line -> assertTrue(line.length() <= MAX_WIDTH, "too wide: " + line));
        }
    }

    @Test
    void everyTunedNumberOfTheSchedulerStandsInAPolicyFile() throws Exception {
        List<Path> policy = policyFiles();
        List<String> elsewhere = new ArrayList<>();
        try (var files = Files.list(SCHEDULER)) {
            for (Path file : files.filter(each -> !policy.contains(each)).toList()) {
                for (String line : Files.readAllLines(file)) {
                    if (line.matches(".*static final (int|long|double) \\w+ = [0-9._]+;.*")) {
                        elsewhere.add(file.getFileName() + ": " + line.trim());
                    }
                }
            }
        }
        assertEquals(List.of(), elsewhere);
    }
}
