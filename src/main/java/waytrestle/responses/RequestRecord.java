package waytrestle.responses;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import waytrestle.responses.ClassifierEvent.RequestStarted;

/**
 * What the attempts of one open request have shown so far.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class RequestRecord {
    private static final int EXPECTED_FAILURES = 2;

    private final RequestStarted request;
    private final List<String> countedFailures = new ArrayList<>(EXPECTED_FAILURES);
    private final Set<String> invokersWithoutFunction = new HashSet<>(EXPECTED_FAILURES);
    private int failures;
    private boolean countsAgainstFunction;
    private ExchangeResult lastResult;

    RequestRecord(RequestStarted request) {
        this.request = request;
    }

    RequestStarted startEvent() {
        return request;
    }

    /** The last result other than a served response; null if there was none. */
    ExchangeResult lastUnservedResult() {
        return lastResult;
    }

    void setLastUnservedResult(ExchangeResult result) {
        lastResult = result;
    }

    /** Whether a failure of this request may be held against its function. */
    boolean countsAgainstFunction() {
        return countsAgainstFunction;
    }

    void countAgainstFunction() {
        countsAgainstFunction = true;
    }

    /** An invoker does not know the function; each invoker counts once. */
    void addInvokerWithoutFunction(String invoker) {
        invokersWithoutFunction.add(invoker);
    }

    /** How many invokers do not know the function. */
    int invokersWithoutFunction() {
        return invokersWithoutFunction.size();
    }

    /** Adds a failure of any invoker, suspected of a fault or not. */
    void addFailure() {
        failures++;
    }

    /** Adds what a failure at an invoker under no suspicion looked like. */
    void addNonOutlierFailure(String result) {
        countsAgainstFunction = true;
        countedFailures.add(result);
    }

    /** All failures, those at suspected invokers included. */
    int failures() {
        return failures;
    }

    /** How many of the counted failures looked like this one. */
    int nonOutlierFailuresWithResult(String result) {
        int alike = 0;
        for (String failure : countedFailures) {
            if (failure.equals(result)) {
                alike++;
            }
        }
        return alike;
    }
}
