package waytrestle.responses;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static waytrestle.responses.ClassifierFixture.MILLISECOND;
import static waytrestle.responses.ClassifierFixture.readyInvokers;
import static waytrestle.responses.ClassifierFixture.startReport;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import waytrestle.responses.ClassifierCommand.WarnOfMissingCapability;
import waytrestle.scheduler.StartKind;

/** What of the reports of invokers is believed. */
class CapabilityVerifierTest {
    private static final long RUN = 10 * MILLISECOND;
    private static final long LOAD_AND_RUN = 110 * MILLISECOND;
    private static final int RESPONSES_THAT_SETTLE = 20;

    private final ClassifierFixture fixture = new ClassifierFixture();

    @BeforeEach
    void listTwoInvokers() {
        fixture.handle(readyInvokers(2));
    }

    private StartKind believedStart(
            String function, String invoker, long latencyMicros, StartKind reported) {
        return fixture.serveRequest(function, invoker, latencyMicros, startReport(reported))
                .start();
    }

    private void serveWithPlausibleReports() {
        Map<String, Double> metrics = Map.of("inflight", 2.0, "queue", 1.0);
        for (int i = 0; i < RESPONSES_THAT_SETTLE; i++) {
            fixture.serveRequest("f", "i0", RUN, new InvokerLoadReport(StartKind.WARM, 0, metrics));
        }
    }

    private void serveWarm() {
        for (int i = 0; i < RESPONSES_THAT_SETTLE; i++) {
            assertEquals(StartKind.WARM, believedStart("f", "i0", RUN, StartKind.WARM));
        }
    }

    @Test
    void aLoadReportThatCannotBeTrueIsDropped() {
        serveWithPlausibleReports();
        List<Map<String, Double>> impossible =
                List.of(
                        Map.of("inflight", -1.0),
                        Map.of("inflight", 1e9),
                        Map.of("inflight", 500.0),
                        Map.of("inflight", 1.0, "queue", 9.0));
        for (Map<String, Double> metrics : impossible) {
            InvokerLoadReport report = new InvokerLoadReport(StartKind.WARM, -1, metrics);
            InvokerLoadReport believed = fixture.serveRequest("f", "i1", RUN, report);
            assertEquals(Map.of(), believed.metrics(), metrics.toString());
        }
    }

    @Test
    void aConcurrencyAboveTheReportedLoadIsDropped() {
        serveWithPlausibleReports();
        Map<String, Double> metrics = Map.of("inflight", 2.0);
        InvokerLoadReport tooMany = new InvokerLoadReport(StartKind.WARM, 90, metrics);
        assertEquals(-1, fixture.serveRequest("f", "i0", RUN, tooMany).concurrentRequests());
        InvokerLoadReport plausible = new InvokerLoadReport(StartKind.WARM, 2, metrics);
        assertEquals(2, fixture.serveRequest("f", "i0", RUN, plausible).concurrentRequests());
    }

    @Test
    void aStartThatTheLatencyRefutesIsUnknown() {
        serveWarm();
        assertEquals(StartKind.UNKNOWN, believedStart("f", "i0", RUN, StartKind.COLD));
        assertEquals(StartKind.COLD, believedStart("f", "i1", LOAD_AND_RUN, StartKind.COLD));
        assertEquals(StartKind.UNKNOWN, believedStart("g", "i1", RUN, StartKind.UNKNOWN));
        Map<String, Long> refutedCounts = new HashMap<>();
        fixture.classifier.forEachCapability(
                (invoker, capability, unreported, confirmed, refuted) ->
                        refutedCounts.put(invoker + capability, refuted));
        assertEquals(1, refutedCounts.get("i0START"));
    }

    @Test
    void anInvokerWhoseStartsAreOftenRefutedIsWarnedOfAndNoLongerBelieved() {
        serveWarm();
        for (int i = 0; i < 31; i++) {
            believedStart("f", "i0", RUN, StartKind.COLD);
        }
        WarnOfMissingCapability warning =
                new WarnOfMissingCapability("i0", DeclaredCapability.START, false);
        assertEquals(List.of(warning), fixture.warningsOf(DeclaredCapability.START), "once");
        assertEquals(StartKind.UNKNOWN, believedStart("f", "i0", RUN, StartKind.WARM));
    }
}
