package waytrestle.platform;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import waytrestle.config.platform.PlatformConfig;
import waytrestle.runtime.ProcessSignals;

/**
 * Runs one controller as a process: reads the environment, handles signals and sets the exit code.
 *
 * <p>Runs on the main thread, which starts the controller and then only waits for its event loop.
 * Signal handlers run on threads of the Java runtime.
 */
final class PlatformProcess {
    /**
     * Event of the log line that tells that the process was started with SIGHUP ignored, so that no
     * new configuration will be read.
     */
    static final String SIGNAL_IGNORED_EVENT = "signal.ignored";

    private static final String CONFIG_VARIABLE = "BALANCER_CONFIG";

    /** Exit code after wrong usage, or if the controller cannot be started. */
    private static final int START_FAILED_EXIT_CODE = 2;

    /** Time limit of {@link PlatformController#join} for a wait without limit. */
    private static final long NO_TIME_LIMIT_MILLIS = 0;

    private PlatformProcess() {}

    /** Runs the controller until a signal ends it, then ends the process. */
    static void run(String[] args) throws InterruptedException {
        String configurationPath = System.getenv(CONFIG_VARIABLE);
        if (args.length != 1 || configurationPath == null || configurationPath.isEmpty()) {
            exitWith(
                    "usage: java -jar waytrestle.jar platform, with "
                            + CONFIG_VARIABLE
                            + " set to the path of its configuration file");
        }
        Path configurationFile = Path.of(configurationPath);
        // A signal may arrive before the controller has started: its handler then waits for the
        // start.
        CompletableFuture<PlatformController> startedController = new CompletableFuture<>();
        handleSignals(configurationFile, startedController);
        PlatformController controller = start(configurationFile);
        startedController.complete(controller);
        controller.startWatchdog(Runtime.getRuntime()::halt);
        Runtime.getRuntime().halt(controller.join(NO_TIME_LIMIT_MILLIS));
    }

    private static void handleSignals(
            Path configurationFile, CompletableFuture<PlatformController> startedController) {
        boolean receivesReloadSignal =
                ProcessSignals.handle(
                        ProcessSignals.RELOAD,
                        () -> startedController.join().reload(configurationFile));
        if (!receivesReloadSignal) {
            System.err.println(
                    new LogLine(SIGNAL_IGNORED_EVENT)
                            .with("signal", "HUP")
                            .with("effect", "no new configuration will be read"));
        }
        ProcessSignals.handle(ProcessSignals.SHUTDOWN, () -> startedController.join().stop());
    }

    private static PlatformController start(Path configurationFile) {
        try {
            PlatformConfig config = PlatformConfig.read(configurationFile);
            return PlatformController.start(config, System::currentTimeMillis, System.err);
        } catch (PlatformConfig.InvalidConfigException | IOException e) {
            exitWith("waytrestle: " + e.getMessage());
            throw new IllegalStateException("the process has exited", e);
        }
    }

    private static void exitWith(String message) {
        System.err.println(message);
        System.exit(START_FAILED_EXIT_CODE);
    }
}
