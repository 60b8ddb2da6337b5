package waytrestle.responses;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static waytrestle.responses.ClassifierFixture.MICROS_PER_MILLISECOND;
import static waytrestle.responses.ClassifierFixture.readyInvokers;
import static waytrestle.responses.ClassifierFixture.startReport;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import waytrestle.responses.ClassifierCommand.WarnOfMissingCapability;
import waytrestle.scheduler.StartKind;

/** Tests which reports of invokers are passed on and which are replaced as unknown. */
class CapabilityVerifierTest {
    private static final long RUN_MICROS = 10 * MICROS_PER_MILLISECOND;
    private static final long LOAD_AND_RUN_MICROS = 110 * MICROS_PER_MILLISECOND;
    private static final int RESPONSES_FOR_KNOWN_RUN_TIME = 20;

    private final ClassifierFixture fixture = new ClassifierFixture();

    @BeforeEach
    void listTwoInvokers() {
        fixture.handle(readyInvokers(2));
    }

    private StartKind verifiedStart(
            String function, String invoker, long latencyMicros, StartKind reported) {
        return fixture.serveRequest(function, invoker, latencyMicros, startReport(reported))
                .start();
    }

    private void serveWithPlausibleReports() {
        Map<String, Double> metrics = Map.of("inflight", 2.0, "queue", 1.0);
        for (int i = 0; i < RESPONSES_FOR_KNOWN_RUN_TIME; i++) {
            fixture.serveRequest(
                    "f", "i0", RUN_MICROS, new InvokerLoadReport(StartKind.WARM, 0, metrics));
        }
    }

    private void serveWarmStarts() {
        for (int i = 0; i < RESPONSES_FOR_KNOWN_RUN_TIME; i++) {
            assertEquals(StartKind.WARM, verifiedStart("f", "i0", RUN_MICROS, StartKind.WARM));
        }
    }

    @Test
    void implausibleLoadReportIsReplacedByEmptyMetrics() {
        serveWithPlausibleReports();
        List<Map<String, Double>> impossible =
                List.of(
                        Map.of("inflight", -1.0),
                        Map.of("inflight", 1e9),
                        Map.of("inflight", 500.0),
                        Map.of("inflight", 1.0, "queue", 9.0));
        for (Map<String, Double> metrics : impossible) {
            InvokerLoadReport report = new InvokerLoadReport(StartKind.WARM, -1, metrics);
            InvokerLoadReport verified = fixture.serveRequest("f", "i1", RUN_MICROS, report);
            assertEquals(Map.of(), verified.metrics(), metrics.toString());
        }
    }

    @Test
    void concurrencyAboveReportedRequestsInFlightIsReplacedByNotReported() {
        serveWithPlausibleReports();
        Map<String, Double> metrics = Map.of("inflight", 2.0);
        InvokerLoadReport tooMany = new InvokerLoadReport(StartKind.WARM, 90, metrics);
        assertEquals(-1, fixture.serveRequest("f", "i0", RUN_MICROS, tooMany).concurrentRequests());
        InvokerLoadReport plausible = new InvokerLoadReport(StartKind.WARM, 2, metrics);
        assertEquals(
                2, fixture.serveRequest("f", "i0", RUN_MICROS, plausible).concurrentRequests());
    }

    @Test
    void coldStartWithLatencyOfWarmStartBecomesUnknownAndCountsAsRefuted() {
        serveWarmStarts();
        assertEquals(StartKind.UNKNOWN, verifiedStart("f", "i0", RUN_MICROS, StartKind.COLD));
        assertEquals(StartKind.COLD, verifiedStart("f", "i1", LOAD_AND_RUN_MICROS, StartKind.COLD));
        assertEquals(StartKind.UNKNOWN, verifiedStart("g", "i1", RUN_MICROS, StartKind.UNKNOWN));
        Map<String, Long> refutedCounts = new HashMap<>();
        fixture.classifier.forEachCapability(
                (invoker, capability, unreported, confirmed, refuted) ->
                        refutedCounts.put(invoker + capability, refuted));
        assertEquals(1, refutedCounts.get("i0START"));
    }

    @Test
    void oftenRefutedStartsLeadToOneWarningAndUnknownStarts() {
        serveWarmStarts();
        for (int i = 0; i < 31; i++) {
            verifiedStart("f", "i0", RUN_MICROS, StartKind.COLD);
        }
        WarnOfMissingCapability warning =
                new WarnOfMissingCapability("i0", DeclaredCapability.START, false);
        assertEquals(
                List.of(warning),
                fixture.warningsOf(DeclaredCapability.START),
                "exactly one warning");
        assertEquals(StartKind.UNKNOWN, verifiedStart("f", "i0", RUN_MICROS, StartKind.WARM));
    }
}
