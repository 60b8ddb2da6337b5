package waytrestle.responses;

import waytrestle.stats.DecayingSum;

/**
 * Counts the recent responses of one function, in total and for each invoker.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class ResponseHistory {
    /**
     * Time constant of the decay of responses: long enough that evidence outlasts a burst by some
     * seconds.
     */
    private static final double DECAY_MICROS = 10_000_000;

    /**
     * Highest number of invokers whose responses are counted separately; the least recently used
     * one is evicted.
     */
    static final int MAX_INVOKERS = 16;

    private static final int INITIAL_INVOKER_CAPACITY = 8;

    /**
     * Responses needed at other invokers before the share of failures or rejections among them is
     * known.
     */
    private static final double MIN_RESPONSES_AT_OTHER_INVOKERS = 3;

    /** Time for which a served response proves that the function exists: ten minutes. */
    private static final long EXISTENCE_PROOF_MICROS = 600_000_000;

    /** Returned as the share at other invokers while it is not known. */
    private static final double UNKNOWN_SHARE = -1;

    /** Recent responses at one invoker or at all invokers. */
    private static final class Responses {
        final DecayingSum all = new DecayingSum(DECAY_MICROS);
        final DecayingSum failed = new DecayingSum(DECAY_MICROS);
        final DecayingSum rejected = new DecayingSum(DECAY_MICROS);
        long lastServedAtMicros;

        void add(ResponseKind kind, long nowMicros) {
            all.add(1, nowMicros);
            if (kind.isFailure() || kind == ResponseKind.NOT_LOADED) {
                failed.add(1, nowMicros);
            } else if (kind == ResponseKind.REJECTED) {
                rejected.add(1, nowMicros);
            } else {
                lastServedAtMicros = nowMicros;
            }
        }
    }

    private final Responses total = new Responses();
    private final LeastRecentlyUsedMap<Responses> byInvoker =
            new LeastRecentlyUsedMap<>(INITIAL_INVOKER_CAPACITY, MAX_INVOKERS, Responses::new);

    /** Records a served response, a rejection or a failure. */
    void add(String invoker, ResponseKind kind, long nowMicros) {
        total.add(kind, nowMicros);
        byInvoker.findOrAdd(invoker).add(kind, nowMicros);
    }

    /**
     * Records that the function was loaded at an invoker, which counts as if it had served there.
     */
    void markLoaded(String invoker, long nowMicros) {
        byInvoker.findOrAdd(invoker).lastServedAtMicros = nowMicros;
    }

    /** Returns when the function was last served or loaded at an invoker; 0 if not known. */
    long lastServedAtMicros(String invoker) {
        Responses own = byInvoker.find(invoker);
        return own == null ? 0 : own.lastServedAtMicros;
    }

    /**
     * Returns whether any invoker has served the function within {@link #EXISTENCE_PROOF_MICROS},
     * so that it exists.
     */
    boolean servedRecently(long nowMicros) {
        return total.lastServedAtMicros != 0
                && nowMicros - total.lastServedAtMicros < EXISTENCE_PROOF_MICROS;
    }

    /**
     * Returns the recent share of failures at all invokers but the given one; negative while there
     * are too few responses.
     */
    double failureShareAtOtherInvokers(String invoker, long nowMicros) {
        Responses own = byInvoker.find(invoker);
        DecayingSum ownFailed = own == null ? null : own.failed;
        return shareAtOtherInvokers(total.failed, own, ownFailed, nowMicros);
    }

    /**
     * Returns the recent share of rejections at all invokers but the given one; negative while
     * there are too few responses.
     */
    double rejectionShareAtOtherInvokers(String invoker, long nowMicros) {
        Responses own = byInvoker.find(invoker);
        DecayingSum ownRejected = own == null ? null : own.rejected;
        return shareAtOtherInvokers(total.rejected, own, ownRejected, nowMicros);
    }

    private double shareAtOtherInvokers(
            DecayingSum counted, Responses own, DecayingSum ownCounted, long nowMicros) {
        double ownResponses = own == null ? 0 : own.all.value(nowMicros);
        double responsesAtOtherInvokers = total.all.value(nowMicros) - ownResponses;
        if (responsesAtOtherInvokers < MIN_RESPONSES_AT_OTHER_INVOKERS) {
            return UNKNOWN_SHARE;
        }
        double ownCountedValue = ownCounted == null ? 0 : ownCounted.value(nowMicros);
        double share = (counted.value(nowMicros) - ownCountedValue) / responsesAtOtherInvokers;
        return Math.max(0, Math.min(1, share));
    }
}
