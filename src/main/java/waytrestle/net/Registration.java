package waytrestle.net;

import java.io.IOException;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;

/**
 * A channel's registration with a loop. The JDK does not report that the kernel has refused a
 * registration or a change of it (epoll_ctl fails with ENOMEM or ENOSPC): nothing would ever be
 * heard of the channel again. So after each change the channel is looked at as if it were ready, at
 * growing intervals, and is registered anew, until what was added has been reported once.
 */
public final class Registration {
    /** First look after a change: readiness of what is in use is reported sooner. */
    private static final long FIRST_CHECK_MICROS = 100_000;

    private static final long MAX_CHECK_MICROS = 1_000_000;

    /** The least delay that lets the loop select once before. */
    private static final long NEXT_TURN_MICROS = 1;

    /** What is called when a channel is ready. */
    public interface Handler {
        /**
         * Handles readiness, which may turn out not to be.
         *
         * @param operations bits of {@link SelectionKey}
         */
        void ready(int operations) throws IOException;
    }

    private final Loop loop;
    private final Handler handler;
    private SelectionKey key;
    private int operations;

    /** What the kernel may not know of: nothing of it has been reported since it was asked for. */
    private int unconfirmed;

    private boolean checkPending;
    private long checkMicros = FIRST_CHECK_MICROS;

    Registration(Loop loop, int operations, Handler handler) {
        this.loop = loop;
        this.operations = operations;
        this.unconfirmed = operations;
        this.handler = handler;
    }

    /** Sets the key that stands for it; on the loop's thread, or handed to it. */
    void attach(SelectionKey attached, boolean onLoop) {
        key = attached;
        if (onLoop) {
            scheduleCheck();
        } else {
            loop.execute(this::scheduleCheck);
        }
    }

    boolean isValid() {
        return key.isValid();
    }

    /** What is to be reported, as bits of {@link SelectionKey}. */
    public int operations() {
        return operations;
    }

    /** Changes what is to be reported. */
    public void setOperations(int wanted) {
        if (wanted == operations || !key.isValid()) {
            return;
        }
        unconfirmed = wanted & (unconfirmed | ~operations);
        operations = wanted;
        apply(wanted);
        checkMicros = FIRST_CHECK_MICROS;
        scheduleCheck();
    }

    private void apply(int wanted) {
        try {
            key.interestOps(wanted);
        } catch (CancelledKeyException e) {
            // Closed meanwhile: nothing is to be reported any more.
        }
    }

    /** Ends the registration. */
    public void cancel() {
        key.cancel();
    }

    /** The selector has reported readiness, so the kernel knows of that part. */
    void handleReported(int ready) throws IOException {
        unconfirmed &= ~ready;
        handler.ready(ready);
    }

    /** Calls the handler as if everything wanted were ready. */
    void assumeReady() throws IOException {
        if (key.isValid() && operations != 0) {
            handler.ready(operations);
        }
    }

    private void scheduleCheck() {
        if (!checkPending && unconfirmed != 0) {
            checkPending = true;
            loop.after(checkMicros, this::check);
        }
    }

    private void check() {
        checkPending = false;
        if (unconfirmed == 0 || !key.isValid()) {
            return;
        }
        checkMicros = Math.min(MAX_CHECK_MICROS, 2 * checkMicros);
        registerAnew();
        scheduleCheck();
        loop.runGuarded(this::assumeReady);
    }

    private void registerAnew() {
        apply(0);
        loop.after(
                NEXT_TURN_MICROS,
                () -> {
                    if (key.isValid()) {
                        apply(operations);
                    }
                });
    }
}
