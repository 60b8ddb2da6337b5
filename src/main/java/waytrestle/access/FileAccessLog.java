package waytrestle.access;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.SplittableRandom;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Appends lines to a file from its own writer thread. The caller never waits for the disk: lines
 * are queued, and lines that do not fit into the bounded queue are dropped and counted. The file
 * can be reopened by its name, for log rotation.
 *
 * <p>{@link #shouldLog} and {@link #write} are used only by the controller's event loop; the
 * counters, {@link #reopen} and {@link #close} may be used from any thread.
 */
public final class FileAccessLog implements AccessLog, AutoCloseable {
    /**
     * Settings of the access log.
     *
     * @param file name of the file; empty for no access log
     * @param sampledFraction fraction of requests that is logged, from 0 to 1; below 1, requests
     *     with an id are chosen by the id, and so alike at every controller
     * @param queueLines number of lines that may wait for the writer thread
     */
    public record Settings(String file, double sampledFraction, int queueLines) {}

    /** A command to the writer thread. */
    private sealed interface Command {}

    private record Append(byte[] line) implements Command {}

    private record Reopen() implements Command {}

    private record Close() implements Command {}

    /** Time without a new line after which buffered lines are written, so that readers see them. */
    private static final long IDLE_FLUSH_MILLIS = 500;

    /** Buffer that collects many short lines into one write to the disk. */
    private static final int FILE_BUFFER_BYTES = 1 << 16;

    /**
     * Longest wait at a shutdown for room in the queue: a full queue before a disk that hangs must
     * not hold up the shutdown.
     */
    private static final long CLOSE_ENQUEUE_SECONDS = 1;

    /** Longest wait at a shutdown for queued lines to be written. */
    private static final long CLOSE_JOIN_MILLIS = 2_000;

    private final Path file;
    private final double sampledFraction;
    private final BlockingQueue<Command> queue;
    private final AtomicLong written = new AtomicLong();
    private final AtomicLong dropped = new AtomicLong();
    private final SplittableRandom random;
    private final Consumer<IOException> failureListener;
    private final Thread writer;

    /** The open file; used only by the writer thread once that has started. */
    private OutputStream out;

    /**
     * Opens the file and starts the writer thread.
     *
     * @param seed seed of the random choice among requests without an id
     * @param failureListener notified of each failed write, on the writer thread
     * @throws IOException if the file cannot be opened
     */
    public FileAccessLog(Settings settings, long seed, Consumer<IOException> failureListener)
            throws IOException {
        this.file = Path.of(settings.file());
        this.sampledFraction = settings.sampledFraction();
        this.queue = new ArrayBlockingQueue<>(settings.queueLines());
        this.random = new SplittableRandom(seed);
        this.failureListener = failureListener;
        this.out = openFile();
        this.writer = new Thread(this::runWriter, "access-log");
        writer.setDaemon(true);
        writer.start();
    }

    private OutputStream openFile() throws IOException {
        OutputStream appending =
                Files.newOutputStream(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        return new BufferedOutputStream(appending, FILE_BUFFER_BYTES);
    }

    /**
     * Returns whether a request with the given id is logged. The choice depends on the id alone
     * where there is one, so that the lines of one request are logged at all controllers or at
     * none; it is random for a request without an id.
     */
    @Override
    public boolean shouldLog(String id) {
        if (sampledFraction >= 1) {
            return true;
        }
        double position = id.isEmpty() ? random.nextDouble() : samplePosition(id);
        return position < sampledFraction;
    }

    /** Maps an id to a number in [0, 1); the numbers of many ids are evenly distributed. */
    private static double samplePosition(String id) {
        long hash = id.hashCode() * 0x9E3779B97F4A7C15L;
        hash = (hash ^ hash >>> 32) * 0xD6E8FEB86659FD93L;
        long upper53Bits = hash >>> 11;
        return upper53Bits * 0x1.0p-53;
    }

    @Override
    public void write(AccessLine line) {
        if (!queue.offer(new Append(AccessLineJson.encode(line)))) {
            dropped.incrementAndGet();
        }
    }

    /**
     * Returns the number of lines handed to the file since the start; some may still be buffered.
     */
    public long writtenLines() {
        return written.get();
    }

    /**
     * Returns the number of lines dropped since the start because the queue was full, plus the
     * number of failed writes. A failed write counts once, however many buffered lines it loses.
     */
    public long droppedLines() {
        return dropped.get();
    }

    /**
     * Has the writer thread close the file after the lines queued so far and open it again by its
     * name. Has no effect if the queue is full.
     */
    public void reopen() {
        queue.offer(new Reopen());
    }

    private void runWriter() {
        boolean running = true;
        while (running) {
            try {
                running = executeNext();
            } catch (IOException e) { // e.g. a full disk: lines are lost, requests go on
                dropped.incrementAndGet();
                failureListener.accept(e);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Executes the next command; returns false once the file is closed for good. */
    private boolean executeNext() throws IOException, InterruptedException {
        Command command = queue.poll(IDLE_FLUSH_MILLIS, TimeUnit.MILLISECONDS);
        if (command == null) {
            out.flush();
        } else if (command instanceof Append append) {
            out.write(append.line());
            written.incrementAndGet();
        } else if (command instanceof Reopen) {
            out.close();
            out = openFile();
        } else if (command instanceof Close) {
            out.close();
            return false;
        }
        return true;
    }

    /**
     * Writes the queued lines and closes the file; gives up waiting for the writer thread after
     * {@link #CLOSE_ENQUEUE_SECONDS} and {@link #CLOSE_JOIN_MILLIS}.
     */
    @Override
    public void close() {
        try {
            queue.offer(new Close(), CLOSE_ENQUEUE_SECONDS, TimeUnit.SECONDS);
            writer.join(CLOSE_JOIN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
