package waytrestle.net;

import java.io.IOException;

/**
 * Tries the reads or the writes of one connection again after failures, at the delays of {@link
 * TransferRetry}, and counts each failure. Used on the loop's thread.
 */
final class RetryTimer {
    private final Loop loop;
    private final String operation;
    private final Runnable resume;
    private final TransferRetry retry;
    private boolean pending;

    /**
     * Creates a timer for an operation that is not failing.
     *
     * @param operation name under which failures are counted, as in {@code client.read}
     * @param retryTimeoutMicros longest time for which the operation may go on failing
     * @param resume tries the transfer again
     */
    RetryTimer(Loop loop, String operation, long retryTimeoutMicros, Runnable resume) {
        this.retry = new TransferRetry(retryTimeoutMicros);
        this.loop = loop;
        this.operation = operation;
        this.resume = resume;
    }

    /**
     * Returns whether the next try is scheduled. Until then the connection must not transfer
     * anything in this direction.
     */
    boolean isPending() {
        return pending;
    }

    /** Records that the operation has not failed. */
    void recordSuccess() {
        retry.recordSuccess();
    }

    /**
     * Records a failure and schedules the next try.
     *
     * @return false if the operation has failed for longer than the retry timeout, so that there is
     *     no further try
     */
    boolean recordFailure(IOException error) {
        long backoffMicros = retry.recordFailure(Loop.nowMicros());
        if (backoffMicros == TransferRetry.GIVE_UP) {
            loop.faults().count(operation, "given_up", error);
            return false;
        }
        loop.faults().count(operation, "retried", error);
        if (!pending) {
            pending = true;
            loop.after(backoffMicros, this::tryAgain);
        }
        return true;
    }

    private void tryAgain() {
        pending = false;
        resume.run();
    }
}
