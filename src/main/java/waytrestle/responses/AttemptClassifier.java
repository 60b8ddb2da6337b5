package waytrestle.responses;

import waytrestle.scheduler.ResponseCode;
import waytrestle.scheduler.SchedulerSettings.Preloading;

/**
 * Decides whether the end of an attempt ends its request: a served response or a rejection by an
 * invoker that is no outlier does at once, a failure does after enough failures with the same
 * result, and a not-loaded response does if enough invokers do not know the function.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class AttemptClassifier {
    /**
     * Number of invokers that must not know a function, if as many are ready, before it counts as
     * not found.
     */
    private static final int MIN_INVOKERS_WITHOUT_FUNCTION = 2;

    private final InvokerTable invokers;
    private final int matchingFailuresToEndRequest;
    private final boolean reportsNotLoaded;
    private final boolean preloadsAfterNotLoaded;

    /**
     * Creates a classifier for requests at the given invokers.
     *
     * @param matchingFailuresToEndRequest failures of a request with the same result that end the
     *     request
     */
    AttemptClassifier(
            InvokerTable invokers, int matchingFailuresToEndRequest, Preloading preloading) {
        this.invokers = invokers;
        this.matchingFailuresToEndRequest = matchingFailuresToEndRequest;
        this.reportsNotLoaded = preloading.reportsNotLoaded();
        this.preloadsAfterNotLoaded = preloading.reportsNotLoaded() && preloading.acceptsPreloads();
    }

    /** Classifies the end of an attempt of an open request. */
    Classification classify(RequestRecord request, AttemptOutcome outcome, long nowMicros) {
        ResponseKind kind = outcome.kind();
        if (kind == ResponseKind.SERVED) {
            return new Classification(ResponseCode.OK, true, false, false);
        }
        request.setLastUnservedResult(outcome.result());
        if (kind == ResponseKind.REJECTED && !outcome.fromOutlier()) {
            return new Classification(ResponseCode.REJECTED, true, true, false);
        }
        if (kind == ResponseKind.NOT_LOADED) {
            return classifyNotLoaded(request, outcome, nowMicros);
        }
        if (kind == ResponseKind.REJECTED || kind.isFailure()) {
            return classifyFailure(request, outcome);
        }
        return Classification.undecided(kind.code());
    }

    /**
     * Classifies a not-loaded response. It shows that the invoker does not know the function only
     * if no preload can load the function, or if the function was loaded at the invoker before.
     */
    private Classification classifyNotLoaded(
            RequestRecord request, AttemptOutcome outcome, long nowMicros) {
        FunctionRecord function = outcome.function();
        String invoker = outcome.invoker();
        if (!preloadsAfterNotLoaded || function.history().lastServedAtMicros(invoker) != 0) {
            request.addInvokerWithoutFunction(invoker);
        }
        boolean functionNotFound =
                !function.history().servedRecently(nowMicros)
                        && request.invokersWithoutFunction() >= requiredInvokersWithoutFunction();
        if (functionNotFound) {
            function.circuit().addFailingInvoker(invoker);
            request.countAgainstFunction();
        }
        return new Classification(
                ResponseCode.NOT_LOADED, functionNotFound, false, functionNotFound);
    }

    private int requiredInvokersWithoutFunction() {
        int ready = invokers.readyCount();
        boolean allMustAgree = reportsNotLoaded && !preloadsAfterNotLoaded;
        int required = allMustAgree ? ready : Math.min(MIN_INVOKERS_WITHOUT_FUNCTION, ready);
        return Math.max(1, required);
    }

    private Classification classifyFailure(RequestRecord request, AttemptOutcome outcome) {
        String result = outcome.result().text();
        request.addFailure();
        if (!outcome.fromOutlier()) {
            request.addNonOutlierFailure(result);
        }
        boolean endsRequest =
                request.nonOutlierFailuresWithResult(result) >= matchingFailuresToEndRequest
                        || request.failures() > matchingFailuresToEndRequest;
        boolean rejected = outcome.kind() == ResponseKind.REJECTED;
        ResponseCode code = rejected ? ResponseCode.ERROR : outcome.kind().code();
        boolean functionError = rejected || outcome.kind() == ResponseKind.ERROR;
        return new Classification(code, endsRequest, functionError, false);
    }
}
