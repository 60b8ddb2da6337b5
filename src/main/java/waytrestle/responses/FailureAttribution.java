package waytrestle.responses;

import java.util.Map;
import waytrestle.responses.ClassifierCommand.Sink;

/**
 * Attributes failures to the function if it fails at all invokers alike, or to the invoker if the
 * function fails less at other invokers.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class FailureAttribution {
    private final InvokerTable invokers;
    private final OutlierEjection ejection;
    private final boolean invokersReportNotLoaded;

    /**
     * Creates an attribution that records failures in the health of the given invokers.
     *
     * @param invokersReportNotLoaded whether invokers are declared to send not-loaded responses; if
     *     not, a not-loaded response of a recently served function counts as a failure
     */
    FailureAttribution(
            InvokerTable invokers, OutlierEjection ejection, boolean invokersReportNotLoaded) {
        this.invokers = invokers;
        this.ejection = ejection;
        this.invokersReportNotLoaded = invokersReportNotLoaded;
    }

    /** Records the outcome of an attempt for its function and its invoker. */
    void addOutcome(AttemptOutcome outcome, long nowMicros, Sink commands) {
        ResponseKind kind = outcome.kind();
        FunctionRecord function = outcome.function();
        boolean failure = isFailure(function, kind, nowMicros);
        boolean responded = kind == ResponseKind.SERVED || kind == ResponseKind.REJECTED;
        if (!failure && !responded) {
            return;
        }
        addToInvoker(outcome, failure, nowMicros);
        if (!failure) {
            attributeEarlierFailures(function, outcome.invoker(), nowMicros, commands);
        }
        function.addResponse(outcome.invoker(), kind, nowMicros);
        if (failure && !outcome.fromOutlier()) {
            function.circuit().addFailingInvoker(outcome.invoker());
        }
    }

    private boolean isFailure(FunctionRecord function, ResponseKind kind, long nowMicros) {
        boolean unexpectedlyNotLoaded =
                kind == ResponseKind.NOT_LOADED
                        && !invokersReportNotLoaded
                        && function.history().servedRecently(nowMicros);
        return kind.isFailure() || unexpectedlyNotLoaded;
    }

    private void addToInvoker(AttemptOutcome outcome, boolean failure, long nowMicros) {
        String invoker = outcome.invoker();
        OutlierDetector health = invokers.findOrAdd(invoker).health();
        ResponseHistory history = outcome.function().history();
        if (outcome.kind() == ResponseKind.REJECTED) {
            health.addRejection(
                    history.rejectionShareAtOtherInvokers(invoker, nowMicros), nowMicros);
        }
        health.addResponse(
                failure, history.failureShareAtOtherInvokers(invoker, nowMicros), nowMicros);
    }

    /**
     * Attributes earlier failures of the function at other invokers to these invokers, because the
     * function has now served or rejected a request at the given one.
     */
    private void attributeEarlierFailures(
            FunctionRecord function, String invoker, long nowMicros, Sink commands) {
        Map<String, Integer> failuresByInvoker = function.takeFailuresOfOtherInvokers(invoker);
        for (Map.Entry<String, Integer> entry : failuresByInvoker.entrySet()) {
            String otherId = entry.getKey();
            InvokerRecord other = invokers.find(otherId);
            if (other != null) {
                double share = function.history().failureShareAtOtherInvokers(otherId, nowMicros);
                other.health().addAttributedFailures(entry.getValue(), share, nowMicros);
                ejection.ejectIfOutlier(otherId, other, nowMicros, commands);
            }
        }
    }
}
