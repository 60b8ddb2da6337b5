package waytrestle.responses;

import java.util.HashSet;
import java.util.Set;

/**
 * The circuit breaker of one function, after Nygard ("Release It!", 2nd ed., ch. 5), with one probe
 * at a time when half open.
 *
 * <p>Guards against a function that fails everywhere: its requests cost two attempts each and show
 * nothing new. It can hurt a function that recovers: its requests go on failing until the next
 * probe, at most the longest pause.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class FunctionCircuit {
    /** Invokers at which the function must have failed, where there are as many. */
    private static final int MIN_FAILING_INVOKERS = 2;

    /** Failing invokers remembered; far more than are needed. */
    private static final int MAX_FAILING_INVOKERS = 16;

    /** No request is probing. */
    private static final long NO_PROBE = 0;

    /**
     * When the circuit opens and how it probes.
     *
     * @param failedRequestsToOpen requests in a row that must have failed
     * @param firstPauseMicros first pause until a probe; it doubles with each probe that fails
     * @param maxPauseMicros longest pause
     */
    record Rules(int failedRequestsToOpen, long firstPauseMicros, long maxPauseMicros) {}

    enum State {
        CLOSED,
        OPEN,
        HALF_OPEN
    }

    private final Rules rules;
    private final Set<String> failingInvokers = new HashSet<>();
    private int failedRequestsInRow;
    private ExchangeResult lastResult;
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

    /** The result of the last request that failed. */
    ExchangeResult lastFailureResult() {
        return lastResult;
    }

    /** Whether the function, and not an invoker, is held to be the cause of its failures. */
    boolean isFunctionFaulty() {
        return state != State.CLOSED || failedRequestsInRow >= rules.failedRequestsToOpen();
    }

    /** The function served or rejected, so that it works. */
    void close() {
        failedRequestsInRow = 0;
        failingInvokers.clear();
        state = State.CLOSED;
        pauseMicros = 0;
        probeRequestId = NO_PROBE;
    }

    /** A failure at an invoker under no suspicion, so that it may count against the function. */
    void addFailingInvoker(String invoker) {
        if (failingInvokers.size() < MAX_FAILING_INVOKERS) {
            failingInvokers.add(invoker);
        }
    }

    /** A request failed; the number of ready invokers bounds how many can show the failure. */
    void recordFailedRequest(
            long requestId, ExchangeResult result, int readyInvokers, long nowMicros) {
        lastResult = result;
        failedRequestsInRow++;
        int neededInvokers = Math.min(MIN_FAILING_INVOKERS, Math.max(1, readyInvokers));
        boolean failsEverywhere =
                failedRequestsInRow >= rules.failedRequestsToOpen()
                        && failingInvokers.size() >= neededInvokers;
        if (requestId == probeRequestId || (state == State.CLOSED && failsEverywhere)) {
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

    /** Whether a request is admitted; after the pause one at a time is, as a probe. */
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

    /** A request is over; after a probe that showed nothing the next request is the probe. */
    void recordCompletedRequest(long requestId) {
        if (requestId == probeRequestId) {
            probeRequestId = NO_PROBE;
            state = State.OPEN;
        }
    }

    /** Time until the next probe, at least one pause. */
    long retryAfterMicros(long nowMicros) {
        return Math.max(rules.firstPauseMicros(), nextProbeAtMicros - nowMicros);
    }
}
