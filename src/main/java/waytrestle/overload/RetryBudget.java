package waytrestle.overload;

import java.util.Iterator;
import java.util.LinkedHashMap;

/**
 * Repeats, of clients and of our own, may add only a stated share of load: every first call pays in
 * that share of a repeat, every repeat takes one out, and a little is always there so that quiet
 * traffic can repeat. After Finagle's retry budgets and "Metastable Failures in Distributed
 * Systems" (Bronson et al., HotOS 2021).
 *
 * <p>Guards against a storm that feeds itself: an outage ends, but the repeats it caused keep the
 * fleet full.
 */
public final class RetryBudget {
    // ---- Tuned numbers. ----
    private static final double SAVED =
            10; // seconds of payments kept: a short outage's repeats, not a long one's
    private static final int REMEMBERED =
            20_000; // refused calls recognised when they come again; the oldest goes first
    private static final long RECOGNISED = 30_000_000; // micros for which one is

    private final double share, alwaysPerSecond;
    private final LinkedHashMap<Long, Long> rejected = new LinkedHashMap<>();
    private double balance;
    private double paidPerSecond;
    private long at;

    public RetryBudget(double share, double alwaysPerSecond) {
        this.share = share;
        this.alwaysPerSecond = alwaysPerSecond;
        this.balance = alwaysPerSecond * SAVED;
    }

    /** Whether this is a client's repeat of what was refused before. */
    public boolean isRetry(long now, long mark) {
        Long when = mark == 0 ? null : rejected.get(mark);
        return when != null && now - when < RECOGNISED;
    }

    public void rejected(long now, long mark) {
        if (mark != 0) {
            rejected.remove(mark);
            rejected.put(mark, now);
            if (rejected.size() > REMEMBERED) {
                Iterator<Long> oldest = rejected.keySet().iterator();
                oldest.next();
                oldest.remove();
            }
        }
    }

    private void pass(long now) {
        if (at != 0) {
            double seconds = (now - at) / 1e6;
            balance += alwaysPerSecond * seconds;
            paidPerSecond *= Math.exp(-seconds);
        }
        at = now;
        balance = Math.min(balance, SAVED * (alwaysPerSecond + paidPerSecond));
    }

    /** A first call was taken. */
    public void deposit(long now) {
        pass(now);
        balance += share;
        paidPerSecond += share; // fades within a second: the sum of a second's payments
    }

    /** Whether one more repeat may go; takes it from the budget. */
    public boolean tryWithdraw(long now) {
        pass(now);
        if (balance < 1) {
            return false;
        }
        balance--;
        return true;
    }
}
