package waytrestle.net;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Watches an event loop from a thread of its own. Guards against a process whose loop is stuck, as
 * in a read on a socket that the system has left blocking: it holds its clients' connections,
 * answers nobody, not even a signal, and looks alive.
 *
 * <p>Thread-safe.
 */
public final class LoopWatchdog {
    /** The exit code of a process whose loop was given up. */
    public static final int EXIT_CODE = 4;

    /** Longer than a selection waits at most, so that an idle loop completes turns. */
    private static final long OBSERVATION_MILLIS = 500;

    /** Three seconds: far above the pauses of a loaded machine. */
    private static final int STALLED_AFTER = 6;

    /** Ten seconds: by then all that the loop's clients have asked for is overdue. */
    private static final int GIVEN_UP_AFTER = 20;

    /** What is done about a stall; called on the watchdog's thread. */
    public interface StallListener {
        /** The loop has become stuck at the place that the stack names. */
        void stalled(StackTraceElement[] stack);

        /** It runs again. */
        void recovered();

        /** It is given up: the process is to be ended without its help. */
        void givenUp();
    }

    private final Loop loop;
    private final StallListener listener;
    private final long observationMillis;
    private final StallDetector detector = new StallDetector(STALLED_AFTER, GIVEN_UP_AFTER);
    private final AtomicLong stalls = new AtomicLong();

    /** Does not watch yet. */
    public LoopWatchdog(Loop loop, StallListener listener) {
        this(loop, listener, OBSERVATION_MILLIS);
    }

    LoopWatchdog(Loop loop, StallListener listener, long observationMillis) {
        this.loop = loop;
        this.listener = listener;
        this.observationMillis = observationMillis;
    }

    /** Starts the thread, which ends with the loop. */
    public LoopWatchdog start() {
        Thread thread = new Thread(this::watch, "loop-watchdog");
        thread.setDaemon(true);
        thread.start();
        return this;
    }

    /** How often the loop has been stuck so far. */
    public long stallCount() {
        return stalls.get();
    }

    private void watch() {
        try {
            while (!loop.hasEnded() && observe()) {
                Thread.sleep(observationMillis);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns whether to go on. */
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
