package waytrestle.http;

import java.util.function.LongSupplier;

/**
 * Asks the {@link Withdrawal} of one request whether the request is still to be sent, and repeats
 * the check when its result is outdated. Guards against a pause of the process between the check
 * and the write: the request would be sent on a check result as old as the pause.
 *
 * <p>Not thread-safe: used by the event loop of its client.
 */
final class WithdrawalCheck {
    /** Age above which a check result is outdated. Small compared with any drain grace period. */
    private static final long MAX_CHECK_AGE_MICROS = 10_000;

    /** Checks before the request is sent on the last result, though the process paused in each. */
    private static final int MAX_CHECKS = 3;

    private final Withdrawal withdrawal;
    private final LongSupplier clockMicros;
    private long checkedAtMicros;

    WithdrawalCheck(Withdrawal withdrawal, LongSupplier clockMicros) {
        this.withdrawal = withdrawal;
        this.clockMicros = clockMicros;
    }

    /** Returns how the request fails instead of being sent, or null if it is to be sent. */
    ExchangeFailure failureIfWithdrawn() {
        for (int i = 0; i < MAX_CHECKS; i++) {
            checkedAtMicros = clockMicros.getAsLong();
            ExchangeFailure failure = withdrawal.failureIfWithdrawn();
            if (failure != null || !isOutdated()) {
                return failure;
            }
        }
        return null;
    }

    /** Returns whether the last check is too old for the request to be sent on its result. */
    boolean isOutdated() {
        return checkAgeMicros() > MAX_CHECK_AGE_MICROS;
    }

    /** Records the write of the request; reports it to the withdrawal if the check was outdated. */
    void requestWritten() {
        long ageMicros = checkAgeMicros();
        if (ageMicros > MAX_CHECK_AGE_MICROS) {
            withdrawal.writeDelayed(ageMicros);
        }
    }

    private long checkAgeMicros() {
        return clockMicros.getAsLong() - checkedAtMicros;
    }
}
