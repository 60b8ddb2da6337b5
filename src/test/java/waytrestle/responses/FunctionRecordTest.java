package waytrestle.responses;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static waytrestle.responses.ClassifierFixture.MICROS_PER_MILLISECOND;
import static waytrestle.responses.ClassifierFixture.SERVED;
import static waytrestle.responses.ClassifierFixture.readyInvokers;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import waytrestle.responses.ClassifierCommand.AdmitRequest;
import waytrestle.responses.ClassifierEvent.AttemptCompleted;
import waytrestle.responses.ClassifierEvent.AttemptRequested;
import waytrestle.responses.ClassifierEvent.PreloadCompleted;
import waytrestle.responses.ClassifierEvent.RequestCompleted;
import waytrestle.responses.ClassifierEvent.RequestStarted;

/**
 * Tests how responses and preloads correct the declared concurrency and load time of a function.
 */
class FunctionRecordTest {
    private static final int ROUNDS = 30;
    private static final long RUN_MICROS = 10 * MICROS_PER_MILLISECOND;

    private final ClassifierFixture fixture = new ClassifierFixture();

    @BeforeEach
    void listTwoInvokers() {
        fixture.handle(readyInvokers(2));
    }

    private void startRequests(
            long firstId, int count, String function, int declaredConcurrency, String invoker) {
        for (int i = 0; i < count; i++) {
            fixture.handle(new RequestStarted(firstId + i, function, declaredConcurrency, 0, 0));
            fixture.handle(new AttemptRequested(firstId + i, 0, invoker));
        }
    }

    private void complete(long requestId) {
        fixture.handle(new AttemptCompleted(requestId, 0, SERVED, InvokerLoadReport.EMPTY));
        fixture.handle(new RequestCompleted(requestId, true));
    }

    /** Serves up to six requests at a time in the time of one. */
    private void serveConcurrently(int round) {
        for (int count = 1; count <= 6; count++) {
            long firstId = 10_000 + round * 100 + count * 10;
            startRequests(firstId, count, "wide", 2, "i0");
            fixture.advance(RUN_MICROS);
            for (int i = 0; i < count; i++) {
                complete(firstId + i);
            }
        }
    }

    /** Serves up to four requests in flight one after the other. */
    private void serveSequentially(int round) {
        for (int count = 1; count <= 4; count++) {
            long firstId = 20_000 + round * 100 + count * 10;
            startRequests(firstId, count, "narrow", 8, "i1");
            for (int i = 0; i < count; i++) {
                fixture.advance(RUN_MICROS);
                complete(firstId + i);
            }
        }
    }

    private void serveAndPreload() {
        for (int round = 0; round < ROUNDS; round++) {
            serveConcurrently(round);
            serveSequentially(round);
            fixture.handle(
                    new PreloadCompleted(
                            "i0",
                            "wide",
                            SERVED,
                            1,
                            900 * MICROS_PER_MILLISECOND,
                            100 * MICROS_PER_MILLISECOND));
        }
    }

    private AdmitRequest admit(long id, String function, int declaredConcurrency, long loadMicros) {
        fixture.handle(new RequestStarted(id, function, declaredConcurrency, loadMicros, 0));
        return fixture.firstCommand(AdmitRequest.class);
    }

    @Test
    void declaredConcurrencyIsCorrectedToMeasuredConcurrency() {
        serveAndPreload();
        assertEquals(6, admit(1, "wide", 2, 100 * MICROS_PER_MILLISECOND).concurrencyPerInstance());
        assertEquals(1, admit(2, "narrow", 8, 0).concurrencyPerInstance());
    }

    @Test
    void declaredLoadTimeIsCorrectedToMeasuredPreloadTime() {
        serveAndPreload();
        AdmitRequest admitted = admit(1, "wide", 2, 100 * MICROS_PER_MILLISECOND);
        assertEquals(
                900 * MICROS_PER_MILLISECOND, admitted.loadMicros(), 10 * MICROS_PER_MILLISECOND);
    }

    @Test
    void functionWithoutResponsesKeepsDeclaredConcurrencyAndLoadTime() {
        serveAndPreload();
        AdmitRequest admitted = admit(3, "new", 8, 70 * MICROS_PER_MILLISECOND);
        assertEquals(8, admitted.concurrencyPerInstance());
        assertEquals(70 * MICROS_PER_MILLISECOND, admitted.loadMicros());
    }
}
