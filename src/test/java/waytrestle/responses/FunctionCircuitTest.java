package waytrestle.responses;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.responses.ClassifierFixture.ERROR;
import static waytrestle.responses.ClassifierFixture.MILLISECOND;
import static waytrestle.responses.ClassifierFixture.SERVED;
import static waytrestle.responses.ClassifierFixture.readyInvokers;
import static waytrestle.responses.ClassifierFixture.response;

import java.util.Random;
import org.junit.jupiter.api.Test;
import waytrestle.responses.ClassifierCommand.AdmitRequest;
import waytrestle.responses.ClassifierCommand.RejectRequest;
import waytrestle.responses.ClassifierEvent.RequestCompleted;

/** When requests of a function that fails everywhere are rejected, and when they are not. */
class FunctionCircuitTest {
    private static final int FAILURES_THAT_OPEN = 5;
    private static final long AFTER_FIRST_PAUSE = 260 * MILLISECOND;
    private static final long FIRST_PROBE = 900;
    private static final long SECOND_PROBE = 902;

    private final ClassifierFixture fixture = new ClassifierFixture();

    private void openCircuit(String function) {
        fixture.handle(readyInvokers(4));
        for (int i = 0; i < FAILURES_THAT_OPEN; i++) {
            assertNotNull(
                    fixture.runRequest(function, response("i0", ERROR), response("i1", ERROR)));
        }
    }

    private void failSecondProbe(String function) {
        fixture.startRequest(SECOND_PROBE, function);
        fixture.runAttempt(
                new AttemptKey(SECOND_PROBE, 0),
                response("i0", ERROR),
                MILLISECOND,
                InvokerLoadReport.EMPTY);
        fixture.handle(new RequestCompleted(SECOND_PROBE, false));
    }

    @Test
    void requestsOfAFunctionThatFailsEverywhereAreRejectedWithItsLastResult() {
        openCircuit("f");
        assertNull(fixture.runRequest("f", response("i0", SERVED)));
        assertEquals("500", fixture.firstCommand(RejectRequest.class).lastFailureResult().text());
        assertNotNull(fixture.runRequest("g", response("i0", SERVED)), "others go on");
        assertEquals(1, fixture.classifier.openCircuits());
    }

    @Test
    void afterThePauseOneRequestAtATimeIsAdmittedAsAProbe() {
        openCircuit("f");
        fixture.advance(AFTER_FIRST_PAUSE);
        fixture.startRequest(FIRST_PROBE, "f");
        assertNotNull(fixture.firstCommand(AdmitRequest.class), "the probe");
        fixture.startRequest(901, "f");
        assertNotNull(fixture.firstCommand(RejectRequest.class), "one at a time");
        fixture.handle(new RequestCompleted(FIRST_PROBE, false));
        fixture.startRequest(SECOND_PROBE, "f");
        assertNotNull(fixture.firstCommand(AdmitRequest.class), "the first probe showed nothing");
    }

    @Test
    void aFailedProbeDoublesThePause() {
        openCircuit("f");
        fixture.advance(AFTER_FIRST_PAUSE);
        failSecondProbe("f");
        fixture.startRequest(903, "f");
        assertTrue(
                fixture.firstCommand(RejectRequest.class).retryAfterMicros() > 400 * MILLISECOND);
    }

    @Test
    void aServedProbeClosesTheCircuitAndIsHeldAgainstNoInvoker() {
        openCircuit("f");
        fixture.advance(AFTER_FIRST_PAUSE);
        fixture.startRequest(FIRST_PROBE, "f");
        fixture.handle(new RequestCompleted(FIRST_PROBE, false));
        failSecondProbe("f");
        fixture.advance(600 * MILLISECOND);
        assertTrue(fixture.runRequest("f", response("i2", SERVED)).endsRequest());
        assertEquals(0, fixture.classifier.openCircuits());
        assertEquals(0, fixture.classifier.ejectedInvokers());
        assertEquals(0, fixture.classifier.retainedEntries());
    }

    @Test
    void aFunctionThatFailsNowAndThenAtAllInvokersStaysAdmitted() {
        fixture.handle(readyInvokers(4));
        Random random = new Random(3);
        for (int i = 0; i < 2_000; i++) {
            ExchangeResult first = random.nextInt(10) < 3 ? ERROR : SERVED;
            String firstInvoker = "i" + random.nextInt(4);
            String secondInvoker = "i" + random.nextInt(4);
            ExchangeResult second = random.nextInt(10) < 3 ? ERROR : SERVED;
            fixture.runRequest("f", response(firstInvoker, first), response(secondInvoker, second));
        }
        assertEquals(0, fixture.classifier.ejectedInvokers(), "all invokers fail alike");
        assertEquals(0, fixture.classifier.openCircuits());
    }
}
