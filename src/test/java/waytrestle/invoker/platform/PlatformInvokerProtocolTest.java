package waytrestle.invoker.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.invoker.platform.PlatformResponseClassifierTest.parseResponse;

import java.util.Map;
import org.junit.jupiter.api.Test;
import waytrestle.http.HttpMessage;

/** Tests what the protocol reads from the headers of an invoker's response. */
class PlatformInvokerProtocolTest {
    private static final HttpMessage REPORTING_RESPONSE =
            parseResponse(
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Ahead: 3\r\nX-Units: 2\r\n"
                            + "X-Gauges: inflight:7;util:0.61;bad:x;:1;worse\r\n\r\n");

    private final PlatformInvokerProtocol protocol = new PlatformInvokerProtocol("h", true);

    @Test
    void concurrencyIsReadFromTheHeaderAndIsZeroWithoutIt() {
        HttpMessage responseWithoutHeader =
                parseResponse("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        assertEquals(0, protocol.loadMetrics(responseWithoutHeader).company());
        assertEquals(3, protocol.loadMetrics(REPORTING_RESPONSE).company());
    }

    @Test
    void concurrencyIsNotReportedIfTheSettingsDoNotDeclareIt() {
        PlatformInvokerProtocol withoutConcurrency = new PlatformInvokerProtocol("h", false);
        assertTrue(withoutConcurrency.loadMetrics(REPORTING_RESPONSE).company() < 0);
    }

    @Test
    void malformedLoadReportEntriesAreIgnored() {
        assertEquals(
                Map.of("inflight", 7.0, "util", 0.61),
                protocol.loadMetrics(REPORTING_RESPONSE).report());
    }

    @Test
    void loadedInstancesAreReadFromTheHeader() {
        assertEquals(2, PlatformInvokerProtocol.loadedInstances(REPORTING_RESPONSE));
    }
}
