package waytrestle.http;

import java.util.function.LongSupplier;

/**
 * Asks whether a request is still to be sent, so that the answer is not outdated when it is acted
 * on. Guards against a process that is stopped between the question and the write: the answer would
 * be as old as the stop.
 *
 * <p>Not thread-safe: used by its loop alone.
 */
final class WithdrawalCheck {
    /** An answer that is older counts for nothing. It is small beside any drain grace. */
    private static final long MAX_AGE_MICROS = 10_000;

    /** A process that is stopped during each question sends by the last answer. */
    private static final int MAX_QUESTIONS = 3;

    private final Withdrawal withdrawal;
    private final LongSupplier clockMicros;
    private long askedAtMicros;

    WithdrawalCheck(Withdrawal withdrawal, LongSupplier clockMicros) {
        this.withdrawal = withdrawal;
        this.clockMicros = clockMicros;
    }

    /** How the request ends instead of being sent; null to send it. */
    ExchangeFailure failureIfWithdrawn() {
        for (int i = 0; i < MAX_QUESTIONS; i++) {
            askedAtMicros = clockMicros.getAsLong();
            ExchangeFailure how = withdrawal.failureIfWithdrawn();
            if (how != null || !isOutdated()) {
                return how;
            }
        }
        return null;
    }

    /** Whether the last answer is too old to be acted on. */
    boolean isOutdated() {
        return ageMicros() > MAX_AGE_MICROS;
    }

    /** The request has been written. */
    void requestWritten() {
        long age = ageMicros();
        if (age > MAX_AGE_MICROS) {
            withdrawal.writeDelayed(age);
        }
    }

    private long ageMicros() {
        return clockMicros.getAsLong() - askedAtMicros;
    }
}
