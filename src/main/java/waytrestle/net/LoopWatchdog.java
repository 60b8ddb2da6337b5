package waytrestle.net;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Watches an event loop from a thread of its own and reports when the loop is stuck. Guards against
 * a process whose loop is stuck for good, for example in a read on a socket that the system has
 * left blocking. Such a process keeps its clients' connections, responds to no request and no
 * signal, and looks alive from outside.
 *
 * <p>Thread-safe.
 */
public final class LoopWatchdog {
    /** Exit code of a process that ends because its loop was given up as stuck. */
    public static final int EXIT_CODE = 4;

    /**
     * Interval between observations. An idle loop completes a turn at least every second, so far
     * fewer observations without a completed turn follow each other than for a stall.
     */
    private static final long OBSERVATION_INTERVAL_MILLIS = 500;

    /** Three seconds without a completed turn: far above the pauses of a loaded machine. */
    private static final int STALLED_AFTER_OBSERVATIONS = 6;

    /**
     * Ten seconds without a completed turn: by then every request of the loop's clients is overdue.
     */
    private static final int GIVEN_UP_AFTER_OBSERVATIONS = 20;

    /** Is told of the loop's stalls, on the watchdog's thread. */
    public interface StallListener {
        /**
         * Called once for each stall of the loop.
         *
         * @param stack stack of the loop's thread, which names the place where it is stuck
         */
        void stalled(StackTraceElement[] stack);

        /** Called when the loop completes turns again after a stall. */
        void recovered();

        /**
         * Called when the loop is given up as stuck for good, after which the watchdog ends. The
         * process has to be ended without the loop's help.
         */
        void givenUp();
    }

    private final Loop loop;
    private final StallListener listener;
    private final long observationIntervalMillis;
    private final StallDetector detector =
            new StallDetector(STALLED_AFTER_OBSERVATIONS, GIVEN_UP_AFTER_OBSERVATIONS);
    private final AtomicLong stalls = new AtomicLong();

    /** Creates a watchdog that watches once {@link #start} is called. */
    public LoopWatchdog(Loop loop, StallListener listener) {
        this(loop, listener, OBSERVATION_INTERVAL_MILLIS);
    }

    LoopWatchdog(Loop loop, StallListener listener, long observationIntervalMillis) {
        this.loop = loop;
        this.listener = listener;
        this.observationIntervalMillis = observationIntervalMillis;
    }

    /** Starts the watchdog's thread. The thread ends when the loop has ended or is given up. */
    public LoopWatchdog start() {
        Thread thread = new Thread(this::watch, "loop-watchdog");
        thread.setDaemon(true);
        thread.start();
        return this;
    }

    /** Returns how many times the loop has been stuck so far. */
    public long stallCount() {
        return stalls.get();
    }

    private void watch() {
        try {
            while (!loop.hasEnded() && observe()) {
                Thread.sleep(observationIntervalMillis);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Observes the loop once; returns false if the loop is given up. */
    private boolean observe() {
        switch (detector.observe(loop.completedTurns())) {
            case STALLED -> {
                stalls.incrementAndGet();
                listener.stalled(loop.stackTrace());
            }
            case RECOVERED -> listener.recovered();
            case GIVEN_UP -> {
                listener.givenUp();
                return false;
            }
            case RUNNING -> {}
        }
        return true;
    }
}
