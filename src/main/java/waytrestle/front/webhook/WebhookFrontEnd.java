package waytrestle.front.webhook;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import waytrestle.config.GatewayConfig.WebhookEndpoint;
import waytrestle.front.FrontEnd;
import waytrestle.front.FrontEnds;
import waytrestle.http.HttpMessage;
import waytrestle.http.HttpServer;
import waytrestle.http.Problem;
import waytrestle.requests.IdempotencyStore;
import waytrestle.requests.RequestHandler;
import waytrestle.requests.RequestOutcome;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/**
 * The front end for signed webhooks: verifies a message's signature by the Standard Webhooks
 * specification, determines the function by the endpoint's settings or by the payload, and hands
 * the request to the request handler. The function's response becomes the response to the message.
 * The {@code webhook-id} is the idempotency key of the request.
 *
 * <p>Names ending in Micros and Seconds are in microseconds and seconds. Not thread-safe: used by
 * the event loop of its HTTP server.
 */
public final class WebhookFrontEnd implements FrontEnd {
    private static final Pattern WEBHOOK_ID = Pattern.compile("[!-~]{1,256}");
    private static final Pattern TIMESTAMP_SECONDS = Pattern.compile("\\d{1,12}");

    /** An endpoint, the verifier of its secrets, and its request class. */
    private record EndpointContext(
            WebhookEndpoint endpoint, Signatures signatures, RequestClass requestClass) {}

    private final Map<String, EndpointContext> contextsByPath = new HashMap<>();
    private final long toleranceSeconds, transitMicros;
    private final RequestHandler requestHandler;
    private final Predicate<String> isKnownFunction;
    private final Map<String, Long> rejectedMessages = new HashMap<>();

    /**
     * Creates a front end.
     *
     * @param classes the request classes of the scheduler settings, by index
     * @param toleranceSeconds largest accepted difference between a message's timestamp and the
     *     wall clock, in either direction
     * @param transitMicros time assumed for a message's way from the client
     * @param isKnownFunction returns whether requests for a function of the given name are accepted
     */
    public WebhookFrontEnd(
            List<WebhookEndpoint> endpoints,
            List<RequestClass> classes,
            long toleranceSeconds,
            long transitMicros,
            Predicate<String> isKnownFunction,
            RequestHandler requestHandler) {
        for (WebhookEndpoint endpoint : endpoints) {
            contextsByPath.put(
                    endpoint.path(),
                    new EndpointContext(
                            endpoint,
                            new Signatures(endpoint.secrets()),
                            classes.get(endpoint.requestClass())));
        }
        this.toleranceSeconds = toleranceSeconds;
        this.transitMicros = transitMicros;
        this.isKnownFunction = isKnownFunction;
        this.requestHandler = requestHandler;
    }

    /**
     * Replaces the secrets of the endpoints at the given paths; unknown paths are ignored. Requests
     * in flight are not verified again.
     */
    public void replaceSecrets(Map<String, List<String>> secretsByPath) {
        secretsByPath.forEach(
                (path, secrets) ->
                        contextsByPath.computeIfPresent(
                                path,
                                (ignoredPath, context) ->
                                        new EndpointContext(
                                                context.endpoint(),
                                                new Signatures(secrets),
                                                context.requestClass())));
    }

    @Override
    public boolean handlesPath(String path) {
        return contextsByPath.containsKey(path);
    }

    @Override
    public Map<String, Long> rejectedMessagesByReason() {
        return rejectedMessages;
    }

    @Override
    public int checkHead(HttpMessage head) {
        return contextsByPath.containsKey(head.path())
                ? head.method().equals("POST") ? 0 : 405
                : 404;
    }

