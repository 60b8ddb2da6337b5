package waytrestle.responses;

/**
 * Estimates how many requests one instance of a function runs at a time, from latencies that are
 * too short or too long for the declared concurrency.
 *
 * <p>A concurrency level is the number of requests of the function that this controller has in
 * flight at an invoker. The true concurrency can be higher, because of requests of other
 * controllers. Short latencies therefore prove that an instance runs as many requests at a time as
 * the level says, but long latencies prove a queue only if nothing else was in flight at the
 * invoker.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class ConcurrencyEstimate {
    /** Highest concurrency level measured; at higher levels no queue forms that matters. */
    private static final int MAX_LEVEL = 32;

    /**
     * Multiple of the mean latency at level 1 up to which requests of a level count as not queued.
     */
    private static final double UNQUEUED_LATENCY_RATIO = 1.4;

    /**
     * Multiple of the mean latency at level 1 from which some requests of a level count as queued.
     */
    private static final double QUEUED_LATENCY_RATIO = 1.7;

    /** Responses needed at a level before its mean latency is used. */
    private static final int MIN_RESPONSES = 10;

    private final LatencyByLevel allResponses = new LatencyByLevel();
    private final LatencyByLevel responsesAloneAtInvoker = new LatencyByLevel();

    /** Mean latency of each concurrency level. */
    private static final class LatencyByLevel {
        /**
         * Lowest weight of a response in the mean latency, which covers about the last ten
         * responses.
         */
        private static final double RESPONSE_EWMA_WEIGHT = 0.1;

        /**
         * Response count of a level at which counting stops; only the first few responses affect
         * the weight.
         */
        private static final int MAX_RESPONSES_COUNTED = 1_000;

        private final float[] meanMicros = new float[MAX_LEVEL + 1];
        private final short[] responses = new short[MAX_LEVEL + 1];

        void add(int level, long latencyMicros) {
            double weight = 1;
            if (responses[level] > 0) {
                weight = Math.max(RESPONSE_EWMA_WEIGHT, 1.0 / (responses[level] + 1));
            }
            double mean = meanMicros[level] + weight * (latencyMicros - meanMicros[level]);
            meanMicros[level] = (float) mean;
            responses[level] = (short) Math.min(MAX_RESPONSES_COUNTED, responses[level] + 1);
        }

        boolean isKnown(int level) {
            return responses[level] >= MIN_RESPONSES;
        }

        boolean isUnqueued(int level) {
            return isKnown(level) && meanMicros[level] <= UNQUEUED_LATENCY_RATIO * meanMicros[1];
        }

        boolean isQueued(int level) {
            return isKnown(1)
                    && isKnown(level)
                    && meanMicros[level] >= QUEUED_LATENCY_RATIO * meanMicros[1];
        }
    }

    /**
     * Records the latency of a response of a loaded instance.
     *
     * @param level number of requests of the function that this controller had in flight at the
     *     invoker when the request was sent, that request included
     * @param aloneAtInvoker whether no other requests were in flight at the invoker
     */
    void addResponse(int level, long latencyMicros, boolean aloneAtInvoker) {
        if (level < 1 || level > MAX_LEVEL) {
            return;
        }
        allResponses.add(level, latencyMicros);
        if (aloneAtInvoker) {
            responsesAloneAtInvoker.add(level, latencyMicros);
        }
    }

    /**
     * Returns the declared concurrency per instance, raised or lowered if latencies prove it wrong;
     * 0 if none is declared and none proven.
     */
    int correctedConcurrency(int declared) {
        if (!allResponses.isKnown(1)) {
            return declared;
        }
        int provenLevel = highestUnqueuedLevel();
        if (provenLevel > declared) {
            return provenLevel;
        }
        for (int level = Math.max(2, provenLevel + 1);
                level <= Math.min(declared, MAX_LEVEL);
                level++) {
            if (responsesAloneAtInvoker.isQueued(level)) {
                return Math.max(1, level - 1);
            }
        }
        return declared;
    }

    private int highestUnqueuedLevel() {
        for (int level = MAX_LEVEL; level >= 1; level--) {
            if (allResponses.isUnqueued(level)) {
                return level;
            }
        }
        return 0;
    }
}
