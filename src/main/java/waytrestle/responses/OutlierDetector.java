package waytrestle.responses;

import waytrestle.stats.DecayingSum;

/**
 * What one invoker does wrong beyond what its functions do wrong elsewhere. Outlier detection as
 * Envoy has it (ejection for a doubling time, of a bounded share of the fleet), but by comparison:
 * failures count only where the same function does better at other invokers, so that a broken
 * function never costs its invokers their place.
 *
 * <p>Guards against an invoker that errs, above all one that errs quickly: its short queue would
 * draw ever more calls. It can hurt where one tenant's bad input meets only one invoker: the
 * ejection is short, and its share bounded.
 */
final class OutlierDetector {
    // ---- Tuned numbers; times are microseconds. ----
    private static final double SPAN = 10_000_000; // over which ends fade
    private static final double EXCESS =
            3; // unexplained failures that make a suspect: chance rarely does
    private static final double SHARE =
            0.5; // of its ends that must have failed: a lossy one still serves
    private static final double REJECTIONS =
            10; // rejections that others do not share: input varies more than failures
    private static final double LIKE_OTHERS =
            0.05; // share of rejections elsewhere from which they are the input's
    private static final long EJECTED =
            3_000_000; // first ejection: a restart's length; doubles in a row
    private static final long EJECTED_MOST = 60_000_000;
    private static final double BACK =
            0.9; // failures short of a suspect on return: one more soon sends it off again

    private final DecayingSum all = new DecayingSum(SPAN),
            failed = new DecayingSum(SPAN),
            excess = new DecayingSum(SPAN),
            rejections = new DecayingSum(SPAN);
    private int times;
    private long until;

    /**
     * An end; elsewhere is the usual share of failures of the same function at others, below 0
     * while unknown.
     */
    void ended(boolean failure, double elsewhere, long now) {
        all.add(1, now);
        failed.add(failure ? 1 : 0, now);
        if (!failure) {
            more(-Math.max(0, elsewhere), now);
            times = excess.value(now) < BACK ? 0 : times;
        }
    }

    /** Failures that an answer elsewhere has shown to be this invoker's. */
    void unexplained(int failures, double elsewhere, long now) {
        more(failures * (1 - Math.max(0, elsewhere)), now);
    }

    /** Rejections of what others take. Where others begin to reject too, it was the input. */
    void rejects(double elsewhere, long now) {
        if (elsewhere > LIKE_OTHERS) {
            rejections.set(0, now);
        } else if (elsewhere >= 0) {
            rejections.add(1, now);
        }
    }

    private void more(double by, long now) {
        excess.set(Math.max(0, Math.min(2 * EXCESS, excess.value(now) + by)), now);
    }

    boolean suspect(long now) {
        double wrong = rejections.value(now);
        return (excess.value(now) >= EXCESS && failed.value(now) >= SHARE * all.value(now))
                || (wrong >= REJECTIONS && wrong >= SHARE * all.value(now));
    }

    boolean ejected() {
        return until != 0;
    }

    long until() {
        return until;
    }

    /** Sends it off; the micros until it comes back. */
    long eject(long now) {
        long span = Math.min(EJECTED_MOST, EJECTED << Math.min(6, times++));
        until = now + span;
        return span;
    }

    void readmit(long now) {
        until = 0;
        rejections.set(0, now);
        excess.set(EXCESS - BACK, now);
        failed.set(1, now);
        all.set(1, now);
    }
}