    @Override
    public void handle(HttpServer.Exchange exchange) {
        HttpMessage message = exchange.message();
        EndpointContext context = contextsByPath.get(message.path());
        if (context == null) {
            reject(exchange, 404, "no-endpoint", "there is no endpoint at this path");
            return;
        }
        if (!message.method().equals("POST")) {
            reject(exchange, 405, "method", "an endpoint takes POST alone", "Allow", "POST");
            return;
        }
        String id = message.header("webhook-id");
        String timestamp = message.header("webhook-timestamp");
        String signature = message.joinedHeader("webhook-signature");
        if (id == null || timestamp == null || signature == null) {
            reject(
                    exchange,
                    400,
                    "unsigned",
                    "webhook-id, webhook-timestamp and webhook-signature are all needed");
            return;
        }
        if (!WEBHOOK_ID.matcher(id).matches() || !TIMESTAMP_SECONDS.matcher(timestamp).matches()) {
            reject(
                    exchange,
                    400,
                    "unsigned",
                    "webhook-id must be 1 to 256 visible characters, webhook-timestamp seconds");
            return;
        }
        long signedAtSeconds = Long.parseLong(timestamp);
        if (Math.abs(requestHandler.wallSeconds() - signedAtSeconds) > toleranceSeconds) {
            reject(
                    exchange,
                    401,
                    "timestamp",
                    "webhook-timestamp is more than " + toleranceSeconds + " s away");
            return;
        }
        if (!context.signatures().verify(id, timestamp, message.body(), signature)) {
            reject(exchange, 401, "signature", "no signature is right for this endpoint's secrets");
            return;
        }
        String function = context.endpoint().fixedFunction();
        if (function.isEmpty()) {
            function =
                    JsonPointerReader.textAt(context.endpoint().functionPointer(), message.body());
        }
        if (!FrontEnds.isFunctionName(function)) {
            reject(
                    exchange,
                    400,
                    "function",
                    "the payload names no function at "
                            + context.endpoint().functionPointer()
                            + ": 1 to 128 letters, figures, dots, dashes or underscores");
            return;
        }
        if (!isKnownFunction.test(function)) {
            reject(
                    exchange,
                    404,
                    "unknown-function",
                    "no function of this name is configured: " + function);
            return;
        }
        IdempotencyStore.KeyedRequest keyedRequest =
                new IdempotencyStore.KeyedRequest(
                        context.endpoint().path() + " " + id,
                        context.requestClass().idempotency(),
                        context.requestClass().deduplicationWindowMicros(),
                        signedAtSeconds,
                        FrontEnds.payloadDigest(message.content()));
        String contentType = message.header("content-type");
        RequestHandler.PendingResponse pendingResponse =
                requestHandler.accept(
                        new RequestHandler.IncomingRequest(
                                context.endpoint().requestClass(),
                                context.endpoint().tenant(),
                                function,
                                keyedRequest,
                                // Bit 40 keeps the retry fingerprint from being 0, which means
                                // none.
                                keyedRequest.key().hashCode() | 1L << 40,
                                FrontEnds.timeLeftMicros(
                                        exchange, context.requestClass(), 0, transitMicros),
                                contentType == null ? "application/json" : contentType,
                                message.content(),
                                -1), // not an inference request
                        outcome -> writeOutcome(exchange, outcome));
        if (exchange.isOpen()) {
            exchange.onClientDisconnect(pendingResponse::clientDisconnected);
        }
    }

    /**
     * Counts a message as rejected and responds with a problem document. The message has not become
     * a request, so a retry is harmless.
     */
    private void reject(
            HttpServer.Exchange exchange,
            int status,
            String reason,
            String detail,
            String... headers) {
        rejectedMessages.merge(reason, 1L, Long::sum);
        exchange.answer(
                status, Problem.TYPE, Problem.of(status, reason, detail, true).bytes(), headers);
    }

    private static void writeOutcome(HttpServer.Exchange exchange, RequestOutcome outcome) {
        if (!exchange.isOpen()) {
            return;
        }
        if (outcome instanceof RequestOutcome.Served served) {
            exchange.answer(200, served.contentType(), served.body());
            return;
        }
        if (outcome instanceof RequestOutcome.FunctionError functionError
                && functionError.body().size() > 0) {
            exchange.answer(
                    functionError.status(),
                    functionError.contentType(),
                    functionError.body(),
                    "Waytrestle-Harmless",
                    Boolean.toString(!functionError.mayHaveRun()));
            return;
        }
        int status = FrontEnds.httpStatus(outcome);
        long retryAfterMillis = FrontEnds.retryAfterMillis(outcome);
        RequestOutcome.AttemptSummary attemptSummary = FrontEnds.attemptSummary(outcome);
        Problem problem =
                outcome instanceof RequestOutcome.FunctionError
                        ? new Problem(
                                status,
                                "function",
                                "the function answered with this status and nothing more",
                                FrontEnds.isRetryHarmless(outcome),
                                0,
                                attemptSummary.forwardedAttempts(),
                                attemptSummary.lastResponseText())
                        : new Problem(
                                status,
                                FrontEnds.reasonCode(outcome),
                                FrontEnds.reason(outcome).description(),
                                FrontEnds.isRetryHarmless(outcome),
                                retryAfterMillis,
                                attemptSummary.forwardedAttempts(),
                                attemptSummary.lastResponseText());
        if (retryAfterMillis > 0) {
            exchange.answer(
                    status,
                    Problem.TYPE,
                    problem.bytes(),
                    "Retry-After",
                    Long.toString((retryAfterMillis + 999) / 1_000));
        } else {
            exchange.answer(status, Problem.TYPE, problem.bytes());
        }
    }
}
