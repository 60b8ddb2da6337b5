package waytrestle.requests;

import waytrestle.requests.PendingRequests.CircuitRejectedRequest;
import waytrestle.requests.PendingRequests.SchedulerRejectedRequest;
import waytrestle.requests.RequestOutcome.AttemptSummary;
import waytrestle.requests.RequestOutcome.Failed;
import waytrestle.requests.RequestOutcome.FunctionError;
import waytrestle.requests.RequestOutcome.Reason;
import waytrestle.requests.RequestOutcome.Rejected;

/**
 * Creates the outcome of a request that was not served by its function. A rejection promises the
 * client that a retry is harmless; where harmlessness is not proved, the outcome is a failure.
 *
 * <p>Times are monotonic, in microseconds. Not thread-safe: used by the controller's event loop.
 */
final class OutcomeFactory {
    private final ReasonSelector reasons;

    OutcomeFactory(ReasonSelector reasons) {
        this.reasons = reasons;
    }

    /** Returns the outcome of a request that the scheduler rejected. */
    RequestOutcome schedulerRejection(
            PendingRequest request, SchedulerRejectedRequest event, long nowMicros) {
        if (request.attempts.functionError() != null) {
            // The function's own error is more informative to the client than a rejection.
            return failure(request, nowMicros);
        }
        Reason reason = reasons.ofSchedulerRejection(request, event, nowMicros);
        return rejection(request, reason, event.retryAfterMicros(), nowMicros);
    }

    /** Returns the outcome of a request rejected by the open circuit breaker of its function. */
    RequestOutcome circuitRejection(CircuitRejectedRequest event) {
        return new Rejected(
                reasons.ofOpenCircuit(event),
                event.retryAfterMicros(),
                new AttemptSummary(0, event.lastResponseText()));
    }

    /** Returns the outcome of a detached request whose last attempt has failed. */
    RequestOutcome detachedCompletion(PendingRequest request, long nowMicros) {
        return rejection(request, reasons.ofLastAttempt(request.attempts), 0, nowMicros);
    }

    /** Returns the outcome of a request still in flight when the shutdown grace period expires. */
    RequestOutcome shutdown(PendingRequest request, long nowMicros) {
        return rejection(request, Reason.SHUTTING_DOWN, 0, nowMicros);
    }

    /**
     * Returns the function's own error if the last failed attempt ended with one, else a failure
     * with the reason selected from the attempts.
     */
    RequestOutcome failure(PendingRequest request, long nowMicros) {
        FunctionError error = request.attempts.functionError();
        if (error == null) {
            return failure(request, reasons.ofFailure(request, nowMicros));
        }
        return new FunctionError(
                error.status(),
                error.contentType(),
                error.body(),
                RetrySafety.mayHaveTakenEffect(request),
                request.attempts.summary());
    }

    /** Returns a failure with the given reason. */
    RequestOutcome failure(PendingRequest request, Reason reason) {
        return new Failed(
                reason, RetrySafety.mayHaveTakenEffect(request), request.attempts.summary());
    }

    /** Returns the outcome of a request whose clients have all left, for its repeats. */
    RequestOutcome abandonment(PendingRequest request) {
        return new Failed(Reason.ABANDONED, request.attempts.mayHaveRun());
    }

    /** Returns the outcome for a client whose deadline is before the end of the joined request. */
    RequestOutcome stillInFlight(boolean idempotent) {
        return new Failed(Reason.STILL_IN_FLIGHT, !idempotent);
    }

    /** Returns a rejection if a retry is proved harmless, else a failure. */
    private RequestOutcome rejection(
            PendingRequest request, Reason reason, long retryAfterMicros, long nowMicros) {
        if (RetrySafety.isRetryHarmless(request, nowMicros + retryAfterMicros)) {
            return new Rejected(reason, retryAfterMicros, request.attempts.summary());
        }
        if (reason == Reason.SHUTTING_DOWN) {
            return failure(request, reason);
        }
        return failure(request, nowMicros);
    }
}
