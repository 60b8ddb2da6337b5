package waytrestle.requests;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import waytrestle.requests.PendingRequests.CircuitRejectedRequest;
import waytrestle.requests.PendingRequests.SchedulerRejectedRequest;
import waytrestle.requests.RequestOutcome.Reason;
import waytrestle.scheduler.DeduplicationScope;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.ResponseCode;

/** Which reason a request without a response is given. */
class ReasonSelectorTest {
    private static final long DEADLINE = 1_000;
    private static final long MARGIN = 20;

    private final ReasonSelector reasons = new ReasonSelector(MARGIN);
    private final PendingRequest request =
            new PendingRequest(
                    1,
                    DEADLINE,
                    PendingRequestsFixture.requestClassOf(
                            Idempotency.KEYED, DeduplicationScope.ALL),
                    null);

    private Reason afterAttempt(ResponseCode code, String responseText) {
        AttemptLog attempts = new AttemptLog();
        attempts.recordResponse(code, responseText);
        return reasons.ofLastAttempt(attempts);
    }

    @Test
    void withoutAnyAttemptNoInvokerWasReady() {
        assertEquals(Reason.NO_READY_INVOKER, reasons.ofLastAttempt(new AttemptLog()));
    }

    @Test
    void lastAttemptGivesTheReason() {
        assertEquals(Reason.INVOKERS_AT_CAPACITY, afterAttempt(ResponseCode.FULL, "503"));
        assertEquals(Reason.UNREACHABLE, afterAttempt(ResponseCode.CONNECT_FAILED, "unreached"));
        assertEquals(Reason.NOT_LOADED, afterAttempt(ResponseCode.NOT_LOADED, "404"));
        assertEquals(
                Reason.ATTEMPT_BUDGET_EXHAUSTED, afterAttempt(ResponseCode.NOT_SENT, "withheld"));
        assertEquals(Reason.CONNECTION_LOST, afterAttempt(ResponseCode.RESET, "cut"));
        assertEquals(Reason.NO_RESPONSE, afterAttempt(ResponseCode.TIMEOUT, "timeout"));
        assertEquals(Reason.INVOKER_ERROR, afterAttempt(ResponseCode.ERROR, "500"));
        assertEquals(Reason.MALFORMED_RESPONSE, afterAttempt(ResponseCode.ERROR, "unreadable"));
        assertEquals(Reason.ATTEMPTS_FAILED, afterAttempt(ResponseCode.CANCELLED, "cancelled"));
    }

    @Test
    void rejectionWithAnEstimateBeyondTheTimeLeftCannotFinishInTime() {
        SchedulerRejectedRequest late = new SchedulerRejectedRequest(1, 0, 501);
        assertEquals(Reason.NO_FINISH_IN_TIME, reasons.ofSchedulerRejection(request, late, 500));
        SchedulerRejectedRequest inTime = new SchedulerRejectedRequest(1, 0, 500);
        assertEquals(Reason.OVERLOADED, reasons.ofSchedulerRejection(request, inTime, 500));
    }

    @Test
    void rejectionWithoutAnEstimateWhileAnAttemptIsInFlightExceedsTheDeadline() {
        request.attempts.recordForwarded(0, 100);
        SchedulerRejectedRequest rejection = new SchedulerRejectedRequest(1, 0, -1);
        assertEquals(
                Reason.DEADLINE_EXCEEDED, reasons.ofSchedulerRejection(request, rejection, 500));
    }

    @Test
    void failureWithinTheExpiryMarginExceedsTheDeadline() {
        assertEquals(Reason.NO_READY_INVOKER, reasons.ofFailure(request, DEADLINE - MARGIN - 1));
        assertEquals(Reason.DEADLINE_EXCEEDED, reasons.ofFailure(request, DEADLINE - MARGIN));
    }

    @Test
    void openCircuitOfAnUnknownFunctionIsReportedAsNotFound() {
        assertEquals(
                Reason.FUNCTION_NOT_FOUND,
                reasons.ofOpenCircuit(new CircuitRejectedRequest(1, "404", 0)));
        assertEquals(
                Reason.CIRCUIT_OPEN,
                reasons.ofOpenCircuit(new CircuitRejectedRequest(1, "500", 0)));
    }
}
