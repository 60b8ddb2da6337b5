package waytrestle.requests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import waytrestle.requests.RequestOutcome.AttemptSummary;
import waytrestle.scheduler.ResponseCode;

/** What the log of a request's attempts says of them. */
class AttemptLogTest {
    private final AttemptLog attempts = new AttemptLog();

    @Test
    void functionHasNotRunBeforeAnyAttemptIsForwarded() {
        assertFalse(attempts.mayHaveRun());
    }

    @Test
    void functionMayRunWhileAnAttemptIsInFlight() {
        attempts.forwarded(0, 100);
        attempts.sent(0);
        assertEquals(100, attempts.mayHaveRunSince());
        assertTrue(attempts.anyMayStillRun());
    }

    @Test
    void functionHasNotRunWhileItsAttemptsWaitForTheirConnections() {
        attempts.forwarded(0, 100);
        assertFalse(attempts.mayHaveRun());
        attempts.sent(0);
        attempts.waiting(0);
        assertFalse(attempts.mayHaveRun());
        assertTrue(attempts.anyInFlight());
    }

    @Test
    void functionHasNotRunAfterAttemptsThatProveIt() {
        attempts.forwarded(0, 100);
        attempts.failed(0, ResponseCode.FULL, null);
        assertFalse(attempts.mayHaveRun());
    }

    @Test
    void functionMayHaveRunSinceTheEarliestAttemptWithoutProof() {
        attempts.forwarded(0, 100);
        attempts.forwarded(1, 200);
        attempts.failed(1, ResponseCode.RESET, null);
        attempts.failed(0, ResponseCode.TIMEOUT, null);
        assertEquals(100, attempts.mayHaveRunSince());
    }

    @Test
    void attemptThatWasNeverForwardedIsNotInFlight() {
        attempts.forwarded(2, 100);
        assertFalse(attempts.isInFlight(0));
        assertTrue(attempts.isInFlight(2));
        assertFalse(attempts.isInFlight(3));
    }

    @Test
    void attemptThatWasNotSentKeepsTheResponseBeforeIt() {
        attempts.forwarded(0, 100);
        attempts.responseReceived(ResponseCode.FULL, "503");
        attempts.responseReceived(ResponseCode.NOT_SENT, "withheld");
        assertEquals(new AttemptSummary(1, "503"), attempts.summary());
        assertEquals(ResponseCode.NOT_SENT, attempts.lastCode());
    }
}
