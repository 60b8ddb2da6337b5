package waytrestle.platform;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import waytrestle.config.platform.PlatformConfig;
import waytrestle.runtime.ProcessSignals;

/**
 * The process of one controller: its environment, signals and exit code.
 *
 * <p>Runs on the main thread, which only waits for the event loop; signal handlers run on threads
 * of the runtime.
 */
final class PlatformProcess {
    /** Event of the log line that says that no new configuration will be read. */
    static final String SIGNAL_IGNORED_EVENT = "signal.ignored";

    private static final String CONFIG_VARIABLE = "BALANCER_CONFIG";
    private static final int USAGE_EXIT_CODE = 2;

    /** Waits for the event loop without limit. */
    private static final long NO_TIME_LIMIT = 0;

    private PlatformProcess() {}

    /** Runs the controller until a signal ends it, then ends the process. */
    static void run(String[] args) throws InterruptedException {
        String file = System.getenv(CONFIG_VARIABLE);
        if (args.length != 1 || file == null || file.isEmpty()) {
            exitWith(
                    "usage: java -jar waytrestle.jar platform, with "
                            + CONFIG_VARIABLE
                            + " naming its configuration");
        }
        Path path = Path.of(file);
        // A signal may come before the controller has started: its handler waits for that.
        CompletableFuture<PlatformController> started = new CompletableFuture<>();
        handleSignals(path, started);
        PlatformController controller = start(path);
        started.complete(controller);
        controller.startWatchdog(Runtime.getRuntime()::halt);
        Runtime.getRuntime().halt(controller.join(NO_TIME_LIMIT));
    }

    private static void handleSignals(Path file, CompletableFuture<PlatformController> started) {
        boolean reloads =
                ProcessSignals.handle(ProcessSignals.RELOAD, () -> started.join().reload(file));
        if (!reloads) {
            System.err.println(
                    new LogLine(SIGNAL_IGNORED_EVENT)
                            .with("signal", "HUP")
                            .with("effect", "no new configuration will be read"));
        }
        ProcessSignals.handle(ProcessSignals.SHUTDOWN, () -> started.join().stop());
    }

    private static PlatformController start(Path file) {
        try {
            PlatformConfig config = PlatformConfig.read(file);
            return PlatformController.start(config, System::currentTimeMillis, System.err);
        } catch (PlatformConfig.InvalidConfigException | IOException e) {
            exitWith("waytrestle: " + e.getMessage());
            throw new IllegalStateException("the process has exited", e);
        }
    }

    private static void exitWith(String message) {
        System.err.println(message);
        System.exit(USAGE_EXIT_CODE);
    }
}
