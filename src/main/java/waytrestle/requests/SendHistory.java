package waytrestle.requests;

import java.util.ArrayList;
import java.util.List;
import waytrestle.scheduler.ResponseCode;

/**
 * The attempts of one request that {@link SendGuard} has let pass, and which of them are proved
 * never to have run. It is kept apart from what the scheduler believes, so that each checks the
 * other.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class SendHistory {
    /** An attempt that was let pass; until its end it may run. */
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

    /** Attempts that most requests have, at most. */
    private static final int USUAL_ATTEMPTS = 2;

    private final List<SentAttempt> attempts = new ArrayList<>(USUAL_ATTEMPTS);

    /** Notes an attempt that passes; one that asks again for a further connection is noted once. */
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

    /** Notes how an attempt has ended; nothing where it was never let pass. */
    public void recordEnd(int attempt, ResponseCode code) {
        for (SentAttempt sent : attempts) {
            if (sent.number == attempt && code.provesNotRun()) {
                sent.provedNotRun = true;
            }
        }
    }

    /** The first other attempt that may have run or may still run, or null if there is none. */
    SentAttempt firstThatMayHaveRun(int otherThan) {
        for (SentAttempt sent : attempts) {
            if (sent.number != otherThan && !sent.provedNotRun) {
                return sent;
            }
        }
        return null;
    }
}
