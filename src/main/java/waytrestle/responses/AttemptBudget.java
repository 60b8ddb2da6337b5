package waytrestle.responses;

/**
 * Bounds the number of attempts over all requests: each request adds a configured number of
 * attempts to the budget, each attempt that is sent takes one out, and the first attempt of a
 * request is sent even if the budget is empty.
 *
 * <p>Guards against retry amplification whatever the outcome of the attempts, including not-loaded
 * responses, which retry budgets do not count. Without the bound, a faulty fleet would receive a
 * request several times that it cannot serve once.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class AttemptBudget {
    /**
     * Seconds of earned retries that the budget keeps unused in addition to {@link
     * #MIN_RESERVE_ATTEMPTS}, so that retries remain possible during a short fault.
     */
    private static final double RESERVE_SECONDS = 5;

    /**
     * Unused attempts that the budget keeps at any request rate, so that retries are possible with
     * little traffic too.
     */
    private static final double MIN_RESERVE_ATTEMPTS = 20;

    private static final double MICROS_PER_SECOND = 1e6;

    private final double attemptsPerRequest;
    private double availableAttempts = MIN_RESERVE_ATTEMPTS;
    private double retriesEarnedPerSecond;
    private long updatedAtMicros;

    AttemptBudget(double attemptsPerRequest) {
        this.attemptsPerRequest = attemptsPerRequest;
    }

    /** Adds the attempts that one new request contributes. */
    void addRequest(long nowMicros) {
        double decay = Math.exp((updatedAtMicros - nowMicros) / MICROS_PER_SECOND);
        retriesEarnedPerSecond = retriesEarnedPerSecond * decay + attemptsPerRequest - 1;
        updatedAtMicros = nowMicros;
        double maxAvailableAttempts =
                MIN_RESERVE_ATTEMPTS + RESERVE_SECONDS * retriesEarnedPerSecond;
        availableAttempts = Math.min(availableAttempts + attemptsPerRequest, maxAvailableAttempts);
    }

    /**
     * Takes one attempt from the budget and returns whether the attempt may be sent: a first
     * attempt always may, a retry only if the budget holds an attempt.
     */
    boolean tryTake(boolean firstAttempt) {
        if (!firstAttempt && availableAttempts < 1) {
            return false;
        }
        availableAttempts = Math.max(0, availableAttempts - 1);
        return true;
    }
}
