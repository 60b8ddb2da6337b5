package waytrestle.front.platform;

import java.nio.charset.StandardCharsets;
import waytrestle.front.FrontEnds;
import waytrestle.http.HttpServer;
import waytrestle.requests.RequestOutcome;

/**
 * Words the responses to clients. A rejection says that a retry is harmless; a failure says that
 * the request may have run. Stateless.
 */
final class PlatformResponseWriter {
    static final String CONTENT_TYPE = "text/plain";

    private static final String RETRY_AFTER_MILLIS_HEADER = "X-Pushback-Ms";
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final long MICROS_PER_MILLI = 1_000;

    private PlatformResponseWriter() {}

    /** The body of a response that says one line. */
    static byte[] body(String line) {
        return (line + "\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Answers a readiness check. */
    static void writeReadiness(HttpServer.Exchange exchange, Readiness readiness) {
        exchange.answer(readiness.status(), CONTENT_TYPE, body(readiness.wireText()));
    }

    /** Answers a message that is not a valid request. */
    static void writeInvalidRequest(HttpServer.Exchange exchange, InvalidRequestException reason) {
        exchange.answer(reason.status(), CONTENT_TYPE, body(reason.getMessage()));
    }

    /** Answers a request with its outcome, unless its client has disconnected. */
    static void writeOutcome(HttpServer.Exchange exchange, RequestOutcome outcome) {
        if (!exchange.isOpen()) {
            return;
        }
        if (outcome instanceof RequestOutcome.Served served) {
            exchange.answer(OK, served.contentType(), served.body());
        } else if (outcome instanceof RequestOutcome.Rejected rejected) {
            writeRejected(exchange, rejected);
        } else {
            exchange.answer(
                    failureStatus(outcome), CONTENT_TYPE, body(FrontEnds.reasonCode(outcome)));
        }
    }

    private static int failureStatus(RequestOutcome outcome) {
        boolean otherRequest = FrontEnds.reason(outcome) == RequestOutcome.Reason.PAYLOAD_MISMATCH;
        return otherRequest ? CONFLICT : FrontEnds.httpStatus(outcome);
    }

    private static void writeRejected(
            HttpServer.Exchange exchange, RequestOutcome.Rejected rejected) {
        boolean overLimit = rejected.reason() == RequestOutcome.Reason.TOO_MANY_IN_FLIGHT;
        int status = overLimit ? TOO_MANY_REQUESTS : SERVICE_UNAVAILABLE;
        byte[] body = body(FrontEnds.reasonCode(rejected));
        long retryAfterMillis = rejected.retryAfterMicros() / MICROS_PER_MILLI;
        if (retryAfterMillis > 0) {
            exchange.answer(
                    status,
                    CONTENT_TYPE,
                    body,
                    RETRY_AFTER_MILLIS_HEADER,
                    Long.toString(retryAfterMillis));
        } else {
            exchange.answer(status, CONTENT_TYPE, body);
        }
    }
}
