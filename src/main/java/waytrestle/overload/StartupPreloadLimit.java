package waytrestle.overload;

/**
 * Limits the preload requests of a controller that has just started, where preloads are limited at
 * all. What an earlier incarnation requested within the current period is not known, and it may
 * have used all free preloads; so until one period has passed, only the preloads that come with
 * requests accepted since the start are allowed. From then on the scheduler keeps the limit alone.
 *
 * <p>Guards the preload limit against restarts. It can delay the first preloads of a controller
 * that has no earlier incarnation.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class StartupPreloadLimit {
    private final long startedAt;
    private final long periodMicros;
    private final double preloadsPerRequest;
    private int acceptedRequests;
    private int acquiredPreloads;

    /**
     * A limit that holds for one period from now on.
     *
     * @param periodMicros time over which preloads are limited; 0 where they are not limited
     */
    public StartupPreloadLimit(long nowMicros, long periodMicros, double preloadsPerRequest) {
        this.startedAt = nowMicros;
        this.periodMicros = periodMicros;
        this.preloadsPerRequest = preloadsPerRequest;
    }

    /** Records an accepted request, which allows its fraction of a preload. */
    public void requestAccepted(long nowMicros) {
        if (!hasExpired(nowMicros)) {
            acceptedRequests++;
        }
    }

    /** Takes one preload from the limit, or returns false where it is used up. */
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
        return nowMicros - startedAt > periodMicros;
    }
}
