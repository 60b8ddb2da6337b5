package waytrestle.overload;

/**
 * Adapts the number of requests that may be in flight to the measured queueing. While response
 * times stay near the baseline without queueing, the limit grows by its square root; when response
 * times rise, the limit shrinks in proportion to their ratio to the baseline. The algorithm follows
 * the gradient limit of Netflix's concurrency-limits library ("Performance Under Load", 2018),
 * which is modelled on TCP Vegas.
 *
 * <p>Guards against a backlog that only grows: every response would come late, and most would reach
 * clients that have given up. The limit can reject too many requests where run times of one
 * function vary widely, so response times up to {@link #TOLERATED_LATENCY_RATIO} times the baseline
 * do not count as queueing.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class ConcurrencyLimit {
    /** Largest multiple of the baseline latency that does not count as queueing: run times vary. */
    private static final double TOLERATED_LATENCY_RATIO = 3.0;

    /**
     * Ratio to the baseline latency recorded for a request whose deadline passed in flight: above
     * the tolerated ratio, so that it counts as queueing.
     */
    private static final double TIMEOUT_LATENCY_RATIO = 2 * TOLERATED_LATENCY_RATIO;

    /** Smallest gradient of one update: a single slow window must not stop nearly all requests. */
    private static final double MIN_GRADIENT = 0.5;

    /** Weight of the new target in one update, which smooths out noise. */
    private static final double STEP_WEIGHT = 0.5;

    /** Minimum time between two updates: the limit must follow a load change within seconds. */
    private static final long WINDOW_MICROS = 250_000;

    /** Minimum responses and timeouts per update: fewer are no reliable sample. */
    private static final int MIN_WINDOW_SAMPLES = 8;

    /**
     * Multiple of the minimum limit at which the limit starts. It starts low and grows until the
     * first queueing, so that a burst of requests at the start builds no backlog. The same number
     * of requests is the smallest peak in flight from which a later limit is computed.
     */
    private static final double INITIAL_LIMIT_MULTIPLE = 8;

    /** Factor by which each update raises the limit until queueing is first measured. */
    private static final double STARTUP_GROWTH_FACTOR = 2;

    /**
     * Largest multiple of the peak number of requests in flight from which the next limit is
     * computed, so that the limit stays near its use.
     */
    private static final double PEAK_HEADROOM_MULTIPLE = 2.0;

    /** Value of {@link #windowStartMicros} before the first window. */
    private static final long NEVER = 0;

    private final int minLimit;
    private final int maxLimit;
    private final FunctionLatencies latencies = new FunctionLatencies();
    private double limit;
    private boolean startingUp = true;

    private long windowStartMicros = NEVER;
    private int windowResponses;
    private int windowTimeouts;
    private int windowPeakInFlight;
    private double windowLatencyRatioSum;

    /** Creates a limit that stays between a minimum and a maximum number of requests in flight. */
    public ConcurrencyLimit(int minLimit, int maxLimit) {
        this.minLimit = minLimit;
        this.maxLimit = maxLimit;
        this.limit = Math.min(maxLimit, INITIAL_LIMIT_MULTIPLE * minLimit);
    }

    /** Returns the number of requests that may be in flight. */
    public int limit() {
        return (int) limit;
    }

    /** Records the number of requests in flight; called whenever the number changes. */
    public void recordInFlight(long nowMicros, int requests) {
        windowPeakInFlight = Math.max(windowPeakInFlight, requests);
        updateWhenWindowEnds(nowMicros);
    }

    /** Records that the deadline of a request passed while it was in flight. */
    public void recordTimeout(long nowMicros) {
        windowTimeouts++;
        updateWhenWindowEnds(nowMicros);
    }

    /**
     * Records the response time of a request that was sent to an invoker with the function already
     * loaded, so that the time contains no loading.
     */
    public void recordResponse(long nowMicros, String function, long responseMicros) {
        windowLatencyRatioSum += latencies.recordAndGetRatio(nowMicros, function, responseMicros);
        windowResponses++;
        updateWhenWindowEnds(nowMicros);
    }

    private void updateWhenWindowEnds(long nowMicros) {
        if (windowStartMicros == NEVER) {
            windowStartMicros = nowMicros;
        }
        boolean windowEnded =
                nowMicros - windowStartMicros >= WINDOW_MICROS
                        && windowResponses + windowTimeouts >= MIN_WINDOW_SAMPLES;
        if (!windowEnded) {
            return;
        }
        limit = Math.max(minLimit, Math.min(maxLimit, nextLimit()));
        startWindow(nowMicros);
    }

    private double nextLimit() {
        double gradient = gradient();
        startingUp &= gradient >= 1;
        if (startingUp) {
            boolean limitIsUsed = windowPeakInFlight > limit / 2;
            return limitIsUsed ? STARTUP_GROWTH_FACTOR * limit : limit;
        }
        double peakInFlight = Math.max(windowPeakInFlight, INITIAL_LIMIT_MULTIPLE * minLimit);
        double base = Math.min(limit, PEAK_HEADROOM_MULTIPLE * peakInFlight);
        double growth = gradient >= 1 ? Math.sqrt(base) : 0;
        double target = base * gradient + growth;
        return base + STEP_WEIGHT * (target - base);
    }

    /**
     * Returns the factor by which queueing in the window scales the limit: 1 without queueing,
     * smaller the longer the responses took.
     */
    private double gradient() {
        double ratioSum = windowLatencyRatioSum + windowTimeouts * TIMEOUT_LATENCY_RATIO;
        double meanRatio = ratioSum / (windowResponses + windowTimeouts);
        return Math.max(MIN_GRADIENT, Math.min(1, TOLERATED_LATENCY_RATIO / meanRatio));
    }

    private void startWindow(long nowMicros) {
        windowStartMicros = nowMicros;
        windowResponses = 0;
        windowTimeouts = 0;
        windowPeakInFlight = 0;
        windowLatencyRatioSum = 0;
    }
}
