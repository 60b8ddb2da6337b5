package waytrestle.access;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.SplittableRandom;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Appends lines to a file from a thread of its own. The loop never waits for the disk: what the
 * bounded queue does not take is left out and counted. The file is opened anew on request, for
 * whoever rotates it.
 */
public final class FileAccessLog implements AccessLog, AutoCloseable {
    /**
     * An empty file name is no log; a share below 1 takes calls by their id, the same at every
     * controller.
     */
    public record Settings(String file, double share, int queue) {}

    private static final byte[] REOPEN = {}, END = {};
    private static final long IDLE =
            500; // ms without a line after which what is buffered is written

    private final Path file;
    private final double share;
    private final ArrayBlockingQueue<byte[]> queue;
    private final AtomicLong written = new AtomicLong(), dropped = new AtomicLong();
    private final SplittableRandom random;
    private final Consumer<IOException> failed;
    private final Thread thread;
    private OutputStream out;

    public FileAccessLog(Settings settings, long seed, Consumer<IOException> failed)
            throws IOException {
        this.file = Path.of(settings.file());
        this.share = settings.share();
        this.queue = new ArrayBlockingQueue<>(settings.queue());
        this.random = new SplittableRandom(seed);
        this.failed = failed;
        this.out = open();
        this.thread = new Thread(this::run, "access-log");
        thread.setDaemon(true);
        thread.start();
    }

    private OutputStream open() throws IOException {
        return new BufferedOutputStream(
                Files.newOutputStream(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND),
                1 << 16);
    }

    /**
     * By the id where there is one: attempts of one call at several controllers are then all noted
     * or none.
     */
    @Override
    public boolean takes(String id) {
        return share >= 1 || (id.isEmpty() ? random.nextDouble() : place(id)) < share;
    }

    private static double place(String id) {
        long x = id.hashCode() * 0x9E3779B97F4A7C15L;
        return (((x ^ x >>> 32) * 0xD6E8FEB86659FD93L) >>> 11) * 0x1.0p-53;
    }

    @Override
    public void write(AccessLine line) {
        if (!queue.offer(line.bytes())) {
            dropped.incrementAndGet();
        }
    }

    public long written() {
        return written.get();
    }

    public long dropped() {
        return dropped.get();
    }

    /** Closes the file after what was written so far and opens it by its name again. */
    public void reopen() {
        queue.offer(REOPEN);
    }

    private void run() {
        boolean open = true;
        while (open) {
            try {
                byte[] line = queue.poll(IDLE, TimeUnit.MILLISECONDS);
                if (line == null) {
                    out.flush();
                } else if (line == REOPEN || line == END) {
                    out.close();
                    open = line == REOPEN;
                    if (open) {
                        out = open();
                    }
                } else {
                    out.write(line);
                    written.incrementAndGet();
                }
            } catch (IOException e) { // a full disk: lines are lost and counted, calls go on
                dropped.incrementAndGet();
                failed.accept(e);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Writes what is queued and closes the file. */
    @Override
    public void close() {
        try {
            queue.offer(END, 1, TimeUnit.SECONDS);
            thread.join(2_000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
