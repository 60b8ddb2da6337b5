package waytrestle.scheduler;

/**
 * Highest-random-weight hashing (Thaler and Ravishankar, 1996): ranks the invokers for a function
 * by a hash of both names, so that controllers that share no state obtain equal rankings.
 */
final class RendezvousHash {
    private static final long FNV_OFFSET = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;
    private static final long FIRST_MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final long SECOND_MULTIPLIER = 0xD6E8FEB86659FD93L;

    private RendezvousHash() {}

    /** Returns the hash of the name of a function or an invoker: FNV-1a, mixed once more. */
    static long hash(String name) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * FNV_PRIME;
        }
        return hash ^ (hash >>> 29);
    }

    /**
     * Returns the rank of an invoker for a function; never negative, and the highest comes first.
     */
    static long rank(FunctionState function, InvokerState invoker) {
        long rank = (function.hash ^ invoker.hash) * FIRST_MULTIPLIER;
        rank ^= rank >>> 32;
        rank *= SECOND_MULTIPLIER;
        return (rank ^ (rank >>> 32)) >>> 1;
    }

    /** Returns whether the first invoker ranks above the second for the function. */
    static boolean prefers(FunctionState function, InvokerState first, InvokerState second) {
        return rank(function, first) > rank(function, second);
    }
}
