package waytrestle.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;

/**
 * One selector and one thread: everything registered here runs on that thread, so nothing behind it
 * needs a lock. Nothing that runs here may block. Only {@link #execute} and {@link #stop} may be
 * called from elsewhere.
 */
public final class Loop implements Runnable {
    /** What a channel's readiness calls. */
    public interface Ready {
        void ready(SelectionKey key) throws IOException;
    }

    private static final int READ_BUFFER =
            64 * 1024; // bytes: one read takes what a socket usually holds
    private static final long LONG_TURN =
            10_000; // micros: what came during a shorter one counts as just come

    private final String name;
    private final Selector selector;
    private final TimerHeap timers = new TimerHeap();
    private final ConcurrentLinkedQueue<Runnable> handed = new ConcurrentLinkedQueue<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER);
    private final ByteBuffer oneByte = ByteBuffer.allocateDirect(1);
    private final Consumer<Throwable> broken;
    private final List<Runnable> atEnd = new ArrayList<>();
    private boolean precise;
    private volatile boolean running = true, ended, failed;
    private Thread thread;
    private long turnAt = now(), turnBefore = turnAt;
    private boolean waited; // in this turn's selection, so what it found had only just come

    /** What a handler throws is given to {@code broken}; the loop itself goes on. */
    public Loop(String name, Consumer<Throwable> broken) throws IOException {
        this.name = name;
        this.broken = broken;
        this.selector = Selector.open();
    }

    /** Monotonic microseconds; never affected by a step of the wall clock. */
    public static long now() {
        return System.nanoTime() / 1_000;
    }

    /**
     * Polls through waits under a millisecond instead of rounding them up; costs a core, for
     * measuring alone.
     */
    public Loop precise() {
        precise = true;
        return this;
    }

    public Loop start() {
        thread = new Thread(this, name);
        thread.start();
        return this;
    }

    public void join(long millis) throws InterruptedException {
        thread.join(millis);
    }

    /** The loop ended by itself, not by {@link #stop}. */
    public boolean failed() {
        return failed;
    }

    /**
     * When the selection before this turn's returned. What is found ready in this turn came after
     * that, so it is the earliest that it can have waited: a loop that was slow, stalled or just
     * started knows how long at most.
     */
    public long turnBefore() {
        return turnBefore;
    }

    /** When this turn's selection returned. */
    public long turnAt() {
        return turnAt;
    }

    /**
     * Micros for which something may have lain in the kernel unseen, since the loop was busy
     * elsewhere.
     */
    public long behind() {
        return now() - (waited ? turnAt : turnBefore);
    }

    /** Runs a task on the loop soon, from any thread. */
    public void execute(Runnable task) {
        handed.add(task);
        if (!ended) {
            selector.wakeup();
        }
    }

    /** Runs a task after the delay, on the loop; the returned timer can be cancelled there. */
    public TimerHeap.Timer after(long micros, Runnable task) {
        return timers.add(now() + Math.max(0, micros), task);
    }

    public int timers() {
        return timers.size();
    }

    /** Runs when the loop stops, on its thread. */
    public void atEnd(Runnable task) {
        atEnd.add(task);
    }

    public SelectionKey register(SelectableChannel channel, int ops, Ready ready)
            throws IOException {
        channel.configureBlocking(false);
        SelectionKey key = channel.register(selector, ops, ready);
        if (Thread.currentThread() != thread) {
            selector.wakeup(); // a selection under way would not see the new key
        }
        return key;
    }

    /**
     * Room for one byte: a handler that looks at another connection still has the read buffer in
     * use.
     */
    ByteBuffer oneByte() {
        return oneByte.clear();
    }

    /**
     * The loop's one read buffer, empty; its contents must be used up before the handler returns.
     */
    ByteBuffer readBuffer() {
        return readBuffer.clear();
    }

    public void stop() {
        running = false;
        if (!ended) {
            selector.wakeup();
        }
    }

    @Override
    public void run() {
        thread = Thread.currentThread();
        try {
            while (running) {
                turn();
            }
        } catch (IOException | Error e) {
            failed = true;
            broken.accept(e);
        } finally {
            ended = true;
            atEnd.forEach(this::guarded);
            for (SelectionKey key : selector.keys()) {
                try {
                    key.channel().close();
                } catch (IOException ignored) {
                    // closing at the end: there is nobody left to tell
                }
            }
            try {
                selector.close();
            } catch (IOException e) {
                broken.accept(e);
            }
        }
    }

    private void turn() throws IOException {
        long wait = timers.untilNext(now());
        if (!handed.isEmpty()) {
            wait = 0;
        }
        boolean atOnce = wait == 0 || (precise && wait < 1_500);
        // After a long turn a look tells what came during it from what comes during the wait.
        int found = atOnce || now() - turnAt > LONG_TURN ? selector.selectNow() : 0;
        waited = !atOnce && found == 0;
        if (waited) {
            selector.select(wait == Long.MAX_VALUE ? 0 : Math.max(1, (wait + 999) / 1_000));
        }
        turnBefore = turnAt;
        turnAt = now();
        for (Iterator<SelectionKey> keys = selector.selectedKeys().iterator(); keys.hasNext(); ) {
            SelectionKey key = keys.next();
            keys.remove();
            if (key.isValid()) {
                guarded(
                        () -> {
                            try {
                                ((Ready) key.attachment()).ready(key);
                            } catch (IOException e) {
                                throw new UncheckedIOException(e);
                            }
                        });
            }
        }
        for (Runnable task = handed.poll(); task != null; task = handed.poll()) {
            guarded(task);
        }
        long now = now();
        for (Runnable due = timers.due(now); due != null; due = timers.due(now)) {
            guarded(due);
        }
    }

    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | StackOverflowError e) {
            broken.accept(e);
        }
    }
}
