package waytrestle.platform;

import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import waytrestle.config.platform.PlatformConfig;
import waytrestle.net.Loop;

/**
 * Reads a new configuration and applies it.
 *
 * <p>A file that cannot be read changes nothing and is read again a few times, for it may be half
 * written. The file is read on the calling thread, which may be any, so that the event loop never
 * blocks; everything after that happens on the event loop.
 */
final class ConfigurationReloader {
    /**
     * Reads of a file that is not complete yet: with the pause between them two seconds, half of
     * the time in which a new configuration must be obeyed.
     */
    private static final int MAX_READ_ATTEMPTS = 10;

    private static final long READ_RETRY_DELAY_MILLIS = 200;

    private final Loop loop;
    private final PlatformLog log;
    private final Consumer<PlatformConfig> configurationListener;

    /** Number of the last reload that was requested; any thread increments it. */
    private final AtomicLong lastRequested = new AtomicLong();

    /** Number of the reload that is in force; owned by the event loop. */
    private long lastApplied;

    /** The receiver gets each configuration that comes into force, on the event loop. */
    ConfigurationReloader(Loop loop, PlatformLog log, Consumer<PlatformConfig> receiver) {
        this.loop = loop;
        this.log = log;
        this.configurationListener = receiver;
    }

    /**
     * Reads the file and hands it to the event loop; blocks between attempts. May be called from
     * any thread. Of two concurrent reloads the one requested last is in force, whichever ends
     * last.
     */
    void reload(Path file) {
        long number = lastRequested.incrementAndGet();
        for (int attempt = 0; attempt < MAX_READ_ATTEMPTS; attempt++) {
            if (tryRead(number, file)) {
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

    private boolean tryRead(long number, Path file) {
        try {
            PlatformConfig config = PlatformConfig.read(file);
            loop.execute(() -> apply(number, config));
            return true;
        } catch (PlatformConfig.InvalidConfigException e) {
            String line = new LogLine("config.rejected").with("error", e.getMessage()).toString();
            loop.execute(() -> log.logMessage(line));
            return false;
        }
    }

    private void apply(long number, PlatformConfig config) {
        if (number < lastApplied) {
            return;
        }
        lastApplied = number;
        log.logMessage(
                new LogLine("config.reloaded")
                        .with("watch_address", config.watchServerAddress())
                        .toString());
        configurationListener.accept(config);
    }
}
