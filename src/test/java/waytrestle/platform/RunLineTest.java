package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.tomlj.Toml;

/** The deploy file's run line, with the classes under test in place of the jar. */
class RunLineTest {
    @Test
    void aNewConfigurationIsReadAtHupAlsoWhenWhoeverStartedTheControllerIgnoresThatSignal()
            throws Exception {
        String run =
                Toml.parse(Path.of("deploy/balancer.toml"))
                        .getString("run")
                        .replace(
                                "-jar target/waytrestle.jar",
                                "-cp '"
                                        + System.getProperty("java.class.path")
                                        + "' waytrestle.Main");
        assertTrue(run.startsWith("exec ") && run.contains("waytrestle.Main platform"), run);
        try (PlatformFixture bed = new PlatformFixture();
                PlatformFixture.Board moved = bed.new Board()) {
            Files.writeString(bed.file, bed.json(bed.board));
            Path log = Files.createTempFile("platform", ".log");
            ProcessBuilder starting =
                    new ProcessBuilder("/bin/sh", "-c", "trap '' HUP; " + run)
                            .redirectErrorStream(true)
                            .redirectOutput(log.toFile());
            starting.environment().put("BALANCER_CONFIG", bed.file.toString());
            Process controller = starting.start();
            try {
                PlatformFixture.until(
                        () -> bed.board.asked.contains("watch 1"),
                        "it never followed its notice board");
                assertEquals(0, controller.children().count(), "one process, by exec");
                Files.writeString(bed.file, bed.json(moved));
                assertEquals(
                        0,
                        new ProcessBuilder("kill", "-HUP", "" + controller.pid())
                                .start()
                                .waitFor());
                PlatformFixture.until(() -> moved.asked.contains("watch 1"), "HUP was not heard");
                assertEquals(
                        0,
                        new ProcessBuilder("kill", "-TERM", "" + controller.pid())
                                .start()
                                .waitFor());
                assertTrue(controller.waitFor(15, TimeUnit.SECONDS), "TERM was not heard");
                assertEquals(0, controller.exitValue());
                assertFalse(Files.readString(log, StandardCharsets.UTF_8).contains("is ignored"));
            } finally {
                controller.destroyForcibly();
                Files.delete(log);
            }
        }
    }
}
