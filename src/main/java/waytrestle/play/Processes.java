package waytrestle.play;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Starts controllers as processes of this same program. */
public final class Processes implements Play.Starter {
    private final Path dir;
    private final String policy;
    private final boolean quickStart;
    private String classes = System.getProperty("java.class.path");

    public Processes(Path dir, String policy) {
        this(dir, policy, true);
    }

    /**
     * Starts another build's jar instead of this program: for figures before and after, side by
     * side.
     */
    public Processes from(Path jar) {
        classes = jar.toAbsolutePath().toString();
        return this;
    }

    /**
     * A quick start compiles less well: right for plays, which restart controllers, wrong for
     * measuring.
     */
    public Processes(Path dir, String policy, boolean quickStart) {
        this.quickStart = quickStart;
        this.dir = dir;
        this.policy = policy;
    }

    @Override
    public Play.Running start(int number, Path config) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        List<String> options =
                quickStart
                        ? List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx512m")
                        : List.of(
                                "-XX:+UseG1GC",
                                "-XX:MaxGCPauseMillis=10",
                                "-Xms1g",
                                "-Xmx1g"); // as bin/waytrestle serve
        List<String> line = new ArrayList<>(List.of(java));
        line.addAll(options);
        line.addAll(
                List.of(
                        "-cp",
                        classes,
                        "waytrestle.Main",
                        "serve",
                        "--config",
                        config.toString(),
                        "--policy",
                        policy));
        Process process =
                new ProcessBuilder(line)
                        .redirectErrorStream(true)
                        .redirectOutput(
                                ProcessBuilder.Redirect.appendTo(
                                        dir.resolve("gateway-" + number + ".log").toFile()))
                        .start();
        Thread atExit =
                new Thread(process::destroyForcibly); // a play that is interrupted leaves nothing
        // behind
        Runtime.getRuntime().addShutdownHook(atExit);
        return new Play.Running() {
            @Override
            public void kill() {
                process.destroyForcibly();
            }

            @Override
            public boolean alive() {
                return process.isAlive();
            }

            @Override
            public void stop() {
                process.destroy();
            }
        };
    }
}
