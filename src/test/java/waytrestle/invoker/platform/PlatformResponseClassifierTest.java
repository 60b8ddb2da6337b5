package waytrestle.invoker.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.Map;
import org.junit.jupiter.api.Test;
import waytrestle.http.HttpLimits;
import waytrestle.http.HttpMessage;
import waytrestle.http.HttpParser;
import waytrestle.requests.PendingRequests;
import waytrestle.responses.ExchangeResult;
import waytrestle.scheduler.ResponseCode;

/** What an invoker's answer proves, from its bytes to the module's code. */
class PlatformResponseClassifierTest {
    private final PlatformResponseClassifier proof = new PlatformResponseClassifier();

    private static HttpMessage message(String text) {
        HttpParser parser = HttpParser.responses(HttpLimits.DEFAULT);
        HttpMessage whole = parser.next(ByteBuffer.wrap(text.getBytes()));
        return whole != null ? whole : parser.closed();
    }

    private ResponseCode code(String head) {
        return proof.codeOfPreload(
                PlatformInvokerProtocol.reply(message("HTTP/1.1 " + head + "\r\n\r\n")));
    }

    @Test
    void eachAnswerComesToItsCodeAndOnlyMarkedRefusalsProveThatNothingRan() {
        assertEquals(ResponseCode.OK, code("200 OK\r\nContent-Length: 0"));
        assertEquals(ResponseCode.NOT_LOADED, code("404 x\r\nContent-Length: 0"));
        assertEquals(ResponseCode.FULL, code("503 x\r\nX-Unrun: 1\r\nContent-Length: 0"));
        assertEquals(ResponseCode.NOT_SENT, code("504 x\r\nX-Unrun: 1\r\nContent-Length: 0"));
        assertEquals(ResponseCode.ERROR, code("500 x\r\nContent-Length: 0"));
        assertEquals(ResponseCode.ERROR, code("503 x\r\nContent-Length: 0"));
        assertEquals(ResponseCode.ERROR, code("504 x\r\nContent-Length: 0"));
        assertEquals(ResponseCode.ERROR, code("302 x\r\nContent-Length: 0"));
        assertEquals(
                ResponseCode.ERROR,
                code("200 OK\r\nX-Other: 1"),
                "only the close ended it: it may be cut off");
        for (ExchangeResult.Kind how : ExchangeResult.Kind.values()) {
            boolean nothing =
                    how == ExchangeResult.Kind.NOT_CONNECTED
                            || how == ExchangeResult.Kind.NO_CAPACITY
                            || how == ExchangeResult.Kind.WITHHELD;
            if (how != ExchangeResult.Kind.STATUS) {
                assertEquals(
                        nothing,
                        PendingRequests.provesNotRun(proof.codeOfPreload(ExchangeResult.of(how))),
                        how.name());
            }
        }
    }

    @Test
    void companyAndGaugesAreReadAndWhatIsMalformedIsLeftOut() {
        PlatformInvokerProtocol p = new PlatformInvokerProtocol("h", true);
        assertEquals(0, p.told(message("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")).company());
        HttpMessage m =
                message(
                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Ahead: 3\r\nX-Units: 2\r\n"
                                + "X-Gauges: inflight:7;util:0.61;bad:x;:1;worse\r\n\r\n");
        assertEquals(3, p.told(m).company());
        assertEquals(Map.of("inflight", 7.0, "util", 0.61), p.told(m).report());
        assertEquals(2, PlatformInvokerProtocol.units(m));
        assertTrue(
                new PlatformInvokerProtocol("h", false).told(m).company() < 0,
                "not promised, so not believed");
    }
}
