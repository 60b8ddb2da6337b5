package waytrestle.scheduler;

/**
 * Candidates for one request with their costs, of which it finds the one at a position in the order
 * of {@link RendezvousHash} ranks. Its arrays are reused for the next request.
 *
 * <p>Not thread-safe: called from the controller's event loop.
 */
final class RankedCandidates {
    /** The invokers that the candidates are among. */
    private InvokerState[] invokers = {};

    /** Indexes of the candidates in {@link #invokers}; the first {@link #size} count. */
    private int[] candidates = {};

    private double[] costsMicros = {};
    private long[] ranks = {};
    private int size;
    private double lowestCostMicros;

    /** Removes all candidates; the next ones are among the given invokers. */
    void reset(InvokerState[] allInvokers) {
        invokers = allInvokers;
        if (candidates.length < allInvokers.length) {
            candidates = new int[allInvokers.length];
            costsMicros = new double[allInvokers.length];
            ranks = new long[allInvokers.length];
        }
        size = 0;
        lowestCostMicros = Double.MAX_VALUE;
    }

    /** Adds the invoker at an index as a candidate; each may be added once. */
    void add(int index, double costMicros) {
        candidates[size] = index;
        costsMicros[size] = costMicros;
        size++;
        lowestCostMicros = Math.min(lowestCostMicros, costMicros);
    }

    /**
     * Returns a candidate whose cost is at most the tie above the lowest cost: among these, the one
     * at the given position in descending order of rank, or the last one if they are fewer. Returns
     * null if there is no candidate or the position is negative.
     *
     * @param position number of candidates to leave out, from the highest rank on
     */
    InvokerState atPosition(FunctionState function, int position, double tieMicros) {
        double maxCostMicros = lowestCostMicros + tieMicros;
        int count = 0;
        for (int i = 0; i < size; i++) {
            if (costsMicros[i] <= maxCostMicros) {
                ranks[count] = RendezvousHash.rank(function, invokers[candidates[i]]);
                count++;
            }
        }
        if (count == 0 || position < 0) {
            return null;
        }
        long rank = OrderStatistic.nthHighest(ranks, count, Math.min(position, count - 1));
        return ofRank(function, rank, maxCostMicros);
    }

    private InvokerState ofRank(FunctionState function, long rank, double maxCostMicros) {
        for (int i = 0; i < size; i++) {
            InvokerState invoker = invokers[candidates[i]];
            boolean eligible = costsMicros[i] <= maxCostMicros;
            if (eligible && RendezvousHash.rank(function, invoker) == rank) {
                return invoker;
            }
        }
        throw new IllegalStateException("no candidate has the selected rank");
    }
}
