package waytrestle.responses;

import java.util.Map;
import waytrestle.responses.ClassifierCommand.Sink;

/**
 * Decides who a failure is held against: the function, if it fails alike at all invokers, or the
 * invoker, if the function does better elsewhere.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class FailureAttribution {
    private final InvokerTable invokers;
    private final OutlierEjection ejection;
    private final boolean invokersReportNotLoaded;

    /**
     * An attribution that adds to the health of these invokers.
     *
     * @param invokersReportNotLoaded whether a not-loaded response is ordinary; otherwise it counts
     *     as a failure of the invoker
     */
    FailureAttribution(
            InvokerTable invokers, OutlierEjection ejection, boolean invokersReportNotLoaded) {
        this.invokers = invokers;
        this.ejection = ejection;
        this.invokersReportNotLoaded = invokersReportNotLoaded;
    }

    /** Takes in how an attempt ended. */
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

    /** A response here shows that failures of the function elsewhere were their invokers'. */
    private void attributeEarlierFailures(
            FunctionRecord function, String invoker, long nowMicros, Sink commands) {
        Map<String, Integer> explained = function.takeFailuresOfOtherInvokers(invoker);
        for (Map.Entry<String, Integer> entry : explained.entrySet()) {
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
