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
 * A running controller on the platform: one event loop with a front end, invoker connections, a
 * watch client and gossip.
 *
 * <p>Thread-safe: every method may be called from any thread. What changes or reads the
 * controller's state is handed to its event loop.
 */
public final class PlatformController {
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
     * Starts a controller on an event loop of its own.
     *
     * @param wallMillis the wall clock, in Unix milliseconds
     * @param log where log lines are written
     * @throws IOException when an address of the configuration cannot be bound
     */
    public static PlatformController start(
            PlatformConfig config, LongSupplier wallMillis, PrintStream log) throws IOException {
        return new ControllerBootstrap(config, wallMillis, new PlatformLog(log, wallMillis))
                .start();
    }

    /**
     * Watches the event loop from now on.
     *
     * @param endProcess ends the process at once, with this exit code, when the loop is stuck for
     *     good
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

    /** Runs the controller that the environment describes, until a signal ends it. */
    public static void main(String[] args) throws InterruptedException {
        PlatformProcess.run(args);
    }

    /**
     * Reads a new configuration on the calling thread, blocking while it is retried, and applies it
     * on the event loop. May be called from any thread.
     */
    void reload(Path file) {
        reloader.reload(file);
    }

    /** Starts a graceful shutdown and returns at once. May be called from any thread. */
    void stop() {
        shutdown.start();
    }

    /** The port that the front end listens at. May be called from any thread. */
    int port() {
        return components.server().port();
    }

    /**
     * Hands the sizes of all tables to the receiver, on the event loop. May be called from any
     * thread.
     */
    void tableSizes(Consumer<TableSizes> receiver) {
        loop.execute(() -> receiver.accept(measureTables()));
    }

    /**
     * Waits for the event loop to end, at most so long (0: without limit).
     *
     * @return the exit code of the process
     */
    int join(long millis) throws InterruptedException {
        loop.join(millis);
        return loop.failed() ? LOOP_FAILED_EXIT_CODE : 0;
    }

    private TableSizes measureTables() {
        return new TableSizes(
                components.controller().retainedEntries(),
                components.frontEnd().requestsInFlight(),
                components.addresses().size(),
                components.startTimes().size(),
                components.controller().invokerClientCount(),
                components.server().connections(),
                loop.timerCount());
    }

    /** The watch server and the peers may have moved; all other settings need a restart. */
    private void applyConfiguration(PlatformConfig config) {
        components.watchClient().addressChanged(config.watchServerAddress());
        if (components.gossip() != null) {
            components.gossip().updatePeers(config.peerAddresses(), config.allPeersAddress());
        }
    }
}
