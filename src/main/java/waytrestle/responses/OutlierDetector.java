package waytrestle.responses;

import waytrestle.stats.DecayingSum;

/**
 * Detects whether one invoker fails beyond what its functions do elsewhere. Outlier detection as
 * Envoy has it (ejection for a time that doubles, of a bounded share of the fleet), but by
 * comparison: failures count only where the same function does better at other invokers, so that a
 * broken function never gets its invokers ejected.
 *
 * <p>Guards against an invoker that fails, above all one that fails quickly: its short queue would
 * draw ever more requests. It can hurt where one tenant's bad input meets only one invoker: the
 * ejection is short, and the ejected share bounded.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class OutlierDetector {
    /** Time over which evidence fades: some seconds of it outlive a burst. */
    private static final double DECAY_MICROS = 10_000_000;

    /** Failures of its own that make an invoker an outlier: chance rarely does. */
    private static final double OUTLIER_FAILURES = 3;

    /** Evidence of failures kept at most, as a multiple of what makes an outlier. */
    private static final double MAX_FAILURES = 2 * OUTLIER_FAILURES;

    /** Share of the responses that must have failed: a lossy invoker still serves. */
    private static final double OUTLIER_FAILED_SHARE = 0.5;

    /** Rejections that others do not share: input varies more than failures do. */
    private static final double OUTLIER_REJECTIONS = 10;

    /** Share of rejections elsewhere from which the input is their cause. */
    private static final double COMMON_REJECTION_SHARE = 0.05;

    /** First ejection, about as long as a restart; it doubles with each further one. */
    private static final long FIRST_EJECTION_MICROS = 3_000_000;

    private static final long MAX_EJECTION_MICROS = 60_000_000;

    /** Doublings until the longest ejection is reached for sure. */
    private static final int MAX_DOUBLINGS = 6;

    /** Failures by which a readmitted invoker is short of an outlier: one more ejects it again. */
    private static final double READMISSION_MARGIN_FAILURES = 0.9;

    /** Failures below which a response ends the row of ejections. */
    private static final double RECOVERED_FAILURES = 0.9;

    private final DecayingSum responses = new DecayingSum(DECAY_MICROS);
    private final DecayingSum failures = new DecayingSum(DECAY_MICROS);
    private final DecayingSum ownFailures = new DecayingSum(DECAY_MICROS);
    private final DecayingSum ownRejections = new DecayingSum(DECAY_MICROS);
    private int ejectionsInRow;
    private long ejectedUntilMicros;

    /**
     * Takes in a response.
     *
     * @param failureShareElsewhere usual share of failures of the same function at other invokers,
     *     below 0 while unknown
     */
    void addResponse(boolean failure, double failureShareElsewhere, long nowMicros) {
        responses.add(1, nowMicros);
        failures.add(failure ? 1 : 0, nowMicros);
        if (failure) {
            return;
        }
        addOwnFailures(-Math.max(0, failureShareElsewhere), nowMicros);
        if (ownFailures.value(nowMicros) < RECOVERED_FAILURES) {
            ejectionsInRow = 0;
        }
    }

    /** Takes in failures that a response elsewhere has shown to be this invoker's. */
    void addAttributedFailures(int count, double failureShareElsewhere, long nowMicros) {
        addOwnFailures(count * (1 - Math.max(0, failureShareElsewhere)), nowMicros);
    }

    /**
     * Takes in a rejection. Where other invokers reject too, the input is the cause.
     *
     * @param rejectionShareElsewhere usual share of rejections of the same function at other
     *     invokers, below 0 while unknown
     */
    void addRejection(double rejectionShareElsewhere, long nowMicros) {
        if (rejectionShareElsewhere > COMMON_REJECTION_SHARE) {
            ownRejections.set(0, nowMicros);
        } else if (rejectionShareElsewhere >= 0) {
            ownRejections.add(1, nowMicros);
        }
    }

    private void addOwnFailures(double change, long nowMicros) {
        double sum = ownFailures.value(nowMicros) + change;
        ownFailures.set(Math.max(0, Math.min(MAX_FAILURES, sum)), nowMicros);
    }

    /** Whether the invoker is an outlier by present evidence. */
    boolean isOutlier(long nowMicros) {
        double significantShare = OUTLIER_FAILED_SHARE * responses.value(nowMicros);
        boolean failsAlone =
                ownFailures.value(nowMicros) >= OUTLIER_FAILURES
                        && failures.value(nowMicros) >= significantShare;
        double rejections = ownRejections.value(nowMicros);
        boolean rejectsAlone = rejections >= OUTLIER_REJECTIONS && rejections >= significantShare;
        return failsAlone || rejectsAlone;
    }

    /** Whether what comes from the invoker is no evidence against functions. */
    boolean isOutlierOrEjected(long nowMicros) {
        return isOutlier(nowMicros) || isEjected();
    }

    boolean isEjected() {
        return ejectedUntilMicros != 0;
    }

    /** When the ejection ends; 0 while the invoker is not ejected. */
    long ejectedUntilMicros() {
        return ejectedUntilMicros;
    }

    /** Ejects the invoker and returns for how long. */
    long eject(long nowMicros) {
        long doubled = FIRST_EJECTION_MICROS << Math.min(MAX_DOUBLINGS, ejectionsInRow);
        long durationMicros = Math.min(MAX_EJECTION_MICROS, doubled);
        ejectionsInRow++;
        ejectedUntilMicros = nowMicros + durationMicros;
        return durationMicros;
    }

    /** Ends the ejection; what is known against the invoker falls to just short of another. */
    void readmit(long nowMicros) {
        ejectedUntilMicros = 0;
        ownRejections.set(0, nowMicros);
        ownFailures.set(OUTLIER_FAILURES - READMISSION_MARGIN_FAILURES, nowMicros);
        failures.set(1, nowMicros);
        responses.set(1, nowMicros);
    }
}
