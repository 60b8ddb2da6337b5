package waytrestle.responses;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import waytrestle.responses.ClassifierEvent.RequestStarted;

/**
 * Holds the failures of the attempts of one open request.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class RequestRecord {
    private static final int INITIAL_FAILURE_CAPACITY = 2;

    private final RequestStarted startEvent;
    private final List<String> nonOutlierFailures = new ArrayList<>(INITIAL_FAILURE_CAPACITY);
    private final Set<String> invokersWithoutFunction = new HashSet<>(INITIAL_FAILURE_CAPACITY);
    private int failures;
    private boolean countsAgainstFunction;
    private ExchangeResult lastUnservedResult;

    RequestRecord(RequestStarted startEvent) {
        this.startEvent = startEvent;
    }

    RequestStarted startEvent() {
        return startEvent;
    }

    /** Returns the last result that was not a served response; null if there was none. */
    ExchangeResult lastUnservedResult() {
        return lastUnservedResult;
    }

    void setLastUnservedResult(ExchangeResult result) {
        lastUnservedResult = result;
    }

    /** Returns whether a failure of the request may be attributed to its function. */
    boolean countsAgainstFunction() {
        return countsAgainstFunction;
    }

    void countAgainstFunction() {
        countsAgainstFunction = true;
    }

    /** Records an invoker that does not know the function; each invoker counts once. */
    void addInvokerWithoutFunction(String invoker) {
        invokersWithoutFunction.add(invoker);
    }

    /** Returns the number of invokers that do not know the function. */
    int invokersWithoutFunction() {
        return invokersWithoutFunction.size();
    }

    /** Counts a failure at any invoker, outlier or not. */
    void addFailure() {
        failures++;
    }

    /** Records the result text of a failure at an invoker that is no outlier. */
    void addNonOutlierFailure(String result) {
        countsAgainstFunction = true;
        nonOutlierFailures.add(result);
    }

    /** Returns the number of failures at all invokers, outliers included. */
    int failures() {
        return failures;
    }

    /**
     * Returns the number of failures with the given result text at invokers that are no outliers.
     */
    int nonOutlierFailuresWithResult(String result) {
        int matching = 0;
        for (String failure : nonOutlierFailures) {
            if (failure.equals(result)) {
                matching++;
            }
        }
        return matching;
    }
}
