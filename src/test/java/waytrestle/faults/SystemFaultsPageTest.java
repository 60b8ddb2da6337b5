package waytrestle.faults;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Each row of the page on failures of system calls names tests that exist. */
class SystemFaultsPageTest {
    private static final Path PAGE = Path.of("docs/system-faults.md");
    private static final Path TESTS = Path.of("src/test/java");
    private static final String SECTION = "## What it proves and what is done";
    private static final int CELLS = 9;
    private static final int TEST_CELL = 7;

    @Test
    void everyRowHasATest() throws Exception {
        List<String> rows = rows();
        assertTrue(rows.size() > 10, rows.toString());
        for (String row : rows) {
            String[] cells = row.split("\\|", -1);
            assertEquals(CELLS, cells.length, row);
            for (String test : cells[TEST_CELL].split(",")) {
                assertExists(test.trim(), row);
            }
        }
    }

    private static List<String> rows() throws IOException {
        String page = Files.readString(PAGE);
        String section = page.substring(page.indexOf(SECTION) + SECTION.length());
        List<String> rows = new ArrayList<>();
        for (String line : section.substring(0, section.indexOf("\n## ")).split("\n")) {
            if (line.startsWith("| ")
                    && !line.startsWith("| ---")
                    && !line.startsWith("| call |")) {
                rows.add(line);
            }
        }
        return rows;
    }

    private static void assertExists(String test, String row) throws IOException {
        String[] parts = test.split("#");
        assertEquals(2, parts.length, row);
        try (Stream<Path> files = Files.walk(TESTS)) {
            Path file =
                    files.filter(each -> each.endsWith(parts[0] + ".java"))
                            .findFirst()
                            .orElseThrow(() -> new AssertionError(test + " in " + row));
            assertTrue(Files.readString(file).contains("void " + parts[1] + "("), row);
        }
    }
}
