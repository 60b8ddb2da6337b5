package waytrestle.responses;

import java.util.Map;

/**
 * What this controller knows of one function from its responses at all invokers.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class FunctionRecord {
    /** Loads before their measured time may overrule the declared one. */
    private static final int MIN_LOADS_MEASURED = 3;

    /** Factor, either way, by which a declared load time must be off to be overruled. */
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

    /** Takes in a served response, a rejection or a failure. */
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
     * Takes out the failures at other invokers, by invoker, that a response at this one shows to be
     * theirs. None while the function itself is blamed: its recovery proves nothing against
     * anybody.
     */
    Map<String, Integer> takeFailuresOfOtherInvokers(String invoker) {
        if (circuit.isFunctionFaulty()) {
            unattributed.clear();
            return Map.of();
        }
        return unattributed.takeAllExcept(invoker);
    }

    /** The load time to go by: the declared one, until loads have shown another. */
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
