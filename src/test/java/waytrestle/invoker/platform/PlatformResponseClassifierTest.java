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

/**
 * Tests which response code the scheduler gets for the bytes of an invoker's response, and which
 * results prove that the request has not run.
 */
class PlatformResponseClassifierTest {
    private final PlatformResponseClassifier classifier = new PlatformResponseClassifier();

    /**
     * Parses the text of a response. One without a content length is parsed as if its connection
     * had been closed after the text.
     */
    static HttpMessage parseResponse(String text) {
        HttpParser parser = HttpParser.responses(HttpLimits.DEFAULT);
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        HttpMessage message = parser.next(ByteBuffer.wrap(bytes));
        return message != null ? message : parser.finishAtClose();
    }

    /**
     * Returns the code of a response.
     *
     * @param statusAndHeaders status line without the HTTP version, and the header lines
     */
    private ResponseCode codeOf(String statusAndHeaders) {
        HttpMessage response = parseResponse("HTTP/1.1 " + statusAndHeaders + "\r\n\r\n");
        return classifier.codeOfPreloadOrHealthCheck(
                PlatformInvokerProtocol.exchangeResult(response));
    }

    @Test
    void status200IsOk404IsNotLoadedAndOtherStatusesAreErrors() {
        assertEquals(ResponseCode.OK, codeOf("200 OK\r\nContent-Length: 0"));
        assertEquals(ResponseCode.NOT_LOADED, codeOf("404 x\r\nContent-Length: 0"));
        assertEquals(ResponseCode.ERROR, codeOf("500 x\r\nContent-Length: 0"));
        assertEquals(ResponseCode.ERROR, codeOf("302 x\r\nContent-Length: 0"));
    }

    @Test
    void rejectionProvesNotRunOnlyIfMarkedAsNotRun() {
        assertEquals(ResponseCode.FULL, codeOf("503 x\r\nX-Unrun: 1\r\nContent-Length: 0"));
        assertEquals(ResponseCode.NOT_SENT, codeOf("504 x\r\nX-Unrun: 1\r\nContent-Length: 0"));
        assertEquals(ResponseCode.ERROR, codeOf("503 x\r\nContent-Length: 0"));
        assertEquals(ResponseCode.ERROR, codeOf("504 x\r\nContent-Length: 0"));
    }

    @Test
    void responseEndedOnlyByConnectionCloseIsAnError() {
        assertEquals(
                ResponseCode.ERROR,
                codeOf("200 OK\r\nX-Other: 1"),
                "the response may be truncated");
    }

    @Test
    void exchangeWithoutStatusProvesNotRunOnlyIfNothingWasSent() {
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
