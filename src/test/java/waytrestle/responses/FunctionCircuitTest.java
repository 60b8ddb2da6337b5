package waytrestle.responses;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.responses.ClassifierFixture.ERROR;
import static waytrestle.responses.ClassifierFixture.MICROS_PER_MILLISECOND;
import static waytrestle.responses.ClassifierFixture.SERVED;
import static waytrestle.responses.ClassifierFixture.readyInvokers;
import static waytrestle.responses.ClassifierFixture.response;

import java.util.Random;
import org.junit.jupiter.api.Test;
import waytrestle.responses.ClassifierCommand.AdmitRequest;
import waytrestle.responses.ClassifierCommand.RejectRequest;
import waytrestle.responses.ClassifierEvent.RequestCompleted;

/** Tests when the circuit of a function opens, admits probes and closes. */
class FunctionCircuitTest {
    private static final int FAILED_REQUESTS_TO_OPEN = 5;
    private static final long AFTER_FIRST_PAUSE_MICROS = 260 * MICROS_PER_MILLISECOND;
    private static final long FIRST_PROBE_ID = 900;
    private static final long SECOND_PROBE_ID = 902;

    private final ClassifierFixture fixture = new ClassifierFixture();

    private void openCircuit(String function) {
        fixture.handle(readyInvokers(4));
        for (int i = 0; i < FAILED_REQUESTS_TO_OPEN; i++) {
            assertNotNull(
                    fixture.runRequest(function, response("i0", ERROR), response("i1", ERROR)));
        }
    }

    private void failSecondProbe(String function) {
        fixture.startRequest(SECOND_PROBE_ID, function);
        fixture.runAttempt(
                new AttemptKey(SECOND_PROBE_ID, 0),
                response("i0", ERROR),
                MICROS_PER_MILLISECOND,
                InvokerLoadReport.EMPTY);
        fixture.handle(new RequestCompleted(SECOND_PROBE_ID, false));
    }

    @Test
    void openCircuitRejectsRequestsWithLastFailureResult() {
        openCircuit("f");
        assertNull(fixture.runRequest("f", response("i0", SERVED)));
        assertEquals("500", fixture.firstCommand(RejectRequest.class).lastFailureResult().text());
        assertNotNull(
                fixture.runRequest("g", response("i0", SERVED)),
                "a request of another function is admitted");
        assertEquals(1, fixture.classifier.openCircuits());
    }

    @Test
    void openCircuitAdmitsOneProbeAtATimeAfterPause() {
        openCircuit("f");
        fixture.advance(AFTER_FIRST_PAUSE_MICROS);
        fixture.startRequest(FIRST_PROBE_ID, "f");
        assertNotNull(
                fixture.firstCommand(AdmitRequest.class),
                "the first request after the pause is admitted as the probe");
        fixture.startRequest(901, "f");
        assertNotNull(
                fixture.firstCommand(RejectRequest.class),
                "a request during the probe is rejected");
        fixture.handle(new RequestCompleted(FIRST_PROBE_ID, false));
        fixture.startRequest(SECOND_PROBE_ID, "f");
        assertNotNull(
                fixture.firstCommand(AdmitRequest.class),
                "a new probe is admitted after one that ended without a response of the function");
    }

    @Test
    void failedProbeDoublesPause() {
        openCircuit("f");
        fixture.advance(AFTER_FIRST_PAUSE_MICROS);
        failSecondProbe("f");
        fixture.startRequest(903, "f");
        assertTrue(
                fixture.firstCommand(RejectRequest.class).retryAfterMicros()
                        > 400 * MICROS_PER_MILLISECOND);
    }

    @Test
    void servedProbeClosesCircuitAndEjectsNoInvoker() {
        openCircuit("f");
        fixture.advance(AFTER_FIRST_PAUSE_MICROS);
        fixture.startRequest(FIRST_PROBE_ID, "f");
        fixture.handle(new RequestCompleted(FIRST_PROBE_ID, false));
        failSecondProbe("f");
        fixture.advance(600 * MICROS_PER_MILLISECOND);
        assertTrue(fixture.runRequest("f", response("i2", SERVED)).endsRequest());
        assertEquals(0, fixture.classifier.openCircuits());
        assertEquals(0, fixture.classifier.ejectedInvokers());
        assertEquals(0, fixture.classifier.retainedEntries());
    }

    @Test
    void failureShareOfThirtyPercentAtAllInvokersOpensNoCircuit() {
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
