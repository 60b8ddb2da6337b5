package waytrestle.responses;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.responses.ClassifierFixture.ERROR;
import static waytrestle.responses.ClassifierFixture.MILLISECOND;
import static waytrestle.responses.ClassifierFixture.REJECTED;
import static waytrestle.responses.ClassifierFixture.SECOND;
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

/** Which invokers are ejected, for how long, and what the scheduler sees of it. */
class OutlierEjectionTest {
    private final ClassifierFixture fixture = new ClassifierFixture();

    /** Six of ten invokers fail; returns how many ejections were reported. */
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
    void invokersThatAloneFailAreEjectedUpToABoundedShare() {
        assertEquals(3, ejectOutliersOfTen());
        assertEquals(3, fixture.classifier.ejectedInvokers());
        assertEquals(0, fixture.classifier.openCircuits());
    }

    @Test
    void anEjectionEndsAfterItsTimeAndTheNextOneIsLonger() {
        ejectOutliersOfTen();
        fixture.advance(4 * SECOND);
        fixture.handle(new TimerExpired());
        assertEquals(0, fixture.classifier.ejectedInvokers());
        assertEquals(EndpointState.READY, fixture.firstVisibleState());
        fixture.runRequest("new", response("i0", ERROR), response("i7", SERVED));
        ReportEjection ejection = fixture.firstCommand(ReportEjection.class);
        assertNotNull(ejection, "ejected again");
        assertTrue(ejection.durationMicros() > 5 * SECOND, "and for longer");
    }

    @Test
    void anEjectedInvokerDrainsInEveryEndpointList() {
        ejectFirstOfFour();
        fixture.handle(readyInvokers(4));
        assertEquals(EndpointState.DRAINING, fixture.firstVisibleState());
    }

    @Test
    void aRestartEndsTheEjection() {
        ejectFirstOfFour();
        fixture.handle(readyInvokers(4));
        InvokerEndpoint restarted = readyEndpoint("i0", fixture.nowMicros());
        fixture.handle(
                new EndpointListReceived(new EndpointsUpdated(false, false, List.of(restarted))));
        assertEquals(EndpointState.READY, fixture.firstVisibleState());
    }

    @Test
    void aFailingFunctionAndAFailingInvokerAreDistinguished() {
        fixture.handle(readyInvokers(6));
        for (int i = 0; i < 40; i++) {
            String working = "i" + (1 + i % 5);
            String nextWorking = "i" + (1 + (i + 1) % 5);
            fixture.runRequest("failing", response(working, ERROR), response(nextWorking, ERROR));
            fixture.runRequest("f" + i % 5, response("i0", ERROR), response(working, SERVED));
            fixture.advance(20 * MILLISECOND);
        }
        assertEquals(1, fixture.classifier.openCircuits());
        assertEquals(1, fixture.classifier.ejectedInvokers());
        assertNotNull(fixture.runRequest("f1", response("i2", SERVED)));
    }

    @Test
    void anInvokerThatRejectsWhatOthersServeIsEjectedYetBadInputEjectsNone() {
        fixture.handle(readyInvokers(4));
        for (int i = 0; i < 60; i++) {
            fixture.runRequest("f", response("i" + i % 4, SERVED));
        }
        for (int i = 0; i < 60; i++) {
            fixture.runRequest("f", response("i" + i % 4, i % 4 == 0 ? REJECTED : SERVED));
            fixture.advance(20 * MILLISECOND);
        }
        assertEquals(1, fixture.classifier.ejectedInvokers());
        fixture.advance(60 * SECOND);
        fixture.handle(new TimerExpired());
        for (int i = 0; i < 400; i++) {
            fixture.runRequest("g", response("i" + i % 4, i > 100 ? REJECTED : SERVED));
            fixture.advance(5 * MILLISECOND);
        }
        assertEquals(0, fixture.classifier.ejectedInvokers(), "all reject: it is the input");
    }
}
