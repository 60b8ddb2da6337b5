package waytrestle.responses;

import java.util.HashSet;
import java.util.Set;

/**
 * The circuit breaker of one function, after Nygard ("Release It!", 2nd ed., ch. 5), with one probe
 * at a time when half open.
 *
 * <p>Guards against the load of a function that fails at all invokers: each of its requests costs
 * two attempts and gives no new information. The drawback: after the function recovers, its
 * requests are still rejected until the next probe, for at most the longest pause.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class FunctionCircuit {
    /** Number of invokers at which the function must have failed, if as many are ready. */
    private static final int MIN_FAILING_INVOKERS = 2;

    /** Highest number of failing invokers remembered, far above {@link #MIN_FAILING_INVOKERS}. */
    private static final int MAX_FAILING_INVOKERS = 16;

    /** Value of the request id of the probe while there is no probe. */
    private static final long NO_PROBE = 0;

    /**
     * The rules by which the circuit opens and probes.
     *
     * @param failedRequestsToOpen consecutive failed requests that open the circuit
     * @param firstPauseMicros time from the opening of the circuit to the first probe; it doubles
     *     with each failed probe
     * @param maxPauseMicros longest time until the next probe
     */
    record Rules(int failedRequestsToOpen, long firstPauseMicros, long maxPauseMicros) {}

    enum State {
        CLOSED,
        OPEN,
        HALF_OPEN
    }

    private final Rules rules;
    private final Set<String> failingInvokers = new HashSet<>();
    private int consecutiveFailedRequests;
    private ExchangeResult lastFailureResult;
    private State state = State.CLOSED;
    private long nextProbeAtMicros;
    private long pauseMicros;
    private long probeRequestId = NO_PROBE;

    FunctionCircuit(Rules rules) {
        this.rules = rules;
    }

    State state() {
        return state;
    }

    /** Returns the result of the last failed request; null if none has failed. */
    ExchangeResult lastFailureResult() {
        return lastFailureResult;
    }

    /**
     * Returns whether failures of the function are attributed to the function itself and not to an
     * invoker.
     */
    boolean isFunctionFaulty() {
        return state != State.CLOSED || consecutiveFailedRequests >= rules.failedRequestsToOpen();
    }

    /**
     * Closes the circuit and forgets earlier failures; called after the function has served or
     * rejected a request.
     */
    void close() {
        consecutiveFailedRequests = 0;
        failingInvokers.clear();
        state = State.CLOSED;
        pauseMicros = 0;
        probeRequestId = NO_PROBE;
    }

    /**
     * Records an invoker that is no outlier and at which the function failed, as evidence against
     * the function.
     */
    void addFailingInvoker(String invoker) {
        if (failingInvokers.size() < MAX_FAILING_INVOKERS) {
            failingInvokers.add(invoker);
        }
    }

    /**
     * Records a failed request. Opens the circuit if the request was the probe, or if enough
     * consecutive requests have failed at enough invokers.
     *
     * @param readyInvokers number of ready invokers, which bounds the number of failing invokers
     *     required
     */
    void recordFailedRequest(
            long requestId, ExchangeResult result, int readyInvokers, long nowMicros) {
        lastFailureResult = result;
        consecutiveFailedRequests++;
        int requiredFailingInvokers = Math.min(MIN_FAILING_INVOKERS, Math.max(1, readyInvokers));
        boolean failsAtAllInvokers =
                consecutiveFailedRequests >= rules.failedRequestsToOpen()
                        && failingInvokers.size() >= requiredFailingInvokers;
        if (requestId == probeRequestId || (state == State.CLOSED && failsAtAllInvokers)) {
            open(nowMicros);
        }
    }

    private void open(long nowMicros) {
        if (pauseMicros == 0) {
            pauseMicros = rules.firstPauseMicros();
        } else {
            pauseMicros = Math.min(rules.maxPauseMicros(), 2 * pauseMicros);
        }
        state = State.OPEN;
        nextProbeAtMicros = nowMicros + pauseMicros;
        probeRequestId = NO_PROBE;
    }

    /**
     * Returns whether the request is admitted. While the circuit is not closed, a request is
     * admitted only after the pause and if there is no probe; it becomes the probe.
     */
    boolean tryAdmit(long requestId, long nowMicros) {
        if (state == State.CLOSED) {
            return true;
        }
        if (probeRequestId == NO_PROBE && nowMicros >= nextProbeAtMicros) {
            probeRequestId = requestId;
            state = State.HALF_OPEN;
            return true;
        }
        return false;
    }

    /**
     * Records the end of a request. If the request is still the probe, it has shown neither success
     * nor failure, and the next request may become the probe.
     */
    void recordCompletedRequest(long requestId) {
        if (requestId == probeRequestId) {
            probeRequestId = NO_PROBE;
            state = State.OPEN;
        }
    }

    /** Returns the time in microseconds until the next probe, but at least the first pause. */
    long retryAfterMicros(long nowMicros) {
        return Math.max(rules.firstPauseMicros(), nextProbeAtMicros - nowMicros);
    }
}
