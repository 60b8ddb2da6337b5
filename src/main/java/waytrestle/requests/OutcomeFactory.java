package waytrestle.requests;

import waytrestle.requests.PendingRequests.CircuitRejectedRequest;
import waytrestle.requests.PendingRequests.SchedulerRejectedRequest;
import waytrestle.requests.RequestOutcome.AttemptSummary;
import waytrestle.requests.RequestOutcome.Failed;
import waytrestle.requests.RequestOutcome.FunctionError;
import waytrestle.requests.RequestOutcome.Reason;
import waytrestle.requests.RequestOutcome.Rejected;

/**
 * Creates the outcome of a request that has no response of its function. A rejection promises that
 * a retry is harmless; where that is not proved, the outcome is a failure.
 */
final class OutcomeFactory {
    private final ReasonSelector reasons;

    OutcomeFactory(ReasonSelector reasons) {
        this.reasons = reasons;
    }

    RequestOutcome schedulerRejection(
            PendingRequest request, SchedulerRejectedRequest event, long nowMicros) {
        if (request.attempts.functionError() != null) {
            // The function's own error says more than that the time is up.
            return failure(request, nowMicros);
        }
        Reason reason = reasons.ofSchedulerRejection(request, event, nowMicros);
        return rejection(request, reason, event.retryAfterMicros(), nowMicros);
    }

    RequestOutcome circuitRejection(CircuitRejectedRequest event) {
        return new Rejected(
                reasons.ofOpenCircuit(event),
                event.retryAfterMicros(),
                new AttemptSummary(0, event.lastResponseText()));
    }

    /** The outcome of a request whose last attempt ended after the scheduler had given it up. */
    RequestOutcome detachedCompletion(PendingRequest request, long nowMicros) {
        return rejection(request, reasons.ofLastAttempt(request.attempts), 0, nowMicros);
    }

    RequestOutcome shutdown(PendingRequest request, long nowMicros) {
        return rejection(request, Reason.SHUTTING_DOWN, 0, nowMicros);
    }

    /** The function's own error if that came last, else a failure for what happened. */
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

    RequestOutcome failure(PendingRequest request, Reason reason) {
        return new Failed(
                reason, RetrySafety.mayHaveTakenEffect(request), request.attempts.summary());
    }

    /** The outcome that a repeat finds after all clients have left. */
    RequestOutcome abandonment(PendingRequest request) {
        return new Failed(Reason.ABANDONED, request.attempts.mayHaveRun());
    }

    /** For a client whose deadline comes before the end of the request that it has joined. */
    RequestOutcome stillInFlight(boolean idempotent) {
        return new Failed(Reason.STILL_IN_FLIGHT, !idempotent);
    }

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
