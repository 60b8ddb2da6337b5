package waytrestle.platform;

import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import waytrestle.config.platform.PlatformConfig;
import waytrestle.net.Loop;

/**
 * Reads a new configuration file and passes the configuration to a listener.
 *
 * <p>A file that cannot be read or is malformed may be half written, so it is read again up to ten
 * times; if no attempt succeeds, the previous configuration stays in force. The file is read on the
 * thread that calls {@link #reload}, which may be any thread but the event loop's, since reading
 * blocks. The event loop writes the log lines and calls the listener.
 */
final class ConfigurationReloader {
    /**
     * Largest number of attempts to read one file. With the delay between attempts they take two
     * seconds, half of the time within which a new configuration must take effect.
     */
    private static final int MAX_READ_ATTEMPTS = 10;

    private static final long READ_RETRY_DELAY_MILLIS = 200;

    private final Loop loop;
    private final PlatformLog log;
    private final Consumer<PlatformConfig> configurationListener;

    /** Number of the latest reload request, counted from 1; incremented by any thread. */
    private final AtomicLong lastRequested = new AtomicLong();

    /**
     * Number of the reload request whose configuration is in force, 0 before the first reload;
     * owned by the event loop.
     */
    private long lastApplied;

    /**
     * Creates a reloader.
     *
     * @param configurationListener receives each configuration that comes into force, on the event
     *     loop
     */
    ConfigurationReloader(
            Loop loop, PlatformLog log, Consumer<PlatformConfig> configurationListener) {
        this.loop = loop;
        this.log = log;
        this.configurationListener = configurationListener;
    }

    /**
     * Reads the file and applies its configuration on the event loop. Blocks the calling thread for
     * up to two seconds while the file cannot be read. May be called from any thread but the event
     * loop's. Of two concurrent reloads, the configuration of the one that was requested last stays
     * in force, whichever completes last.
     */
    void reload(Path file) {
        long reloadNumber = lastRequested.incrementAndGet();
        for (int attempt = 0; attempt < MAX_READ_ATTEMPTS; attempt++) {
            if (tryRead(reloadNumber, file)) {
                return;
            }
            try {
                Thread.sleep(READ_RETRY_DELAY_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /** Returns whether the file could be read; logs the error if not. */
    private boolean tryRead(long reloadNumber, Path file) {
        try {
            PlatformConfig config = PlatformConfig.read(file);
            loop.execute(() -> apply(reloadNumber, config));
            return true;
        } catch (PlatformConfig.InvalidConfigException e) {
            String line = new LogLine("config.rejected").with("error", e.getMessage()).toString();
            loop.execute(() -> log.logMessage(line));
            return false;
        }
    }

    private void apply(long reloadNumber, PlatformConfig config) {
        if (reloadNumber < lastApplied) {
            return;
        }
        lastApplied = reloadNumber;
        log.logMessage(
                new LogLine("config.reloaded")
                        .with("watch_address", config.watchServerAddress())
                        .toString());
        configurationListener.accept(config);
    }
}
