package waytrestle.responses;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.responses.ClassifierFixture.ERROR;
import static waytrestle.responses.ClassifierFixture.MICROS_PER_MILLISECOND;
import static waytrestle.responses.ClassifierFixture.MICROS_PER_SECOND;
import static waytrestle.responses.ClassifierFixture.REJECTED;
import static waytrestle.responses.ClassifierFixture.SERVED;
import static waytrestle.responses.ClassifierFixture.readyEndpoint;
import static waytrestle.responses.ClassifierFixture.readyInvokers;
import static waytrestle.responses.ClassifierFixture.response;

import java.util.List;
import org.junit.jupiter.api.Test;
import waytrestle.responses.ClassifierCommand.ReportEjection;
import waytrestle.responses.ClassifierEvent.EndpointListReceived;
import waytrestle.responses.ClassifierEvent.TimerExpired;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.InvokerEndpoint;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;

/** Tests which invokers are ejected, for how long, and in which state the scheduler sees them. */
class OutlierEjectionTest {
    private final ClassifierFixture fixture = new ClassifierFixture();

    /**
     * Runs requests at ten invokers, six of which fail, and returns the number of reported
     * ejections.
     */
    private int ejectOutliersOfTen() {
        fixture.handle(readyInvokers(10));
        int ejections = 0;
        for (int i = 0; i < 400; i++) {
            String failing = "i" + i % 6;
            String working = "i" + (6 + i % 4);
            fixture.runRequest("f" + i % 7, response(failing, ERROR), response(working, SERVED));
            if (fixture.firstCommand(ReportEjection.class) != null) {
                ejections++;
            }
        }
        return ejections;
    }

    private void ejectFirstOfFour() {
        fixture.handle(readyInvokers(4));
        for (int i = 0; i < 10; i++) {
            fixture.runRequest("f" + i, response("i0", ERROR), response("i1", SERVED));
        }
        assertEquals(1, fixture.classifier.ejectedInvokers());
    }

    @Test
    void sixOutliersOfTenInvokersLeadToThreeEjections() {
        assertEquals(3, ejectOutliersOfTen());
        assertEquals(3, fixture.classifier.ejectedInvokers());
        assertEquals(0, fixture.classifier.openCircuits());
    }

    @Test
    void expiredEjectionReadmitsInvokerAndNextEjectionIsLonger() {
        ejectOutliersOfTen();
        fixture.advance(4 * MICROS_PER_SECOND);
        fixture.handle(new TimerExpired());
        assertEquals(0, fixture.classifier.ejectedInvokers());
        assertEquals(EndpointState.READY, fixture.firstEndpointStateForScheduler());
        fixture.runRequest("new", response("i0", ERROR), response("i7", SERVED));
        ReportEjection ejection = fixture.firstCommand(ReportEjection.class);
        assertNotNull(ejection, "one failure after the readmission ejects the invoker again");
        assertTrue(
                ejection.durationMicros() > 5 * MICROS_PER_SECOND,
                "the second ejection is longer than the first of 3 s");
    }

    @Test
    void ejectedInvokerIsDrainingInNextEndpointSnapshot() {
        ejectFirstOfFour();
        fixture.handle(readyInvokers(4));
        assertEquals(EndpointState.DRAINING, fixture.firstEndpointStateForScheduler());
    }

    @Test
    void restartOfEjectedInvokerEndsEjection() {
        ejectFirstOfFour();
        fixture.handle(readyInvokers(4));
        InvokerEndpoint restarted = readyEndpoint("i0", fixture.nowMicros());
        fixture.handle(
                new EndpointListReceived(new EndpointsUpdated(false, false, List.of(restarted))));
        assertEquals(EndpointState.READY, fixture.firstEndpointStateForScheduler());
    }

    @Test
    void failingFunctionOpensCircuitAndFailingInvokerIsEjected() {
        fixture.handle(readyInvokers(6));
        for (int i = 0; i < 40; i++) {
            String working = "i" + (1 + i % 5);
            String nextWorking = "i" + (1 + (i + 1) % 5);
            fixture.runRequest("failing", response(working, ERROR), response(nextWorking, ERROR));
            fixture.runRequest("f" + i % 5, response("i0", ERROR), response(working, SERVED));
            fixture.advance(20 * MICROS_PER_MILLISECOND);
        }
        assertEquals(1, fixture.classifier.openCircuits());
        assertEquals(1, fixture.classifier.ejectedInvokers());
        assertNotNull(fixture.runRequest("f1", response("i2", SERVED)));
    }

    @Test
    void unsharedRejectionsEjectInvokerAndSharedRejectionsEjectNone() {
        fixture.handle(readyInvokers(4));
        for (int i = 0; i < 60; i++) {
            fixture.runRequest("f", response("i" + i % 4, SERVED));
        }
        for (int i = 0; i < 60; i++) {
            fixture.runRequest("f", response("i" + i % 4, i % 4 == 0 ? REJECTED : SERVED));
            fixture.advance(20 * MICROS_PER_MILLISECOND);
        }
        assertEquals(1, fixture.classifier.ejectedInvokers());
        fixture.advance(60 * MICROS_PER_SECOND);
        fixture.handle(new TimerExpired());
        for (int i = 0; i < 400; i++) {
            fixture.runRequest("g", response("i" + i % 4, i > 100 ? REJECTED : SERVED));
            fixture.advance(5 * MICROS_PER_MILLISECOND);
        }
        assertEquals(0, fixture.classifier.ejectedInvokers(), "all invokers reject the input");
    }
}
