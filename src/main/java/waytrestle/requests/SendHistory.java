package waytrestle.requests;

import java.util.ArrayList;
import java.util.List;
import waytrestle.scheduler.ResponseCode;

/**
 * Records the attempts of one request that {@link SendGuard} has allowed to be sent, and which of
 * them are proved not to have run. The history is kept apart from the scheduler's own record of
 * attempts, so that an error in one is detected by the other.
 *
 * <p>Times are monotonic, in microseconds. Not thread-safe: used by the controller's event loop.
 */
public final class SendHistory {
    /** An attempt that was allowed to be sent; it may have run unless the opposite is proved. */
    static final class SentAttempt {
        final int number;
        final int zone;
        final int cell;
        final long sentAtMicros;
        private boolean provedNotRun;

        private SentAttempt(int number, int zone, int cell, long sentAtMicros) {
            this.number = number;
            this.zone = zone;
            this.cell = cell;
            this.sentAtMicros = sentAtMicros;
        }
    }

    /** Initial capacity of the list: most requests need no more attempts. */
    private static final int INITIAL_CAPACITY = 2;

    private final List<SentAttempt> attempts = new ArrayList<>(INITIAL_CAPACITY);

    /**
     * Records an attempt as sent. An attempt that was recorded before, because it is sent again on
     * another connection, keeps its first record.
     */
    void recordSent(SendGuard.SendIntent intent) {
        for (SentAttempt sent : attempts) {
            if (sent.number == intent.attempt()) {
                return;
            }
        }
        attempts.add(
                new SentAttempt(
                        intent.attempt(), intent.zone(), intent.cell(), intent.nowMicros()));
    }

    /** Records how an attempt has ended; does nothing if the attempt was never recorded as sent. */
    public void recordEnd(int attempt, ResponseCode code) {
        for (SentAttempt sent : attempts) {
            if (sent.number == attempt && code.provesNotRun()) {
                sent.provedNotRun = true;
            }
        }
    }

    /**
     * Returns the first attempt that may have run or may still run, or null if there is none.
     *
     * @param exemptAttempt number of the attempt that is left out
     */
    SentAttempt firstThatMayHaveRun(int exemptAttempt) {
        for (SentAttempt sent : attempts) {
            if (sent.number != exemptAttempt && !sent.provedNotRun) {
                return sent;
            }
        }
        return null;
    }
}
