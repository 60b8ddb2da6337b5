package waytrestle.responses;

/**
 * Counts how often responses of one invoker confirmed or refuted one declared capability, and
 * decides from these responses whether the reports of the invoker are trusted.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class CapabilityEvidence {
    /** Weight of one response in {@link #trust}, which averages about the last ten responses. */
    private static final double RESPONSE_EWMA_WEIGHT = 0.1;

    /** Average share of confirming responses below which reports are ignored. */
    private static final double MIN_TRUST = 0.6;

    /**
     * Unreported or refuted responses needed before the operator is warned: fewer may be chance.
     */
    private static final int MIN_RESPONSES_TO_WARN = 10;

    /**
     * Multiple of the confirmed and refuted responses that the unreported ones must exceed before
     * the operator is warned of them.
     */
    private static final int MOSTLY_UNREPORTED_RATIO = 9;

    private long unreported;
    private long confirmed;
    private long refuted;
    private double trust = 1;
    private boolean warned;

    /** Returns the number of responses without the declared report. */
    long unreported() {
        return unreported;
    }

    /** Returns the number of responses that confirmed the capability or could not be checked. */
    long confirmed() {
        return confirmed;
    }

    /** Returns the number of responses that refuted the capability. */
    long refuted() {
        return refuted;
    }

    void addUnreported() {
        unreported++;
    }

    /** Counts a response that could not be checked as confirmed; the trust is unchanged. */
    void addUnchecked() {
        confirmed++;
    }

    /** Counts a response that confirmed or refuted the capability, and updates the trust. */
    void addChecked(boolean confirms) {
        if (confirms) {
            confirmed++;
        } else {
            refuted++;
        }
        trust += RESPONSE_EWMA_WEIGHT * ((confirms ? 1 : 0) - trust);
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

    /** Marks the operator as warned; returns true on the first call and false on later ones. */
    boolean markWarned() {
        boolean first = !warned;
        warned = true;
        return first;
    }
}
