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
 * Appends lines to a file from a thread of its own. The caller never waits for the disk: lines that
 * the bounded queue has no capacity for are dropped and counted. The file can be reopened by its
 * name, for log rotation.
 *
 * <p>{@link #shouldLog} and {@link #write} are used by the controller's event loop alone; the
 * counters, {@link #reopen} and {@link #close} may be used from any thread.
 */
public final class FileAccessLog implements AccessLog, AutoCloseable {
    /**
     * Settings of the access log.
     *
     * @param file name of the file; empty for no log
     * @param sampledFraction fraction of requests that is logged; below 1 they are chosen by their
     *     id, alike at every controller
     * @param queueLines lines that may wait for the disk
     */
    public record Settings(String file, double sampledFraction, int queueLines) {}

    /** What the writer thread is asked to do. */
    private sealed interface Command {}

    private record Append(byte[] line) implements Command {}

    private record Reopen() implements Command {}

    private record Close() implements Command {}

    /** Without a line for this long, what is buffered is written: readers need not wait longer. */
    private static final long IDLE_FLUSH_MILLIS = 500;

    /** Few writes to the disk even with many short lines. */
    private static final int FILE_BUFFER_BYTES = 1 << 16;

    /** A full queue on a disk that hangs must not hold up the shutdown. */
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

    /** Used by the writer thread alone, once that has started. */
    private OutputStream out;

    /**
     * Opens the file and starts the writer thread.
     *
     * @param seed of the choice among requests without an id
     * @param failureListener notified of failed writes, on the writer thread
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
     * Chooses by the id where there is one: the parts of one request at several controllers are
     * then all logged or none.
     */
    @Override
    public boolean shouldLog(String id) {
        if (sampledFraction >= 1) {
            return true;
        }
        double position = id.isEmpty() ? random.nextDouble() : samplePosition(id);
        return position < sampledFraction;
    }

    /** Maps an id to a number in [0, 1), evenly over many ids. */
    private static double samplePosition(String id) {
        long mixed = id.hashCode() * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ mixed >>> 32) * 0xD6E8FEB86659FD93L;
        long upper53Bits = mixed >>> 11;
        return upper53Bits * 0x1.0p-53;
    }

    @Override
    public void write(AccessLine line) {
        if (!queue.offer(new Append(AccessLineJson.encode(line)))) {
            dropped.incrementAndGet();
        }
    }

    /** Lines handed to the file since the start. */
    public long writtenLines() {
        return written.get();
    }

    /** Lines lost since the start because the queue was full or the disk failed. */
    public long droppedLines() {
        return dropped.get();
    }

    /** Closes the file after the lines queued so far and opens it by its name again. */
    public void reopen() {
        queue.offer(new Reopen());
    }

    private void runWriter() {
        boolean running = true;
        while (running) {
            try {
                running = executeNext();
            } catch (IOException e) { // for instance a full disk: lines are lost, requests go on
                dropped.incrementAndGet();
                failureListener.accept(e);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Returns whether the writer goes on. */
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

    /** Writes what is queued and closes the file. */
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
