package waytrestle.overload;

/**
 * How many requests may be in flight at once, found from measured queueing: while responses take
 * about as long as they do without load, the limit grows by its square root; when they take longer,
 * it shrinks by how much longer. After the gradient limit of Netflix's concurrency-limits
 * ("Performance Under Load", 2018), itself after TCP Vegas.
 *
 * <p>Guards against a backlog that only grows: every response would come late, most of them for
 * clients that have given up. It can reject too much where the requests of one function vary widely
 * in run time; the tolerated latency ratio allows for that.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class ConcurrencyLimit {
    /** Multiple of the baseline latency that counts as no queueing: run times vary. */
    private static final double TOLERATED_LATENCY_RATIO = 3.0;

    /** Latency ratio that a request counts with when its deadline passed: clearly queueing. */
    private static final double TIMEOUT_LATENCY_RATIO = 2 * TOLERATED_LATENCY_RATIO;

    /** Least factor of one step: a single bad window must not stop nearly all requests. */
    private static final double MIN_GRADIENT = 0.5;

    /** Fraction of a step that is taken, so that noise evens out. */
    private static final double STEP_WEIGHT = 0.5;

    /** Least time between two steps: the limit must follow a change within seconds. */
    private static final long WINDOW_MICROS = 250_000;

    /** Least responses and timeouts of a step: fewer say nothing. */
    private static final int MIN_WINDOW_SAMPLES = 8;

    /**
     * Multiple of the minimum at which the limit starts. It doubles from there, step by step, until
     * it first meets queueing: many requests at the start build no backlog.
     */
    private static final double INITIAL_LIMIT_MULTIPLE = 8;

    /** Factor by which the limit grows until it first meets queueing. */
    private static final double STARTUP_GROWTH_FACTOR = 2;

    /** Multiple of the peak in flight that bounds the limit: it stays near its use. */
    private static final double PEAK_HEADROOM_MULTIPLE = 2.0;

    /** Value of {@link #windowStart} before the first window. */
    private static final long NEVER = 0;

    private final int minLimit;
    private final int maxLimit;
    private final FunctionLatencies latencies = new FunctionLatencies();
    private double limit;
    private boolean startingUp = true;

    private long windowStart = NEVER;
    private int windowResponses;
    private int windowTimeouts;
    private int windowPeakInFlight;
    private double windowLatencyRatios;

    /** A limit that always stays between a minimum and a maximum. */
    public ConcurrencyLimit(int minLimit, int maxLimit) {
        this.minLimit = minLimit;
        this.maxLimit = maxLimit;
        this.limit = Math.min(maxLimit, INITIAL_LIMIT_MULTIPLE * minLimit);
    }

    /** The number of requests that may be in flight now. */
    public int limit() {
        return (int) limit;
    }

    /** Records the number of requests in flight; called at each change of it. */
    public void recordInFlight(long nowMicros, int requests) {
        windowPeakInFlight = Math.max(windowPeakInFlight, requests);
        updateWhenWindowIsOver(nowMicros);
    }

    /** Records that the deadline of a request passed while it was in flight. */
    public void recordTimeout(long nowMicros) {
        windowTimeouts++;
        updateWhenWindowIsOver(nowMicros);
    }

    /** Records a response of a function that was already loaded when the request was sent. */
    public void recordResponse(long nowMicros, String function, long responseMicros) {
        windowLatencyRatios += latencies.recordAndGetRatio(nowMicros, function, responseMicros);
        windowResponses++;
        updateWhenWindowIsOver(nowMicros);
    }

    private void updateWhenWindowIsOver(long nowMicros) {
        if (windowStart == NEVER) {
            windowStart = nowMicros;
        }
        boolean windowIsOver =
                nowMicros - windowStart >= WINDOW_MICROS
                        && windowResponses + windowTimeouts >= MIN_WINDOW_SAMPLES;
        if (!windowIsOver) {
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
        double usedInFlight = Math.max(windowPeakInFlight, INITIAL_LIMIT_MULTIPLE * minLimit);
        double base = Math.min(limit, PEAK_HEADROOM_MULTIPLE * usedInFlight);
        double growth = gradient >= 1 ? Math.sqrt(base) : 0;
        double target = base * gradient + growth;
        return base + STEP_WEIGHT * (target - base);
    }

    /** Factor of the window's queueing on the limit: 1 without queueing, less with more of it. */
    private double gradient() {
        double ratioSum = windowLatencyRatios + windowTimeouts * TIMEOUT_LATENCY_RATIO;
        double meanRatio = ratioSum / (windowResponses + windowTimeouts);
        return Math.max(MIN_GRADIENT, Math.min(1, TOLERATED_LATENCY_RATIO / meanRatio));
    }

    private void startWindow(long nowMicros) {
        windowStart = nowMicros;
        windowResponses = 0;
        windowTimeouts = 0;
        windowPeakInFlight = 0;
        windowLatencyRatios = 0;
    }
}
