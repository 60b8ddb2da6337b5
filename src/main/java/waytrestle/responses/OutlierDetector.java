package waytrestle.responses;

import waytrestle.stats.DecayingSum;

/**
 * Detects whether one invoker fails more often than other invokers do with the same functions.
 * Follows the outlier detection of Envoy (ejection for a time that doubles, of a bounded share of
 * the fleet), but by comparison: failures count only if the same function fails less at other
 * invokers, so that a faulty function never causes the ejection of its invokers.
 *
 * <p>Guards against an invoker that fails, above all one that fails fast: its short queue would
 * attract more and more requests. The drawback: an invoker that alone receives one tenant's bad
 * input may be ejected wrongly; the ejection is short, and the ejected share bounded.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class OutlierDetector {
    /**
     * Time constant of the decay of evidence: long enough that evidence outlasts a burst by some
     * seconds.
     */
    private static final double DECAY_MICROS = 10_000_000;

    /**
     * Failures attributed to an invoker that make it an outlier; they are rarely reached by chance.
     */
    private static final double OUTLIER_FAILURES = 3;

    /** Upper bound of the failures attributed to an invoker. */
    private static final double MAX_FAILURES = 2 * OUTLIER_FAILURES;

    /**
     * Share of an invoker's responses that must be failures, or rejections, for an outlier; an
     * invoker below it still serves most requests.
     */
    private static final double OUTLIER_FAILED_SHARE = 0.5;

    /**
     * Rejections not shared by other invokers that make an invoker an outlier; more than for
     * failures, because rejections vary with the input.
     */
    private static final double OUTLIER_REJECTIONS = 10;

    /** Share of rejections at other invokers above which the input is taken as their cause. */
    private static final double COMMON_REJECTION_SHARE = 0.05;

    /**
     * Duration of the first ejection, about that of a restart; it doubles with each further
     * consecutive ejection.
     */
    private static final long FIRST_EJECTION_MICROS = 3_000_000;

    private static final long MAX_EJECTION_MICROS = 60_000_000;

    /** Number of doublings with which the longest ejection is certainly reached. */
    private static final int MAX_DOUBLINGS = 6;

    /**
     * Failures by which a readmitted invoker stays below {@link #OUTLIER_FAILURES}, so that one
     * more ejects it again.
     */
    private static final double READMISSION_MARGIN_FAILURES = 0.9;

    /**
     * Attributed failures below which a response without a failure resets the count of consecutive
     * ejections.
     */
    private static final double RECOVERED_FAILURES = 0.9;

    private final DecayingSum responses = new DecayingSum(DECAY_MICROS);
    private final DecayingSum failures = new DecayingSum(DECAY_MICROS);
    private final DecayingSum attributedFailures = new DecayingSum(DECAY_MICROS);
    private final DecayingSum unsharedRejections = new DecayingSum(DECAY_MICROS);
    private int consecutiveEjections;
    private long ejectedUntilMicros;

    /**
     * Records a response.
     *
     * @param failureShareAtOtherInvokers recent share of failures of the same function at other
     *     invokers; negative if unknown
     */
    void addResponse(boolean failure, double failureShareAtOtherInvokers, long nowMicros) {
        responses.add(1, nowMicros);
        failures.add(failure ? 1 : 0, nowMicros);
        if (failure) {
            return;
        }
        changeAttributedFailures(-Math.max(0, failureShareAtOtherInvokers), nowMicros);
        if (attributedFailures.value(nowMicros) < RECOVERED_FAILURES) {
            consecutiveEjections = 0;
        }
    }

    /**
     * Records failures that are attributed to the invoker because the function responded without a
     * failure at another one.
     *
     * @param failureShareAtOtherInvokers recent share of failures of the function at other
     *     invokers; negative if unknown
     */
    void addAttributedFailures(int count, double failureShareAtOtherInvokers, long nowMicros) {
        changeAttributedFailures(count * (1 - Math.max(0, failureShareAtOtherInvokers)), nowMicros);
    }

    /**
     * Records a rejection. If other invokers reject too, the input is taken as the cause.
     *
     * @param rejectionShareAtOtherInvokers recent share of rejections of the same function at other
     *     invokers; negative if unknown
     */
    void addRejection(double rejectionShareAtOtherInvokers, long nowMicros) {
        if (rejectionShareAtOtherInvokers > COMMON_REJECTION_SHARE) {
            unsharedRejections.set(0, nowMicros);
        } else if (rejectionShareAtOtherInvokers >= 0) {
            unsharedRejections.add(1, nowMicros);
        }
    }

    private void changeAttributedFailures(double change, long nowMicros) {
        double sum = attributedFailures.value(nowMicros) + change;
        attributedFailures.set(Math.max(0, Math.min(MAX_FAILURES, sum)), nowMicros);
    }

    /** Returns whether the invoker is an outlier by the evidence at the given time. */
    boolean isOutlier(long nowMicros) {
        double minFailedResponses = OUTLIER_FAILED_SHARE * responses.value(nowMicros);
        boolean failsAlone =
                attributedFailures.value(nowMicros) >= OUTLIER_FAILURES
                        && failures.value(nowMicros) >= minFailedResponses;
        double rejections = unsharedRejections.value(nowMicros);
        boolean rejectsAlone = rejections >= OUTLIER_REJECTIONS && rejections >= minFailedResponses;
        return failsAlone || rejectsAlone;
    }

    /**
     * Returns whether the invoker is an outlier or ejected, so that its failures are no evidence
     * against functions.
     */
    boolean isOutlierOrEjected(long nowMicros) {
        return isOutlier(nowMicros) || isEjected();
    }

    boolean isEjected() {
        return ejectedUntilMicros != 0;
    }

    /** Returns the time at which the ejection ends; 0 while the invoker is not ejected. */
    long ejectedUntilMicros() {
        return ejectedUntilMicros;
    }

    /** Ejects the invoker and returns the duration of the ejection in microseconds. */
    long eject(long nowMicros) {
        long doubled = FIRST_EJECTION_MICROS << Math.min(MAX_DOUBLINGS, consecutiveEjections);
        long durationMicros = Math.min(MAX_EJECTION_MICROS, doubled);
        consecutiveEjections++;
        ejectedUntilMicros = nowMicros + durationMicros;
        return durationMicros;
    }

    /**
     * Ends the ejection and lowers the evidence against the invoker to just below that of an
     * outlier.
     */
    void readmit(long nowMicros) {
        ejectedUntilMicros = 0;
        unsharedRejections.set(0, nowMicros);
        attributedFailures.set(OUTLIER_FAILURES - READMISSION_MARGIN_FAILURES, nowMicros);
        failures.set(1, nowMicros);
        responses.set(1, nowMicros);
    }
}
