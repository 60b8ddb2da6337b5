package waytrestle.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command line: what it prints and the codes it ends by. */
class CliTest {
    @TempDir private Path dir;
    private final StringWriter out = new StringWriter(), err = new StringWriter();

    private int run(String... args) {
        return Cli.run(args, new PrintWriter(out, true), new PrintWriter(err, true));
    }

    @Test
    void aConfigurationIsCheckedWithoutStartingAnything() throws Exception {
        assertEquals(0, run("check-config", "deploy/gateway.example.toml"));
        assertTrue(
                out.toString().contains("3 classes, 2 endpoints, 1 functions: no fault"),
                out.toString());
        Path bad = dir.resolve("bad.toml");
        Files.writeString(
                bad,
                Files.readString(Path.of("deploy/gateway.example.toml"))
                        .replace("max_attempts = 6", "max_attempts = 0")
                        .replace("[stop]", "[stopp]"));
        assertEquals(2, run("check-config", bad.toString()));
        List<String> faults = err.toString().lines().toList();
        assertEquals(2, faults.size(), err.toString());
        assertTrue(
                faults.get(0)
                        .matches(
                                "bad.toml:\\d+: limits.max_attempts: must lie from 1 to 100, not"
                                        + " 0"),
                faults.get(0));
        assertTrue(
                faults.get(1).matches("bad.toml:\\d+: stopp: is unknown; known here: .*stop.*"),
                faults.get(1));
    }

    @Test
    void wrongUseEndsWithTwoAndAFaultWithThree() {
        assertEquals(2, run("serve"));
        assertTrue(err.toString().contains("--config"));
        assertEquals(2, run("nonsense"));
        assertEquals(2, run("check-config", dir.resolve("none.toml").toString()));
        assertTrue(err.toString().contains("none.toml: cannot be read"));
        assertEquals(2, run("audit", dir.toString()));
        assertEquals(0, run("--help"));
        assertTrue(out.toString().contains("emulate") && out.toString().contains("wirehost"));
    }

    @Test
    void aScenarioIsEmulatedAndJudgedAgainFromItsEvidence() throws Exception {
        Path day = dir.resolve("day.toml");
        Files.writeString(
                day,
                Files.readString(Path.of("deploy/scenarios/short-bad-day.toml"))
                        .replace("seconds = 24", "seconds = 5"));
        assertEquals(0, run("emulate", day.toString(), "--out", dir.resolve("out").toString()));
        assertTrue(out.toString().contains("rule 5 orders rationed    kept"), out.toString());
        out.getBuffer().setLength(0);
        assertEquals(0, run("audit", dir.resolve("out").toString()));
        Path evidence = dir.resolve("out").resolve("evidence.jsonl");
        String answer =
                Files.readAllLines(evidence).stream()
                        .filter(l -> l.contains("\"answer\""))
                        .findFirst()
                        .orElseThrow();
        Files.writeString(evidence, Files.readString(evidence) + "\n" + answer + "\n");
        assertEquals(
                1,
                run("audit", dir.resolve("out").toString()),
                "a second answer breaks the first rule");
        assertTrue(out.toString().contains("rule 1 one answer         BROKEN"));
        assertFalse(err.toString().contains("Exception"));
    }
}
