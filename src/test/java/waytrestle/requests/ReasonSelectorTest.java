package waytrestle.requests;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import waytrestle.requests.PendingRequests.CircuitRejectedRequest;
import waytrestle.requests.PendingRequests.SchedulerRejectedRequest;
import waytrestle.requests.RequestOutcome.Reason;
import waytrestle.scheduler.DeduplicationScope;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.ResponseCode;

/** Checks which reason is selected for a request that was rejected or failed. */
class ReasonSelectorTest {
    private static final long DEADLINE_MICROS = 1_000;
    private static final long EXPIRY_MARGIN_MICROS = 20;

    private final ReasonSelector reasons = new ReasonSelector(EXPIRY_MARGIN_MICROS);
    private final PendingRequest request =
            new PendingRequest(
                    1,
                    DEADLINE_MICROS,
                    PendingRequestsFixture.requestClassOf(
                            Idempotency.KEYED, DeduplicationScope.ALL),
                    null);

    private Reason reasonAfterAttempt(ResponseCode code, String responseText) {
        AttemptLog attempts = new AttemptLog();
        attempts.recordResponse(code, responseText);
        return reasons.ofLastAttempt(attempts);
    }

    @Test
    void withoutAttemptsTheReasonIsNoReadyInvoker() {
        assertEquals(Reason.NO_READY_INVOKER, reasons.ofLastAttempt(new AttemptLog()));
    }

    @Test
    void responseCodeOfTheLastAttemptDeterminesTheReason() {
        assertEquals(Reason.INVOKERS_AT_CAPACITY, reasonAfterAttempt(ResponseCode.FULL, "503"));
        assertEquals(
                Reason.UNREACHABLE, reasonAfterAttempt(ResponseCode.CONNECT_FAILED, "unreached"));
        assertEquals(Reason.NOT_LOADED, reasonAfterAttempt(ResponseCode.NOT_LOADED, "404"));
        assertEquals(
                Reason.ATTEMPT_BUDGET_EXHAUSTED,
                reasonAfterAttempt(ResponseCode.NOT_SENT, "withheld"));
        assertEquals(Reason.CONNECTION_LOST, reasonAfterAttempt(ResponseCode.RESET, "cut"));
        assertEquals(Reason.NO_RESPONSE, reasonAfterAttempt(ResponseCode.TIMEOUT, "timeout"));
        assertEquals(Reason.INVOKER_ERROR, reasonAfterAttempt(ResponseCode.ERROR, "500"));
        assertEquals(
                Reason.MALFORMED_RESPONSE, reasonAfterAttempt(ResponseCode.ERROR, "unreadable"));
        assertEquals(
                Reason.ATTEMPTS_FAILED, reasonAfterAttempt(ResponseCode.CANCELLED, "cancelled"));
    }

    @Test
    void rejectionWithAnEstimateIsNoFinishInTimeBeyondTheTimeLeftAndOverloadedWithinIt() {
        SchedulerRejectedRequest late = new SchedulerRejectedRequest(1, 0, 501);
        assertEquals(Reason.NO_FINISH_IN_TIME, reasons.ofSchedulerRejection(request, late, 500));
        SchedulerRejectedRequest inTime = new SchedulerRejectedRequest(1, 0, 500);
        assertEquals(Reason.OVERLOADED, reasons.ofSchedulerRejection(request, inTime, 500));
    }

    @Test
    void rejectionWithoutEstimateWhileAnAttemptIsInFlightIsDeadlineExceeded() {
        request.attempts.recordForwarded(0, 100);
        SchedulerRejectedRequest rejection = new SchedulerRejectedRequest(1, 0, -1);
        assertEquals(
                Reason.DEADLINE_EXCEEDED, reasons.ofSchedulerRejection(request, rejection, 500));
    }

    @Test
    void failureIsDeadlineExceededOnlyWithinTheExpiryMargin() {
        assertEquals(
                Reason.NO_READY_INVOKER,
                reasons.ofFailure(request, DEADLINE_MICROS - EXPIRY_MARGIN_MICROS - 1));
        assertEquals(
                Reason.DEADLINE_EXCEEDED,
                reasons.ofFailure(request, DEADLINE_MICROS - EXPIRY_MARGIN_MICROS));
    }

    @Test
    void openCircuitIsFunctionNotFoundAfterStatus404AndCircuitOpenOtherwise() {
        assertEquals(
                Reason.FUNCTION_NOT_FOUND,
                reasons.ofOpenCircuit(new CircuitRejectedRequest(1, "404", 0)));
        assertEquals(
                Reason.CIRCUIT_OPEN,
                reasons.ofOpenCircuit(new CircuitRejectedRequest(1, "500", 0)));
    }
}
