package waytrestle.responses;

import waytrestle.stats.DecayingSum;

/**
 * Recent responses of one function, at all invokers and at each.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class ResponseHistory {
    /** Time over which responses fade: some seconds of evidence outlive a burst. */
    private static final double DECAY_MICROS = 10_000_000;

    /** Invokers told apart for one function; the least recently used one is forgotten. */
    static final int MAX_INVOKERS = 16;

    private static final int INITIAL_INVOKERS = 8;

    /** Responses elsewhere before they say what is usual for the function. */
    private static final double MIN_RESPONSES_ELSEWHERE = 3;

    /** A served response so recent shows that the function exists: ten minutes. */
    private static final long EXISTENCE_MICROS = 600_000_000;

    /** What is returned while the share elsewhere is not known. */
    private static final double UNKNOWN_SHARE = -1;

    private static final class Responses {
        final DecayingSum all = new DecayingSum(DECAY_MICROS);
        final DecayingSum failed = new DecayingSum(DECAY_MICROS);
        final DecayingSum rejected = new DecayingSum(DECAY_MICROS);
        long servedAtMicros;

        void add(ResponseKind kind, long nowMicros) {
            all.add(1, nowMicros);
            if (kind.isFailure() || kind == ResponseKind.NOT_LOADED) {
                failed.add(1, nowMicros);
            } else if (kind == ResponseKind.REJECTED) {
                rejected.add(1, nowMicros);
            } else {
                servedAtMicros = nowMicros;
            }
        }
    }

    private final Responses total = new Responses();
    private final LeastRecentlyUsedMap<Responses> byInvoker =
            new LeastRecentlyUsedMap<>(INITIAL_INVOKERS, MAX_INVOKERS, Responses::new);

    /** Takes in a served response, a rejection or a failure. */
    void add(String invoker, ResponseKind kind, long nowMicros) {
        total.add(kind, nowMicros);
        byInvoker.findOrAdd(invoker).add(kind, nowMicros);
    }

    /** The function was loaded at this invoker, which counts as if it had served there. */
    void markLoaded(String invoker, long nowMicros) {
        byInvoker.findOrAdd(invoker).servedAtMicros = nowMicros;
    }

    /** When the function was last served at this invoker; 0 if that is not known. */
    long lastServedAtMicros(String invoker) {
        Responses own = byInvoker.find(invoker);
        return own == null ? 0 : own.servedAtMicros;
    }

    /** Whether any invoker has served the function lately, so that it exists. */
    boolean servedRecently(long nowMicros) {
        return total.servedAtMicros != 0 && nowMicros - total.servedAtMicros < EXISTENCE_MICROS;
    }

    /** Usual share of failures at all other invokers; negative while too little is known. */
    double failureShareAtOtherInvokers(String invoker, long nowMicros) {
        Responses own = byInvoker.find(invoker);
        DecayingSum ownFailed = own == null ? null : own.failed;
        return shareElsewhere(total.failed, own, ownFailed, nowMicros);
    }

    /** Usual share of rejections at all other invokers; negative while too little is known. */
    double rejectionShareAtOtherInvokers(String invoker, long nowMicros) {
        Responses own = byInvoker.find(invoker);
        DecayingSum ownRejected = own == null ? null : own.rejected;
        return shareElsewhere(total.rejected, own, ownRejected, nowMicros);
    }

    private double shareElsewhere(
            DecayingSum counted, Responses own, DecayingSum ownCounted, long nowMicros) {
        double ownResponses = own == null ? 0 : own.all.value(nowMicros);
        double elsewhere = total.all.value(nowMicros) - ownResponses;
        if (elsewhere < MIN_RESPONSES_ELSEWHERE) {
            return UNKNOWN_SHARE;
        }
        double countedHere = ownCounted == null ? 0 : ownCounted.value(nowMicros);
        double share = (counted.value(nowMicros) - countedHere) / elsewhere;
        return Math.max(0, Math.min(1, share));
    }
}
