package waytrestle.responses;

/**
 * Attempts over calls: every call pays in a stated number of attempts, every attempt takes one out,
 * and a first attempt always goes. Guards against amplification of whatever makes attempts end
 * (misses too, which no retry budget counts): a fleet in trouble must not be asked several times
 * what it cannot do once.
 */
final class AttemptBudget {
    // ---- Tuned numbers. ----
    private static final double SAVED =
            5; // seconds of payments kept, so that a short trouble is ridden out
    private static final double BURST =
            20; // attempts kept at the least: quiet traffic must be able to try again

    private final double perCall;
    private double balance = BURST, paidPerSecond;
    private long at;

    AttemptBudget(double perCall) {
        this.perCall = perCall;
    }

    void paid(long now) {
        paidPerSecond = paidPerSecond * Math.exp((at - now) / 1e6) + perCall - 1;
        at = now;
        balance = Math.min(balance + perCall, BURST + SAVED * paidPerSecond);
    }

    /** Whether an attempt may go; takes it from the budget. */
    boolean take(boolean first) {
        if (!first && balance < 1) {
            return false;
        }
        balance = Math.max(0, balance - 1);
        return true;
    }
}
