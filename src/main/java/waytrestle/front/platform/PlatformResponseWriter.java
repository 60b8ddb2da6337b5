package waytrestle.front.platform;

import java.nio.charset.StandardCharsets;
import waytrestle.front.FrontEnds;
import waytrestle.http.HttpServer;
import waytrestle.requests.RequestOutcome;

/**
 * Writes the responses to clients. The status tells a rejection (429 or 503), after which a retry
 * is harmless, from a failure, after which the request may have run. Stateless.
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

    /** Returns the body of a response with one line of text. */
    static byte[] body(String line) {
        return (line + "\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Responds to a readiness check. */
    static void writeReadiness(HttpServer.Exchange exchange, Readiness readiness) {
        exchange.answer(readiness.status(), CONTENT_TYPE, body(readiness.wireText()));
    }

    /** Responds to a message that is not a valid request. */
    static void writeInvalidRequest(HttpServer.Exchange exchange, InvalidRequestException reason) {
        exchange.answer(reason.status(), CONTENT_TYPE, body(reason.getMessage()));
    }

    /** Responds with the outcome of a request, unless its client has disconnected. */
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
        boolean payloadMismatch =
                FrontEnds.reason(outcome) == RequestOutcome.Reason.PAYLOAD_MISMATCH;
        return payloadMismatch ? CONFLICT : FrontEnds.httpStatus(outcome);
    }

    private static void writeRejected(
            HttpServer.Exchange exchange, RequestOutcome.Rejected rejected) {
        boolean tooManyInFlight = rejected.reason() == RequestOutcome.Reason.TOO_MANY_IN_FLIGHT;
        int status = tooManyInFlight ? TOO_MANY_REQUESTS : SERVICE_UNAVAILABLE;
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
