package waytrestle.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * One selector and one thread: everything registered here runs on that thread, so nothing behind it
 * needs a lock. Nothing that runs here may block. Only {@link #execute} and {@link #stop} may be
 * called from elsewhere.
 */
public final class Loop implements Runnable {
    /** A task of the loop's own that may fail on a channel. */
    interface Task {
        void run() throws IOException;
    }

    private static final int READ_BUFFER =
            64 * 1024; // bytes: one read takes what a socket usually holds
    private static final int MAX_DELAYED_CLOSES =
            16; // descriptors: a crowd of broken connections must not use them up
    private static final long MAX_WAIT =
            1_000_000; // micros: a wake-up that the kernel refused is made up for then

    /** A loop behind by more looks again before it acts for a client. */
    static final long BEHIND_THRESHOLD_MICROS = 50_000;

    private static final int MAX_FURTHER_LOOKS =
            3; // a process that is stopped in each of them handles what it has found
    private static final long FAILED_SELECTION_PAUSE =
            5_000_000; // nanos between looks at all channels while the selector fails

    private final String name;
    private final Selector selector;
    private final TimerHeap timers = new TimerHeap();
    private final ConcurrentLinkedQueue<Runnable> handed = new ConcurrentLinkedQueue<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER);
    private final ByteBuffer oneByte = ByteBuffer.allocateDirect(1);
    private final Consumer<Throwable> broken;
    private final SystemFaults faults = new SystemFaults();
    private final List<Runnable> atEnd = new ArrayList<>();
    private boolean precise;
    private int delayedCloses;
    private volatile boolean running = true;
    private volatile boolean ended;
    private volatile boolean failed;
    private Thread thread;
    private final AtomicLong turns = new AtomicLong();
    private final SelectionClock selection = new SelectionClock(nowMicros());

    /** What a handler throws is given to {@code broken}; the loop itself goes on. */
    public Loop(String name, Consumer<Throwable> broken) throws IOException {
        this.name = name;
        this.broken = broken;
        this.selector = Selector.open();
    }

    /** Monotonic microseconds; never affected by a step of the wall clock. */
    public static long nowMicros() {
        return System.nanoTime() / 1_000;
    }

    /**
     * Polls through waits under a millisecond instead of rounding them up; costs a core, for
     * measuring alone.
     */
    public Loop busyPollShortWaits() {
        precise = true;
        return this;
    }

    /** Starts the thread. */
    public Loop start() {
        thread = new Thread(this, name);
        thread.start();
        return this;
    }

    /** Waits for the thread to end, at most so long (0: without limit). */
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
    public long previousSelectionMicros() {
        return selection.previousSelectionMicros();
    }

    /** When this turn's selection returned. */
    public long currentSelectionMicros() {
        return selection.currentSelectionMicros();
    }

    /**
     * Micros for which something may have lain in the kernel unseen, since the loop was busy
     * elsewhere.
     */
    public long unseenMicros() {
        return selection.unseenMicros(nowMicros());
    }

    /** Number of turns completed. May be called from any thread. */
    long completedTurns() {
        return turns.get();
    }

    /** Whether it runs no more. May be called from any thread. */
    boolean hasEnded() {
        return ended;
    }

    /** Where its thread is now. May be called from any thread, after the start. */
    StackTraceElement[] stackTrace() {
        return thread.getStackTrace();
    }

    /** Whether that is so long that what has come may forbid what is about to be done. */
    public boolean isBehind() {
        return unseenMicros() > BEHIND_THRESHOLD_MICROS;
    }

    /** Counts of the system calls that failed on this loop. */
    public SystemFaults faults() {
        return faults;
    }

    /** Runs a task on the loop soon, from any thread. */
    public void execute(Runnable task) {
        handed.add(task);
        if (!ended) {
            wakeUp();
        }
    }

    private void wakeUp() {
        try {
            selector.wakeup();
        } catch (InternalError e) {
            // The kernel refused it; the loop looks for itself within MAX_WAIT.
        }
    }

    /** Runs a task after the delay, on the loop; the returned timer can be cancelled there. */
    public TimerHeap.Timer after(long micros, Runnable task) {
        return timers.add(nowMicros() + Math.max(0, micros), task);
    }

    /** Number of timers that are not due yet. */
    public int timerCount() {
        return timers.liveCount();
    }

    /** Whether a further channel may be kept open beyond its use: there is a bound on them. */
    boolean mayDelayClose() {
        return delayedCloses < MAX_DELAYED_CLOSES;
    }

    /** Closes a channel after the delay. */
    void closeAfter(long micros, SelectableChannel channel) {
        delayedCloses++;
        after(
                micros,
                () -> {
                    delayedCloses--;
                    runGuarded(channel::close);
                });
    }

    /** Runs when the loop stops, on its thread. */
    public void addEndTask(Runnable task) {
        atEnd.add(task);
    }

    /**
     * Registers a channel, whose readiness its handler hears of from now on. May be called from any
     * thread.
     *
     * @throws IOException when the channel cannot be made non-blocking or is closed
     */
    public Registration register(
            SelectableChannel channel, int operations, Registration.Handler handler)
            throws IOException {
        configureNonBlocking(channel);
        Registration registration = new Registration(this, operations, handler);
        SelectionKey key = channel.register(selector, operations, registration);
        registration.attach(key, Thread.currentThread() == thread);
        return registration;
    }

    /** What fails for a moment is tried once more: an open channel must not be lost by it. */
    private void configureNonBlocking(SelectableChannel channel) throws IOException {
        try {
            channel.configureBlocking(false);
        } catch (ClosedChannelException e) {
            throw e;
        } catch (IOException e) {
            faults.count("channel.configure", "retried", e);
            channel.configureBlocking(false);
        }
    }

    /**
     * Room for one byte: a handler that looks at another connection still has the read buffer in
     * use.
     */
    ByteBuffer oneByteBuffer() {
        return oneByte.clear();
    }

    /**
     * The loop's one read buffer, empty; its contents must be used up before the handler returns.
     */
    ByteBuffer readBuffer() {
        return readBuffer.clear();
    }

    /** Ends the loop after its present turn. May be called from any thread. */
    public void stop() {
        running = false;
        if (!ended) {
            wakeUp();
        }
    }

    @Override
    public void run() {
        thread = Thread.currentThread();
        try {
            while (running) {
                turn();
                turns.lazySet(turns.get() + 1);
            }
        } catch (Error e) {
            failed = true;
            broken.accept(e);
        } finally {
            ended = true;
            atEnd.forEach(task -> runGuarded(task::run));
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

    private void turn() {
        boolean selected = selectOrPause();
        if (selected) {
            handleSelected();
        } else {
            assumeAllReady();
        }
        for (Runnable task = handed.poll(); task != null; task = handed.poll()) {
            runGuarded(task::run);
        }
        long now = nowMicros();
        for (Runnable due = timers.pollDue(now); due != null; due = timers.pollDue(now)) {
            runGuarded(due::run);
        }
    }

    /**
     * Waits until something is ready or due. A selector that fails ends nothing: whether it fails
     * for a moment or for good, all channels are looked at instead, after a pause.
     *
     * @return whether the selection worked
     */
    private boolean selectOrPause() {
        try {
            select();
            return true;
        } catch (IOException e) {
            faults.count("selector.select", "looked_at_all", e);
            LockSupport.parkNanos(FAILED_SELECTION_PAUSE);
            selection.selectionFailed(nowMicros());
            return false;
        }
    }

    private void select() throws IOException {
        long begin = nowMicros();
        long wait = Math.min(MAX_WAIT, timers.microsUntilNext(begin));
        if (!handed.isEmpty()) {
            wait = 0;
        }
        boolean atOnce = wait == 0 || (precise && wait < 1_500);
        boolean turnWasLong = selection.begin(begin);
        int found = atOnce || turnWasLong ? selector.selectNow() : 0;
        if (!atOnce && found == 0) {
            selection.expectWait(wait);
            selector.select(Math.max(1, (wait + 999) / 1_000));
        }
        boolean wasStopped = selection.end(nowMicros());
        for (int looks = 0; wasStopped && looks < MAX_FURTHER_LOOKS; looks++) {
            selector.selectNow();
            wasStopped = selection.end(nowMicros());
        }
    }

    private void handleSelected() {
        for (Iterator<SelectionKey> keys = selector.selectedKeys().iterator(); keys.hasNext(); ) {
            SelectionKey key = keys.next();
            keys.remove();
            if (key.isValid()) {
                int ready = key.readyOps();
                runGuarded(() -> ((Registration) key.attachment()).handleReported(ready));
            }
        }
    }

    private void assumeAllReady() {
        for (SelectionKey key : List.copyOf(selector.keys())) {
            runGuarded(((Registration) key.attachment())::assumeReady);
        }
    }

    /** Runs a task; what it throws ends nothing but the task. */
    void runGuarded(Task task) {
        try {
            task.run();
        } catch (IOException | RuntimeException | StackOverflowError e) {
            broken.accept(e);
        }
    }
}
