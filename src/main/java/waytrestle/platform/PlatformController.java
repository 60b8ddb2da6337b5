package waytrestle.platform;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.function.LongSupplier;
import waytrestle.config.platform.PlatformConfig;
import waytrestle.net.Loop;
import waytrestle.net.LoopWatchdog;

/**
 * A running controller on the platform: one event loop with a front end, connections to invokers, a
 * watch client and gossip.
 *
 * <p>Thread-safe: every method may be called from any thread, but {@link #reload} and {@link #join}
 * block. Whatever changes or reads the controller's state runs on its event loop.
 */
public final class PlatformController {
    /** Exit code of the process after a failure of the event loop. */
    private static final int LOOP_FAILED_EXIT_CODE = 3;

    private final Loop loop;
    private final PlatformComponents components;
    private final ConfigurationReloader reloader;
    private final GracefulShutdown shutdown;
    private final PlatformLog log;

    PlatformController(Loop loop, PlatformComponents components, PlatformLog log) {
        this.loop = loop;
        this.components = components;
        this.log = log;
        this.reloader = new ConfigurationReloader(loop, log, this::applyConfiguration);
        this.shutdown =
                new GracefulShutdown(
                        loop, components.frontEnd(), components.server(), components.controller());
    }

    /**
     * Starts a controller with its own event loop.
     *
     * @param wallMillis returns the wall-clock time in Unix milliseconds
     * @param log receives the log lines
     * @throws IOException if a socket cannot be opened or an address of the configuration cannot be
     *     bound
     */
    public static PlatformController start(
            PlatformConfig config, LongSupplier wallMillis, PrintStream log) throws IOException {
        return new ControllerBootstrap(config, wallMillis, new PlatformLog(log, wallMillis))
                .start();
    }

    /**
     * Starts a watchdog that logs stalls of the event loop, and ends the process when a stall lasts
     * so long that the watchdog gives the event loop up.
     *
     * @param endProcess ends the process at once with the exit code that it is given; called on the
     *     watchdog's thread
     */
    void startWatchdog(IntConsumer endProcess) {
        LoopWatchdog.StallListener listener =
                new LoopWatchdog.StallListener() {
                    @Override
                    public void stalled(StackTraceElement[] stack) {
                        log.loopStalled(stack);
                    }

                    @Override
                    public void recovered() {
                        log.loopRecovered();
                    }

                    @Override
                    public void givenUp() {
                        log.loopGivenUp();
                        endProcess.accept(LoopWatchdog.EXIT_CODE);
                    }
                };
        new LoopWatchdog(loop, listener).start();
    }

    /**
     * Runs the controller that the environment's configuration describes, until a signal ends it.
     */
    public static void main(String[] args) throws InterruptedException {
        PlatformProcess.run(args);
    }

    /**
     * Reads a new configuration on the calling thread, which blocks while failed reads are retried,
     * and applies it on the event loop.
     */
    void reload(Path file) {
        reloader.reload(file);
    }

    /** Starts a graceful shutdown and returns at once. */
    void stop() {
        shutdown.start();
    }

    /** Returns the port that the front end listens on. */
    int port() {
        return components.server().port();
    }

    /** Passes the sizes of all tables to the receiver, on the event loop; returns at once. */
    void tableSizes(Consumer<TableSizes> receiver) {
        loop.execute(() -> receiver.accept(TableSizes.of(components, loop)));
    }

    /**
     * Waits for the event loop to end.
     *
     * @param timeoutMillis longest wait; 0 waits without limit
     * @return the exit code for the process: 0, or 3 if the event loop has failed
     */
    int join(long timeoutMillis) throws InterruptedException {
        loop.join(timeoutMillis);
        return loop.failed() ? LOOP_FAILED_EXIT_CODE : 0;
    }

    /**
     * Applies the addresses of the watch server and of the other controllers; all other settings
     * need a restart.
     */
    private void applyConfiguration(PlatformConfig config) {
        components.watchClient().addressChanged(config.watchServerAddress());
        if (components.gossip() != null) {
            components.gossip().updatePeers(config.peerAddresses(), config.allPeersAddress());
        }
    }
}
