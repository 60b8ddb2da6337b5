package waytrestle.responses;

/**
 * What responses have shown of one declared capability of one invoker.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class CapabilityEvidence {
    /** Weight of one response in the trust: about the last ten count. */
    private static final double RESPONSE_EWMA_WEIGHT = 0.1;

    /** Share of confirmed reports below which reports are ignored. */
    private static final double MIN_TRUST = 0.6;

    /** Responses before the operator is warned: fewer may be chance. */
    private static final int MIN_RESPONSES_TO_WARN = 10;

    /** Multiple of the checked responses from which unreported ones are the rule. */
    private static final int MOSTLY_UNREPORTED_RATIO = 9;

    private long unreported;
    private long confirmed;
    private long refuted;
    private double trust = 1;
    private boolean warned;

    /** Responses that should have reported something and did not. */
    long unreported() {
        return unreported;
    }

    /** Responses in which the capability held. */
    long confirmed() {
        return confirmed;
    }

    /** Responses in which it did not hold. */
    long refuted() {
        return refuted;
    }

    void addUnreported() {
        unreported++;
    }

    /** Counts a response that could not be checked as one in which the capability held. */
    void addUnchecked() {
        confirmed++;
    }

    void addChecked(boolean held) {
        if (held) {
            confirmed++;
        } else {
            refuted++;
        }
        trust += RESPONSE_EWMA_WEIGHT * ((held ? 1 : 0) - trust);
    }

    boolean isTrusted() {
        return trust >= MIN_TRUST;
    }

    boolean isMostlyUnreported() {
        return unreported >= MIN_RESPONSES_TO_WARN
                && unreported > MOSTLY_UNREPORTED_RATIO * (confirmed + refuted);
    }

    boolean isMostlyRefuted() {
        return refuted >= MIN_RESPONSES_TO_WARN && !isTrusted();
    }

    /** Whether the operator has yet to be warned; true once. */
    boolean markWarned() {
        boolean first = !warned;
        warned = true;
        return first;
    }
}
