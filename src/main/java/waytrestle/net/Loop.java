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
 * An event loop: one selector and one thread, which runs the callbacks of the registered channels,
 * the due timers and the submitted tasks. State that only they use needs no lock, and none of them
 * may block. Times are monotonic microseconds of {@link #nowMicros}.
 *
 * <p>A turn of the loop is one selection, which waits until a channel is ready, a timer is due or a
 * task is submitted, and then the run of all that. Once the loop is started, a method may be called
 * on the loop's thread only, unless its comment allows any thread.
 */
public final class Loop implements Runnable {
    /** A task that may fail with an {@link IOException}. */
    interface Task {
        void run() throws IOException;
    }

    /** One read of this size takes all that a socket usually holds. */
    private static final int READ_BUFFER_BYTES = 64 * 1024;

    /**
     * Most broken connections whose close is delayed at a time. Each holds a file descriptor, and
     * many broken connections must not use up all descriptors.
     */
    private static final int MAX_DELAYED_CLOSES = 16;

    /** Longest wait of a selection: it bounds the delay when the kernel refuses a wake-up. */
    private static final long MAX_WAIT_MICROS = 1_000_000;

    /**
     * Input may have lain in the kernel unseen for up to this time. If it may have lain there for
     * longer, the channels are read again before a client's request is acted on.
     */
    static final long BEHIND_THRESHOLD_MICROS = 50_000;

    /**
     * Most selections that are repeated in one turn because the process was stopped (SIGSTOP, a
     * frozen container) during the one before. After the last, the turn handles what was found.
     */
    private static final int MAX_REPEATED_SELECTIONS = 3;

    /** A loop that busy-polls selects without waiting if the next timer is due in less. */
    private static final long BUSY_POLL_BELOW_WAIT_MICROS = 1_500;

    /** While the selector fails, all channels are assumed ready at this interval. */
    private static final long FAILED_SELECTION_PAUSE_NANOS = 5_000_000;

    private final String name;
    private final Selector selector;
    private final TimerHeap timers = new TimerHeap();
    private final ConcurrentLinkedQueue<Runnable> submittedTasks = new ConcurrentLinkedQueue<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    private final InputProbe inputProbe = new InputProbe();
    private final Consumer<Throwable> failureHandler;
    private final SystemFaults faults = new SystemFaults();
    private final List<Runnable> endTasks = new ArrayList<>();
    private boolean busyPollsShortWaits;
    private int delayedCloses;
    private volatile boolean running = true;
    private volatile boolean ended;
    private volatile boolean failed;
    private Thread thread;
    private final AtomicLong turns = new AtomicLong();
    private final SelectionClock selectionClock = new SelectionClock(nowMicros());

    /**
     * Creates a loop without starting its thread.
     *
     * @param name name of the loop's thread
     * @param failureHandler is given what a handler or task throws, on the loop's thread; only an
     *     {@link Error} other than {@link StackOverflowError} then ends the loop
     * @throws IOException when the system refuses a selector
     */
    public Loop(String name, Consumer<Throwable> failureHandler) throws IOException {
        this.name = name;
        this.failureHandler = failureHandler;
        this.selector = Selector.open();
    }

    /**
     * Returns monotonic microseconds since an arbitrary origin; a step of the wall clock does not
     * affect them. May be called from any thread.
     */
    public static long nowMicros() {
        return System.nanoTime() / 1_000;
    }

    /**
     * Makes the loop select again and again without waiting while the next timer is due within 1.5
     * ms, since a waiting selection rounds its wait up to whole milliseconds. Costs a processor
     * core; meant for measurements only. To be called before the start.
     */
    public Loop busyPollShortWaits() {
        busyPollsShortWaits = true;
        return this;
    }

    /** Starts the loop's thread. */
    public Loop start() {
        thread = new Thread(this, name);
        thread.start();
        return this;
    }

    /**
     * Waits for the loop's thread to end, at most for {@code millis}; 0 waits without a limit. May
     * be called from any other thread.
     */
    public void join(long millis) throws InterruptedException {
        thread.join(millis);
    }

    /**
     * Returns whether an {@link Error}, not {@link #stop}, has ended the loop. May be called from
     * any thread.
     */
    public boolean failed() {
        return failed;
    }

    /**
     * Returns when the selection before the present turn's returned. What the present turn finds
     * ready became ready after that time, so this is the earliest time at which it can have
     * arrived, also when the loop was slow, stalled or just started.
     */
    public long previousSelectionMicros() {
        return selectionClock.previousSelectionMicros();
    }

    /** Returns when the present turn's selection returned. */
    public long currentSelectionMicros() {
        return selectionClock.currentSelectionMicros();
    }

    /**
     * Returns for how many microseconds input may have lain in the kernel unseen, because the loop
     * was busy or the process was stopped.
     */
    public long unseenMicros() {
        return selectionClock.unseenMicros(nowMicros());
    }

    /** Returns the number of completed turns. May be called from any thread. */
    long completedTurns() {
        return turns.get();
    }

    /** Returns whether the loop runs no further turn. May be called from any thread. */
    boolean hasEnded() {
        return ended;
    }

    /**
     * Returns the present stack of the loop's thread. May be called from any thread, after the
     * start.
     */
    StackTraceElement[] stackTrace() {
        return thread.getStackTrace();
    }

    /**
     * Returns whether {@link #unseenMicros} is so long that input still in the kernel may forbid
     * what the caller is about to do, as in the news that a client has gone.
     */
    public boolean isBehind() {
        return unseenMicros() > BEHIND_THRESHOLD_MICROS;
    }

    /** Returns the counter of the system calls that failed on this loop. */
    public SystemFaults faults() {
        return faults;
    }

    /**
     * Submits a task to be run on the loop's thread as soon as possible. A task submitted to a loop
     * that has ended never runs. May be called from any thread.
     */
    public void execute(Runnable task) {
        submittedTasks.add(task);
        if (!ended) {
            wakeUp();
        }
    }

    private void wakeUp() {
        try {
            selector.wakeup();
        } catch (InternalError e) {
            // The kernel refused the wake-up; the selection returns within MAX_WAIT_MICROS anyway.
        }
    }

    /**
     * Schedules a task to run on the loop's thread after a delay in microseconds; a negative delay
     * counts as 0.
     *
     * @return the timer, which can be cancelled on the loop's thread
     */
    public TimerHeap.Timer after(long delayMicros, Runnable task) {
        return timers.add(nowMicros() + Math.max(0, delayMicros), task);
    }

    /** Returns the number of timers that have neither run nor been cancelled. */
    public int timerCount() {
        return timers.liveCount();
    }

    /** Returns whether fewer closes than the limit are delayed, so that one more may be. */
    boolean mayDelayClose() {
        return delayedCloses < MAX_DELAYED_CLOSES;
    }

    /** Closes a channel after a delay; to be called only if {@link #mayDelayClose} allows it. */
    void closeAfter(long delayMicros, SelectableChannel channel) {
        delayedCloses++;
        after(
                delayMicros,
                () -> {
                    delayedCloses--;
                    runGuarded(channel::close);
                });
    }

    /**
     * Adds a task to be run on the loop's thread when the loop ends, before its channels are
     * closed.
     */
    public void addEndTask(Runnable task) {
        endTasks.add(task);
    }

    /**
     * Registers a channel with the selector. From now on the handler is called when the channel is
     * ready for one of the operations. May be called from any thread.
     *
     * @param operations bits of {@link SelectionKey}
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

    /**
     * Sets a channel to non-blocking, with one more try after a failure: a momentary failure of the
     * system must not cost an open channel.
     */
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

    /** Returns what a handler looks at other input with while the read buffer holds its own. */
    InputProbe inputProbe() {
        return inputProbe;
    }

    /**
     * Returns the loop's only read buffer, cleared. Its contents must be consumed or copied before
     * the handler returns.
     */
    ByteBuffer readBuffer() {
        return readBuffer.clear();
    }

    /** Makes the loop end after its present turn. May be called from any thread. */
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
            failureHandler.accept(e);
        } finally {
            ended = true;
            endTasks.forEach(task -> runGuarded(task::run));
            for (SelectionKey key : selector.keys()) {
                try {
                    key.channel().close();
                } catch (IOException ignored) {
                    // The loop ends, so nothing uses the channel any more.
                }
            }
            try {
                selector.close();
            } catch (IOException e) {
                failureHandler.accept(e);
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
        for (Runnable task = submittedTasks.poll(); task != null; task = submittedTasks.poll()) {
            runGuarded(task::run);
        }
        long now = nowMicros();
        for (Runnable due = timers.pollDue(now); due != null; due = timers.pollDue(now)) {
            runGuarded(due::run);
        }
    }

    /**
     * Waits until a channel is ready, a timer is due or a task is submitted. If the selector fails,
     * whether for a moment or for good, the loop pauses and goes on; the caller then assumes all
     * channels ready.
     *
     * @return whether the selection succeeded
     */
    private boolean selectOrPause() {
        try {
            select();
            return true;
        } catch (IOException e) {
            faults.count("selector.select", "looked_at_all", e);
            LockSupport.parkNanos(FAILED_SELECTION_PAUSE_NANOS);
            selectionClock.selectionFailed(nowMicros());
            return false;
        }
    }

    private void select() throws IOException {
        long begin = nowMicros();
        long waitMicros = Math.min(MAX_WAIT_MICROS, timers.microsUntilNext(begin));
        if (!submittedTasks.isEmpty()) {
            waitMicros = 0;
        }
        boolean atOnce =
                waitMicros == 0
                        || (busyPollsShortWaits && waitMicros < BUSY_POLL_BELOW_WAIT_MICROS);
        boolean turnWasLong = selectionClock.begin(begin);
        int found = atOnce || turnWasLong ? selector.selectNow() : 0;
        if (!atOnce && found == 0) {
            selectionClock.expectWait(waitMicros);
            selector.select(Math.max(1, (waitMicros + 999) / 1_000)); // millis, rounded up
        }
        boolean wasStopped = selectionClock.end(nowMicros());
        for (int repeated = 0; wasStopped && repeated < MAX_REPEATED_SELECTIONS; repeated++) {
            selector.selectNow();
            wasStopped = selectionClock.end(nowMicros());
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

    /**
     * Runs a task and hands an exception or stack overflow that it throws to the failure handler.
     */
    void runGuarded(Task task) {
        try {
            task.run();
        } catch (IOException | RuntimeException | StackOverflowError e) {
            failureHandler.accept(e);
        }
    }
}
