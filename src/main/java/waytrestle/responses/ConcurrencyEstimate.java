package waytrestle.responses;

/**
 * Estimates how many requests one instance of a function runs at a time, from responses that came
 * too quick or too slow for what was declared.
 *
 * <p>A level counts the requests that this controller has in flight there. Those of other
 * controllers make it higher in truth, so that quick responses prove concurrency and slow ones
 * prove little; they count only where nobody else had requests there.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class ConcurrencyEstimate {
    /** Levels told apart; beyond this concurrency no queue forms that matters. */
    private static final int MAX_LEVEL = 32;

    /** Multiple of the latency of a request alone up to which no request was queued. */
    private static final double UNQUEUED_LATENCY_RATIO = 1.4;

    /** Multiple of the latency of a request alone from which some request was queued. */
    private static final double QUEUED_LATENCY_RATIO = 1.7;

    /** Responses of a level before its mean is used. */
    private static final int MIN_RESPONSES = 10;

    private final LatencyByLevel allResponses = new LatencyByLevel();
    private final LatencyByLevel responsesAlone = new LatencyByLevel();

    /** Mean latency of each concurrency level. */
    private static final class LatencyByLevel {
        /** Weight of a response: about the last ten count. */
        private static final double RESPONSE_EWMA_WEIGHT = 0.1;

        /** Where counting stops; only the first few matter. */
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
     * Takes in a response of a loaded instance.
     *
     * @param level requests of the function in flight there when this one was sent, itself included
     * @param alone whether nobody else had requests there
     */
    void addResponse(int level, long latencyMicros, boolean alone) {
        if (level < 1 || level > MAX_LEVEL) {
            return;
        }
        allResponses.add(level, latencyMicros);
        if (alone) {
            responsesAlone.add(level, latencyMicros);
        }
    }

    /** The concurrency per instance to go by; 0 where none was declared and none learned. */
    int correctedConcurrency(int declared) {
        if (!allResponses.isKnown(1)) {
            return declared;
        }
        int proven = highestUnqueuedLevel();
        if (proven > declared) {
            return proven;
        }
        for (int level = Math.max(2, proven + 1); level <= Math.min(declared, MAX_LEVEL); level++) {
            if (responsesAlone.isQueued(level)) {
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
