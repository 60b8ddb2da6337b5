package waytrestle.play;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Starts controllers as processes of this same program. */
public final class Processes implements Play.Starter {
    private final Path dir;
    private final String policy;

    public Processes(Path dir, String policy) {
        this.dir = dir;
        this.policy = policy;
    }

    @Override
    public Play.Running start(int number, Path config) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Process process = new ProcessBuilder(List.of(java, "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx512m",
                "-cp", System.getProperty("java.class.path"), "waytrestle.Main", "serve", "--config",
                config.toString(), "--policy", policy))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(dir.resolve("gateway-" + number + ".log").toFile()))
                .start();
        Thread atExit = new Thread(process::destroyForcibly);  // a play that is interrupted leaves nothing behind
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
