package waytrestle.requests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import waytrestle.requests.RequestOutcome.AttemptSummary;
import waytrestle.scheduler.ResponseCode;

/** Checks what an attempt log reports of attempts that are in flight, failed or withheld. */
class AttemptLogTest {
    private final AttemptLog attempts = new AttemptLog();

    @Test
    void functionHasNotRunBeforeAnyAttemptIsForwarded() {
        assertFalse(attempts.mayHaveRun());
    }

    @Test
    void functionMayRunOnceAnAttemptIsSent() {
        attempts.recordForwarded(0, 100);
        attempts.recordSent(0);
        assertEquals(100, attempts.mayHaveRunSinceMicros());
        assertTrue(attempts.anyMayStillRun());
    }

    @Test
    void functionHasNotRunWhileAttemptWaitsForItsConnection() {
        attempts.recordForwarded(0, 100);
        assertFalse(attempts.mayHaveRun());
        attempts.recordSent(0);
        attempts.recordWaiting(0);
        assertFalse(attempts.mayHaveRun());
        assertTrue(attempts.anyInFlight());
    }

    @Test
    void functionHasNotRunAfterInvokerReportsNoCapacity() {
        attempts.recordForwarded(0, 100);
        attempts.recordFailure(0, ResponseCode.FULL, null);
        assertFalse(attempts.mayHaveRun());
    }

    @Test
    void functionMayHaveRunSinceForwardingOfTheEarlierOfTwoAttemptsThatMayHaveRun() {
        attempts.recordForwarded(0, 100);
        attempts.recordForwarded(1, 200);
        attempts.recordFailure(1, ResponseCode.RESET, null);
        attempts.recordFailure(0, ResponseCode.TIMEOUT, null);
        assertEquals(100, attempts.mayHaveRunSinceMicros());
    }

    @Test
    void attemptNumberThatWasNeverForwardedIsNotInFlight() {
        attempts.recordForwarded(2, 100);
        assertFalse(attempts.isInFlight(0));
        assertTrue(attempts.isInFlight(2));
        assertFalse(attempts.isInFlight(3));
    }

    @Test
    void unsentAttemptKeepsThePreviousResponseText() {
        attempts.recordForwarded(0, 100);
        attempts.recordResponse(ResponseCode.FULL, "503");
        attempts.recordResponse(ResponseCode.NOT_SENT, "withheld");
        assertEquals(new AttemptSummary(1, "503"), attempts.summary());
        assertEquals(ResponseCode.NOT_SENT, attempts.lastCode());
    }
}
