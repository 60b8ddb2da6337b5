package waytrestle.responses;

import waytrestle.scheduler.ResponseCode;
import waytrestle.scheduler.SchedulerSettings.Preloading;

/**
 * Decides what the end of an attempt means for its request: a rejection ends it at once, a failure
 * when several invokers agree, and a function that is not loaded when several do not know it.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class AttemptClassifier {
    /** Invokers that must not know a function before it counts as known nowhere. */
    private static final int MIN_INVOKERS_WITHOUT_FUNCTION = 2;

    private final InvokerTable invokers;
    private final int failedAttempts;
    private final boolean reportsNotLoaded;
    private final boolean loadsOnRequest;

    /**
     * A classification for requests at these invokers.
     *
     * @param failedAttempts failures alike that end a request
     */
    AttemptClassifier(InvokerTable invokers, int failedAttempts, Preloading preloading) {
        this.invokers = invokers;
        this.failedAttempts = failedAttempts;
        this.reportsNotLoaded = preloading.reportsNotLoaded();
        this.loadsOnRequest = preloading.reportsNotLoaded() && preloading.acceptsPreloads();
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
     * A not-loaded response says nothing of the function, unless no preload can mend it or the
     * function was loaded there before.
     */
    private Classification classifyNotLoaded(
            RequestRecord request, AttemptOutcome outcome, long nowMicros) {
        FunctionRecord function = outcome.function();
        String invoker = outcome.invoker();
        if (!loadsOnRequest || function.history().lastServedAtMicros(invoker) != 0) {
            request.addInvokerWithoutFunction(invoker);
        }
        boolean knownNowhere =
                !function.history().servedRecently(nowMicros)
                        && request.invokersWithoutFunction() >= neededInvokersWithoutFunction();
        if (knownNowhere) {
            function.circuit().addFailingInvoker(invoker);
            request.countAgainstFunction();
        }
        return new Classification(ResponseCode.NOT_LOADED, knownNowhere, false, knownNowhere);
    }

    private int neededInvokersWithoutFunction() {
        int ready = invokers.readyCount();
        boolean allMustAgree = reportsNotLoaded && !loadsOnRequest;
        int needed = allMustAgree ? ready : Math.min(MIN_INVOKERS_WITHOUT_FUNCTION, ready);
        return Math.max(1, needed);
    }

    private Classification classifyFailure(RequestRecord request, AttemptOutcome outcome) {
        String result = outcome.result().text();
        request.addFailure();
        if (!outcome.fromOutlier()) {
            request.addNonOutlierFailure(result);
        }
        boolean endsRequest =
                request.nonOutlierFailuresWithResult(result) >= failedAttempts
                        || request.failures() > failedAttempts;
        boolean rejected = outcome.kind() == ResponseKind.REJECTED;
        ResponseCode code = rejected ? ResponseCode.ERROR : outcome.kind().code();
        boolean functionError = rejected || outcome.kind() == ResponseKind.ERROR;
        return new Classification(code, endsRequest, functionError, false);
    }
}
