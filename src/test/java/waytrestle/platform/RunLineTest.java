package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.platform.PlatformFixture.awaitCondition;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.tomlj.Toml;

/** The deploy file's run line, with the classes under test in place of the jar. */
class RunLineTest {
    private static final long EXIT_SECONDS = 15;

    @Test
    void aReloadSignalIsObeyedAlsoWhenTheParentProcessIgnoresIt() throws Exception {
        String runLine = runLine();
        assertTrue(runLine.startsWith("exec "), runLine);
        assertTrue(runLine.contains("waytrestle.Main platform"), runLine);
        try (PlatformFixture fixture = new PlatformFixture();
                WatchServer moved = new WatchServer()) {
            fixture.writeConfiguration(fixture.watchServer);
            Path log = Files.createTempFile("platform", ".log");
            Process controller = startIgnoringReloadSignal(runLine, fixture.configurationFile, log);
            try {
                awaitCondition(
                        () -> fixture.watchServer.requests().contains("watch 1"),
                        "it never followed its watch server");
                assertEquals(0, controller.children().count(), "one process, by exec");
                fixture.writeConfiguration(moved);
                assertEquals(0, sendSignal("-HUP", controller));
                awaitCondition(() -> moved.requests().contains("watch 1"), "HUP was not handled");
                assertEquals(0, sendSignal("-TERM", controller));
                assertTrue(
                        controller.waitFor(EXIT_SECONDS, TimeUnit.SECONDS), "TERM was not handled");
                assertEquals(0, controller.exitValue());
                String logged = Files.readString(log, StandardCharsets.UTF_8);
                assertFalse(logged.contains(PlatformProcess.SIGNAL_IGNORED_EVENT), logged);
            } finally {
                controller.destroyForcibly();
                Files.delete(log);
            }
        }
    }

    private static String runLine() throws Exception {
        String testClasses = "-cp '" + System.getProperty("java.class.path") + "' waytrestle.Main";
        return Toml.parse(Path.of("deploy/balancer.toml"))
                .getString("run")
                .replace("-jar target/waytrestle.jar", testClasses);
    }

    private static Process startIgnoringReloadSignal(String runLine, Path configuration, Path log)
            throws Exception {
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", "trap '' HUP; " + runLine)
                        .redirectErrorStream(true)
                        .redirectOutput(log.toFile());
        builder.environment().put("BALANCER_CONFIG", configuration.toString());
        return builder.start();
    }

    private static int sendSignal(String signal, Process process) throws Exception {
        return new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
    }
}
