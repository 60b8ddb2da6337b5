package waytrestle.responses;

import java.util.Map;

/**
 * Holds what this controller has learned about one function from its responses at all invokers.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class FunctionRecord {
    /** Measured loads needed before the measured load time may replace the declared one. */
    private static final int MIN_LOADS_MEASURED = 3;

    /**
     * Factor between the measured and the declared load time, either way, above which the measured
     * one replaces the declared one.
     */
    private static final double WRONG_LOAD_TIME_RATIO = 2;

    private final FunctionCircuit circuit;
    private final ResponseHistory history = new ResponseHistory();
    private final UnattributedFailures unattributed = new UnattributedFailures();
    private final LatencyBaseline latency = new LatencyBaseline();
    private final ConcurrencyEstimate concurrency = new ConcurrencyEstimate();

    FunctionRecord(FunctionCircuit.Rules rules) {
        this.circuit = new FunctionCircuit(rules);
    }

    FunctionCircuit circuit() {
        return circuit;
    }

    ResponseHistory history() {
        return history;
    }

    LatencyBaseline latency() {
        return latency;
    }

    ConcurrencyEstimate concurrency() {
        return concurrency;
    }

    /** Records a served response, a rejection or a failure. */
    void addResponse(String invoker, ResponseKind kind, long nowMicros) {
        if (kind.isFailure() || kind == ResponseKind.NOT_LOADED) {
            unattributed.add(invoker);
        }
        history.add(invoker, kind, nowMicros);
        if (kind == ResponseKind.SERVED || kind == ResponseKind.REJECTED) {
            circuit.close();
        }
    }

    /**
     * Removes the unattributed failures at all invokers but the given one, which has responded
     * without a failure, and returns their numbers by invoker. While the function itself counts as
     * faulty, the result is empty and the failures are discarded: the recovery of the function is
     * no evidence against an invoker.
     */
    Map<String, Integer> takeFailuresOfOtherInvokers(String respondingInvoker) {
        if (circuit.isFunctionFaulty()) {
            unattributed.clear();
            return Map.of();
        }
        return unattributed.takeAllExcept(respondingInvoker);
    }

    /**
     * Returns the declared load time, or the measured one if enough loads have shown that the
     * declared one is wrong; both in microseconds.
     */
    long correctedLoadMicros(long declaredMicros) {
        if (declaredMicros <= 0 || latency.measuredLoads() < MIN_LOADS_MEASURED) {
            return declaredMicros;
        }
        double measured = latency.loadMicros(declaredMicros);
        boolean wrong =
                measured > WRONG_LOAD_TIME_RATIO * declaredMicros
                        || measured < declaredMicros / WRONG_LOAD_TIME_RATIO;
        return wrong ? (long) measured : declaredMicros;
    }
}
