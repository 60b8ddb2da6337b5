package waytrestle.responses;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.responses.ClassifierFixture.CONNECTION_LOST;
import static waytrestle.responses.ClassifierFixture.ERROR;
import static waytrestle.responses.ClassifierFixture.FULL;
import static waytrestle.responses.ClassifierFixture.MALFORMED;
import static waytrestle.responses.ClassifierFixture.MICROS_PER_MILLISECOND;
import static waytrestle.responses.ClassifierFixture.NOT_FOUND;
import static waytrestle.responses.ClassifierFixture.REJECTED;
import static waytrestle.responses.ClassifierFixture.SERVED;
import static waytrestle.responses.ClassifierFixture.readyInvokers;
import static waytrestle.responses.ClassifierFixture.response;

import org.junit.jupiter.api.Test;
import waytrestle.responses.ClassifierCommand.FailFunctionNotFound;
import waytrestle.responses.ClassifierCommand.ForwardAttempt;
import waytrestle.responses.ClassifierEvent.AttemptCompleted;
import waytrestle.responses.ClassifierEvent.AttemptRequested;
import waytrestle.responses.ClassifierEvent.PreloadCompleted;
import waytrestle.responses.ClassifierEvent.RequestCompleted;
import waytrestle.scheduler.ResponseCode;

/** Tests how the ends of attempts are classified and how the number of attempts is bounded. */
class HealthTrackingClassifierTest {
    private final ClassifierFixture fixture = new ClassifierFixture();

    @Test
    void rejectionEndsRequestWithoutOpeningCircuitOrEjectingInvoker() {
        fixture.handle(readyInvokers(3));
        for (int i = 0; i < 50; i++) {
            Classification rejection = fixture.runRequest("f", response("i0", REJECTED));
            assertTrue(rejection.endsRequest());
            assertTrue(rejection.functionError());
            assertEquals(ResponseCode.REJECTED, rejection.code());
        }
        assertEquals(0, fixture.classifier.ejectedInvokers());
        assertEquals(0, fixture.classifier.openCircuits());
        assertEquals(0, fixture.classifier.retainedEntries());
    }

    @Test
    void secondFailureWithSameResultEndsRequestAndFirstDoesNot() {
        fixture.handle(readyInvokers(3));
        assertFalse(fixture.runRequest("f", response("i0", ERROR)).endsRequest());
        Classification matchingFailure =
                fixture.runRequest("g", response("i0", ERROR), response("i1", ERROR));
        assertTrue(matchingFailure.endsRequest());
        assertTrue(matchingFailure.functionError());
        assertEquals(ResponseCode.ERROR, matchingFailure.code());
    }

    @Test
    void thirdFailureWithDifferentResultEndsRequestAndSecondDoesNot() {
        fixture.handle(readyInvokers(3));
        assertFalse(
                fixture.runRequest("h", response("i0", ERROR), response("i1", CONNECTION_LOST))
                        .endsRequest(),
                "two failures with different results do not end the request");
        assertTrue(
                fixture.runRequest(
                                "k",
                                response("i0", ERROR),
                                response("i1", CONNECTION_LOST),
                                response("i2", MALFORMED))
                        .endsRequest(),
                "three failures with different results end the request");
    }

    @Test
    void notFoundResponsesOfTwoInvokersClassifyFunctionAsNotFound() {
        fixture.handle(readyInvokers(3));
        Classification notFound =
                fixture.runRequest("f", response("i0", NOT_FOUND), response("i1", NOT_FOUND));
        assertTrue(notFound.endsRequest());
        assertTrue(notFound.functionNotFound());
        assertEquals(ResponseCode.NOT_LOADED, notFound.code());
        assertFalse(
                fixture.runRequest("g", response("i0", NOT_FOUND), response("i0", NOT_FOUND))
                        .endsRequest(),
                "two not-found responses of one invoker count once");
        assertFalse(fixture.runRequest("m", response("i0", NOT_FOUND)).endsRequest());
    }

    @Test
    void notFoundResponsesForRecentlyServedFunctionDoNotEndRequest() {
        fixture.handle(readyInvokers(3));
        fixture.runRequest("h", response("i2", SERVED));
        assertFalse(
                fixture.runRequest("h", response("i0", NOT_FOUND), response("i1", NOT_FOUND))
                        .endsRequest());
    }

    @Test
    void preloadWithNotFoundResponseEndsRequestThatFoundNoInstance() {
        fixture.handle(readyInvokers(3));
        fixture.startRequest(800, "k");
        fixture.runAttempt(
                new AttemptKey(800, 0),
                response("i0", NOT_FOUND),
                MICROS_PER_MILLISECOND,
                InvokerLoadReport.EMPTY);
        fixture.handle(new PreloadCompleted("i0", "k", NOT_FOUND, -1, MICROS_PER_MILLISECOND, 0));
        assertEquals(800, fixture.firstCommand(FailFunctionNotFound.class).requestId());
    }

    @Test
    void forwardedAttemptsWithFullResponsesMatchConfiguredAttemptsPerRequest() {
        fixture.handle(readyInvokers(5));
        int forwarded = 0;
        for (int i = 0; i < 1_000; i++) {
            long requestId = fixture.newRequestId();
            fixture.startRequest(requestId, "f");
            for (int attempt = 0; attempt < 5; attempt++) {
                fixture.handle(new AttemptRequested(requestId, attempt, "i" + attempt));
                if (fixture.firstCommand(ForwardAttempt.class) != null) {
                    forwarded++;
                    fixture.handle(
                            new AttemptCompleted(
                                    requestId, attempt, FULL, InvokerLoadReport.EMPTY));
                }
            }
            fixture.handle(new RequestCompleted(requestId, false));
            fixture.advance(MICROS_PER_MILLISECOND);
        }
        assertTrue(
                forwarded >= 1_900 && forwarded <= 2_030,
                forwarded + " attempts forwarded for 1,000 requests with 2 attempts per request");
    }
}
