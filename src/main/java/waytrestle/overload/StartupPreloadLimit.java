package waytrestle.overload;

/**
 * Limits the preload requests of a controller during the first preload period after its start. The
 * controller does not know which preloads its previous process requested within the current period;
 * that process may have used all preloads allowed without requests. Therefore only the preloads
 * earned by requests accepted since the start are allowed until one period has passed. From then
 * on, the scheduler alone enforces the preload limit.
 *
 * <p>Guards against preloads beyond the limit after a restart. The first preloads of a controller
 * without a previous process can be delayed.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class StartupPreloadLimit {
    private final long startedAtMicros;
    private final long periodMicros;
    private final double preloadsPerRequest;
    private int acceptedRequests;
    private int acquiredPreloads;

    /**
     * Creates a limit that applies for one period from the given time.
     *
     * @param periodMicros time over which preloads are counted; 0 if preloads are not limited
     * @param preloadsPerRequest preloads that each accepted request allows, usually a fraction
     */
    public StartupPreloadLimit(long nowMicros, long periodMicros, double preloadsPerRequest) {
        this.startedAtMicros = nowMicros;
        this.periodMicros = periodMicros;
        this.preloadsPerRequest = preloadsPerRequest;
    }

    /** Records an accepted request, which allows {@code preloadsPerRequest} preloads. */
    public void requestAccepted(long nowMicros) {
        if (!hasExpired(nowMicros)) {
            acceptedRequests++;
        }
    }

    /** Acquires one preload, or returns false if the accepted requests allow no further preload. */
    public boolean tryAcquire(long nowMicros) {
        boolean allowed =
                hasExpired(nowMicros)
                        || acquiredPreloads + 1 <= preloadsPerRequest * acceptedRequests;
        if (allowed) {
            acquiredPreloads++;
        }
        return allowed;
    }

    private boolean hasExpired(long nowMicros) {
        return nowMicros - startedAtMicros > periodMicros;
    }
}
