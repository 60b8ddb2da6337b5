package waytrestle.requests;

import waytrestle.requests.PendingRequests.CircuitRejectedRequest;
import waytrestle.requests.PendingRequests.SchedulerRejectedRequest;
import waytrestle.requests.RequestOutcome.Reason;
import waytrestle.scheduler.ResponseCode;

/**
 * Selects the reason that a client is given for a request that was rejected or failed.
 *
 * <p>Times are monotonic, in microseconds. Not thread-safe: used by the controller's event loop.
 */
final class ReasonSelector {
    private final long expiryMarginMicros;

    /**
     * @param expiryMarginMicros time left until its deadline at or below which a request counts as
     *     expired
     */
    ReasonSelector(long expiryMarginMicros) {
        this.expiryMarginMicros = expiryMarginMicros;
    }

    /**
     * Returns the reason of a rejection by the scheduler: from its estimate if the rejection was
     * due to one, else from the attempts.
     */
    Reason ofSchedulerRejection(
            PendingRequest request, SchedulerRejectedRequest event, long nowMicros) {
        if (event.hasEstimate()) {
            long timeLeftMicros = request.deadlineMicros - nowMicros;
            return event.estimateMicros() > timeLeftMicros
                    ? Reason.NO_FINISH_IN_TIME
                    : Reason.OVERLOADED;
        }
        if (request.attempts.anyInFlight()) {
            return Reason.DEADLINE_EXCEEDED;
        }
        return ofLastAttempt(request.attempts);
    }

    /** Returns the reason of a request that failed without a response of the function. */
    Reason ofFailure(PendingRequest request, long nowMicros) {
        if (request.deadlineMicros - nowMicros <= expiryMarginMicros) {
            return Reason.DEADLINE_EXCEEDED;
        }
        if (request.attempts.anyInFlight()) {
            return Reason.ATTEMPTS_FAILED;
        }
        return ofLastAttempt(request.attempts);
    }

    /** Returns the reason of a request rejected by the open circuit breaker of its function. */
    Reason ofOpenCircuit(CircuitRejectedRequest event) {
        return ResponseKind.of(event.lastResponseText()) == ResponseKind.NOT_FOUND
                ? Reason.FUNCTION_NOT_FOUND
                : Reason.CIRCUIT_OPEN;
    }

    /**
     * Returns the reason that corresponds to how the last attempt ended, or to there being none.
     */
    Reason ofLastAttempt(AttemptLog attempts) {
        ResponseCode lastCode = attempts.lastCode();
        if (lastCode == null) {
            return Reason.NO_READY_INVOKER;
        }
        return switch (lastCode) {
            case FULL -> Reason.INVOKERS_AT_CAPACITY;
            case CONNECT_FAILED -> Reason.UNREACHABLE;
            case NOT_LOADED -> Reason.NOT_LOADED;
            case NOT_SENT -> Reason.ATTEMPT_BUDGET_EXHAUSTED;
            case RESET -> Reason.CONNECTION_LOST;
            case TIMEOUT -> Reason.NO_RESPONSE;
            case ERROR -> ofInvokerError(attempts.lastResponseText());
            default -> Reason.ATTEMPTS_FAILED;
        };
    }

    private static Reason ofInvokerError(String responseText) {
        return ResponseKind.of(responseText) == ResponseKind.MALFORMED
                ? Reason.MALFORMED_RESPONSE
                : Reason.INVOKER_ERROR;
    }
}
