package waytrestle.invoker.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import waytrestle.http.HttpLimits;
import waytrestle.http.HttpMessage;
import waytrestle.http.HttpParser;
import waytrestle.requests.PendingRequests;
import waytrestle.responses.ExchangeResult;
import waytrestle.scheduler.ResponseCode;

/** What an invoker's response proves, from its bytes to the scheduler's code. */
class PlatformResponseClassifierTest {
    private final PlatformResponseClassifier classifier = new PlatformResponseClassifier();

    /** Parses a response, which may be ended by the close of its connection. */
    static HttpMessage parseResponse(String text) {
        HttpParser parser = HttpParser.responses(HttpLimits.DEFAULT);
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        HttpMessage message = parser.next(ByteBuffer.wrap(bytes));
        return message != null ? message : parser.finishAtClose();
    }

    private ResponseCode codeOf(String head) {
        HttpMessage response = parseResponse("HTTP/1.1 " + head + "\r\n\r\n");
        return classifier.codeOfPreloadOrHealthCheck(
                PlatformInvokerProtocol.exchangeResult(response));
    }

    @Test
    void eachStatusHasItsCode() {
        assertEquals(ResponseCode.OK, codeOf("200 OK\r\nContent-Length: 0"));
        assertEquals(ResponseCode.NOT_LOADED, codeOf("404 x\r\nContent-Length: 0"));
        assertEquals(ResponseCode.ERROR, codeOf("500 x\r\nContent-Length: 0"));
        assertEquals(ResponseCode.ERROR, codeOf("302 x\r\nContent-Length: 0"));
    }

    @Test
    void onlyARejectionMarkedAsNotRunProvesThatNothingRan() {
        assertEquals(ResponseCode.FULL, codeOf("503 x\r\nX-Unrun: 1\r\nContent-Length: 0"));
        assertEquals(ResponseCode.NOT_SENT, codeOf("504 x\r\nX-Unrun: 1\r\nContent-Length: 0"));
        assertEquals(ResponseCode.ERROR, codeOf("503 x\r\nContent-Length: 0"));
        assertEquals(ResponseCode.ERROR, codeOf("504 x\r\nContent-Length: 0"));
    }

    @Test
    void aResponseThatOnlyTheCloseOfItsConnectionEndedIsAnError() {
        assertEquals(ResponseCode.ERROR, codeOf("200 OK\r\nX-Other: 1"), "it may be cut off");
    }

    @Test
    void onlyAnExchangeInWhichNothingWasSentProvesThatNothingRan() {
        for (ExchangeResult.Kind kind : ExchangeResult.Kind.values()) {
            boolean nothingSent =
                    kind == ExchangeResult.Kind.NOT_CONNECTED
                            || kind == ExchangeResult.Kind.NO_CAPACITY
                            || kind == ExchangeResult.Kind.WITHHELD;
            if (kind != ExchangeResult.Kind.STATUS) {
                ResponseCode code = classifier.codeOfPreloadOrHealthCheck(ExchangeResult.of(kind));
                assertEquals(nothingSent, PendingRequests.provesNotRun(code), kind.name());
            }
        }
    }
}
