package waytrestle.responses;

/**
 * Bounds the attempts over all requests: every request adds a stated number of attempts to the
 * budget, every attempt takes one out, and a first attempt always goes.
 *
 * <p>Guards against amplification by whatever makes attempts end, including not-loaded responses,
 * which no retry budget counts: a fleet with a fault would otherwise be asked several times for
 * what it cannot do once.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class AttemptBudget {
    /** Unused attempts of so long a time are kept, so that a short fault is ridden out. */
    private static final double RESERVE_SECONDS = 5;

    /** Attempts kept at the least: with little traffic retries must be possible too. */
    private static final double MIN_RESERVE_ATTEMPTS = 20;

    private static final double MICROS_PER_SECOND = 1e6;

    private final double attemptsPerRequest;
    private double balance = MIN_RESERVE_ATTEMPTS;
    private double retriesEarnedPerSecond;
    private long updatedAtMicros;

    AttemptBudget(double attemptsPerRequest) {
        this.attemptsPerRequest = attemptsPerRequest;
    }

    /** Adds what one new request contributes. */
    void addRequest(long nowMicros) {
        double decay = Math.exp((updatedAtMicros - nowMicros) / MICROS_PER_SECOND);
        retriesEarnedPerSecond = retriesEarnedPerSecond * decay + attemptsPerRequest - 1;
        updatedAtMicros = nowMicros;
        double maxBalance = MIN_RESERVE_ATTEMPTS + RESERVE_SECONDS * retriesEarnedPerSecond;
        balance = Math.min(balance + attemptsPerRequest, maxBalance);
    }

    /** Takes an attempt from the budget; false if it must not be sent. */
    boolean tryTake(boolean firstAttempt) {
        if (!firstAttempt && balance < 1) {
            return false;
        }
        balance = Math.max(0, balance - 1);
        return true;
    }
}
