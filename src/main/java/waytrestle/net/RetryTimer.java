package waytrestle.net;

import java.io.IOException;

/** Tries one direction of a connection again after failures, as {@link TransferRetry} says. */
final class RetryTimer {
    private final Loop loop;
    private final String operation;
    private final Runnable resume;
    private final TransferRetry retry;
    private boolean pending;

    /**
     * Creates it without a failure.
     *
     * @param operation as faults are counted by
     * @param patienceMicros how long the transfer may go on failing
     * @param resume tries the transfer again
     */
    RetryTimer(Loop loop, String operation, long patienceMicros, Runnable resume) {
        this.retry = new TransferRetry(patienceMicros);
        this.loop = loop;
        this.operation = operation;
        this.resume = resume;
    }

    /** Whether a further try is waited for: until then nothing is to be transferred. */
    boolean isPending() {
        return pending;
    }

    void recordSuccess() {
        retry.recordSuccess();
    }

    /** Notes a failure; false where it has gone on for too long to try again. */
    boolean recordFailure(IOException error) {
        long backoff = retry.recordFailure(Loop.nowMicros());
        if (backoff == TransferRetry.GIVE_UP) {
            loop.faults().count(operation, "given_up", error);
            return false;
        }
        loop.faults().count(operation, "retried", error);
        if (!pending) {
            pending = true;
            loop.after(backoff, this::tryAgain);
        }
        return true;
    }

    private void tryAgain() {
        pending = false;
        resume.run();
    }
}
