package waytrestle.overload;

/**
 * Load orders of a process that has just started, where they are rationed. What its predecessor
 * ordered within the period is not known here, and the free ones may all have been given: until one
 * period has passed only the share that comes with calls taken since the start may be given. Guards
 * the ration against restarts; the decision module keeps it from then on. It can hurt a first
 * start, which has no predecessor: its first loads come by calls alone.
 */
public final class StartupPreloadLimit {
    private final long startedAt, period;
    private final double ratio;
    private int requestAccepted, given;

    /** A period of 0 rations nothing. */
    public StartupPreloadLimit(long now, long periodMicros, double ordersPerCall) {
        this.startedAt = now;
        this.period = periodMicros;
        this.ratio = ordersPerCall;
    }

    private boolean over(long now) {
        return now - startedAt > period;
    }

    public void requestAccepted(long now) {
        requestAccepted += over(now) ? 0 : 1;
    }

    /** Whether an order may be given; counts it. */
    public boolean tryAcquire(long now) {
        if (over(now) || given + 1 <= ratio * requestAccepted) {
            given++;
            return true;
        }
        return false;
    }
}
