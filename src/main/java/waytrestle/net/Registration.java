package waytrestle.net;

import java.io.IOException;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;

/**
 * Registration of a channel with an event loop. Used on the loop's thread.
 *
 * <p>The JDK does not report that the kernel has refused a registration or a change of it
 * (epoll_ctl fails with ENOMEM or ENOSPC); the selector would never report the channel as ready
 * again. So after each change the registration calls the handler as if the channel were ready, at
 * growing intervals, and sets its operations with the selector again, until the selector has
 * reported each added operation once.
 */
public final class Registration {
    /** Delay of the first check after a change. A channel in use is reported as ready sooner. */
    private static final long FIRST_CHECK_DELAY_MICROS = 100_000;

    private static final long MAX_CHECK_DELAY_MICROS = 1_000_000;

    /** Shortest delay after which a timer runs in a later turn, that is after another selection. */
    private static final long NEXT_TURN_DELAY_MICROS = 1;

    /** Handles the readiness of a channel, on the loop's thread. */
    public interface Handler {
        /**
         * Handles operations that are probably ready. Each may turn out not to be, so the handler
         * must not rely on it.
         *
         * @param operations bits of {@link SelectionKey}
         */
        void ready(int operations) throws IOException;
    }

    private final Loop loop;
    private final Handler handler;
    private SelectionKey key;
    private int operations;

    /**
     * Requested operations that the selector has not reported since they were added, so that the
     * kernel may not have registered them; bits of {@link SelectionKey}.
     */
    private int unconfirmedOperations;

    /** The timer of the next check; null while none is pending. */
    private TimerHeap.Timer checkTimer;

    private long checkDelayMicros = FIRST_CHECK_DELAY_MICROS;

    Registration(Loop loop, int operations, Handler handler) {
        this.loop = loop;
        this.operations = operations;
        this.unconfirmedOperations = operations;
        this.handler = handler;
    }

    /**
     * Sets the selector's key of this registration and schedules the first check. May be called
     * from any thread.
     *
     * @param onLoop whether the caller runs on the loop's thread
     */
    void attach(SelectionKey selectionKey, boolean onLoop) {
        key = selectionKey;
        if (onLoop) {
            scheduleCheck();
        } else {
            loop.execute(this::scheduleCheck);
        }
    }

    /** Returns whether neither the registration was cancelled nor the channel closed. */
    boolean isValid() {
        return key.isValid();
    }

    /** Returns the requested operations, as bits of {@link SelectionKey}. */
    public int operations() {
        return operations;
    }

    /**
     * Sets the operations whose readiness is to be reported, as bits of {@link SelectionKey}. Does
     * nothing after a cancel or close.
     */
    public void setOperations(int requested) {
        if (requested == operations || !key.isValid()) {
            return;
        }
        unconfirmedOperations = requested & (unconfirmedOperations | ~operations);
        operations = requested;
        apply(requested);
        checkDelayMicros = FIRST_CHECK_DELAY_MICROS;
        scheduleCheck();
    }

    private void apply(int requested) {
        try {
            key.interestOps(requested);
        } catch (CancelledKeyException e) {
            // The channel was closed meanwhile, so no readiness is to be reported any more.
        }
    }

    /** Ends the registration; the channel stays open. */
    public void cancel() {
        cancelCheck();
        key.cancel();
    }

    /** Cancels the pending check, if any: the channel is about to be closed. */
    void cancelCheck() {
        if (checkTimer != null) {
            checkTimer.cancel();
            checkTimer = null;
        }
    }

    /**
     * Handles readiness that the selector has reported, which confirms that the kernel knows of
     * these operations.
     */
    void handleReported(int ready) throws IOException {
        unconfirmedOperations &= ~ready;
        handler.ready(ready);
    }

    /** Calls the handler as if all requested operations were ready. */
    void assumeReady() throws IOException {
        if (key.isValid() && operations != 0) {
            handler.ready(operations);
        }
    }

    private void scheduleCheck() {
        if (checkTimer == null && unconfirmedOperations != 0) {
            checkTimer = loop.after(checkDelayMicros, this::check);
        }
    }

    private void check() {
        checkTimer = null;
        if (unconfirmedOperations == 0 || !key.isValid()) {
            return;
        }
        checkDelayMicros = Math.min(MAX_CHECK_DELAY_MICROS, 2 * checkDelayMicros);
        registerAnew();
        scheduleCheck();
        loop.runGuarded(this::assumeReady);
    }

    private void registerAnew() {
        apply(0);
        loop.after(
                NEXT_TURN_DELAY_MICROS,
                () -> {
                    if (key.isValid()) {
                        apply(operations);
                    }
                });
    }
}
