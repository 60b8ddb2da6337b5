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
 * The front for signed webhooks: checks that a message is signed as the Standard Webhooks
 * specification has it, reads the function's name from it and brings it to the core; the function's
 * answer goes back in the response.
 */
public final class WebhookFrontEnd implements FrontEnd {
    private static final Pattern ID = Pattern.compile("[!-~]{1,256}");
    private static final Pattern SECONDS = Pattern.compile("\\d{1,12}");

    private record Door(WebhookEndpoint endpoint, Signatures signatures, RequestClass kind) {}

    private final Map<String, Door> doors = new HashMap<>();
    private final long toleranceSeconds, transit;
    private final RequestHandler intake;
    private final Predicate<String> known;
    private final Map<String, Long> turnedAway = new HashMap<>();

    public WebhookFrontEnd(
            List<WebhookEndpoint> endpoints,
            List<RequestClass> classes,
            long toleranceSeconds,
            long transitMicros,
            Predicate<String> known,
            RequestHandler intake) {
        for (WebhookEndpoint e : endpoints) {
            doors.put(
                    e.path(),
                    new Door(e, new Signatures(e.secrets()), classes.get(e.requestClass())));
        }
        this.toleranceSeconds = toleranceSeconds;
        this.transit = transitMicros;
        this.known = known;
        this.intake = intake;
    }

    /**
     * Takes other secrets for the endpoints named by path; calls under way keep what they were
     * checked by.
     */
    public void replaceSecrets(Map<String, List<String>> byPath) {
        byPath.forEach(
                (path, secrets) ->
                        doors.computeIfPresent(
                                path,
                                (p, d) ->
                                        new Door(d.endpoint(), new Signatures(secrets), d.kind())));
    }

    @Override
    public boolean handlesPath(String path) {
        return doors.containsKey(path);
    }

    @Override
    public Map<String, Long> rejectedMessagesByReason() {
        return turnedAway;
    }

    @Override
    public int checkHead(HttpMessage head) {
        return doors.containsKey(head.path()) ? head.method().equals("POST") ? 0 : 405 : 404;
    }

    @Override
    public void handle(HttpServer.Exchange e) {
        HttpMessage m = e.message();
        Door door = doors.get(m.path());
        if (door == null) {
            turnAway(e, 404, "no-endpoint", "there is no endpoint at this path");
            return;
        }
        if (!m.method().equals("POST")) {
            turnAway(e, 405, "method", "an endpoint takes POST alone", "Allow", "POST");
            return;
        }
        String id = m.header("webhook-id");
        String timestamp = m.header("webhook-timestamp");
        String signature = m.joinedHeader("webhook-signature");
        if (id == null || timestamp == null || signature == null) {
            turnAway(
                    e,
                    400,
                    "unsigned",
                    "webhook-id, webhook-timestamp and webhook-signature are all needed");
            return;
        }
        if (!ID.matcher(id).matches() || !SECONDS.matcher(timestamp).matches()) {
            turnAway(
                    e,
                    400,
                    "unsigned",
                    "webhook-id must be 1 to 256 visible characters, webhook-timestamp seconds");
            return;
        }
        long signedAt = Long.parseLong(timestamp);
        if (Math.abs(intake.wallSeconds() - signedAt) > toleranceSeconds) {
            turnAway(
                    e,
                    401,
                    "timestamp",
                    "webhook-timestamp is more than " + toleranceSeconds + " s away");
            return;
        }
        if (!door.signatures().verify(id, timestamp, m.body(), signature)) {
            turnAway(e, 401, "signature", "no signature is right for this endpoint's secrets");
            return;
        }
        String function = door.endpoint().fixedFunction();
        if (function.isEmpty()) {
            function = JsonPointerReader.textAt(door.endpoint().functionPointer(), m.body());
        }
        if (!FrontEnds.isFunctionName(function)) {
            turnAway(
                    e,
                    400,
                    "function",
                    "the payload names no function at "
                            + door.endpoint().functionPointer()
                            + ": 1 to 128 letters, figures, dots, dashes or underscores");
            return;
        }
        if (!known.test(function)) {
            turnAway(
                    e,
                    404,
                    "unknown-function",
                    "no function of this name is configured: " + function);
            return;
        }
        IdempotencyStore.KeyedRequest arrival =
                new IdempotencyStore.KeyedRequest(
                        door.endpoint().path() + " " + id,
                        door.kind().idempotency(),
                        door.kind().deduplicationWindowMicros(),
                        signedAt,
                        FrontEnds.payloadDigest(m.content()));
        String type = m.header("content-type");
        RequestHandler.PendingResponse ticket =
                intake.accept(
                        new RequestHandler.IncomingRequest(
                                door.endpoint().requestClass(),
                                door.endpoint().tenant(),
                                function,
                                arrival,
                                arrival.key().hashCode() | 1L << 40,
                                FrontEnds.timeLeftMicros(e, door.kind(), 0, transit),
                                type == null ? "application/json" : type,
                                m.content(),
                                -1),
                        end -> answer(e, end));
        if (e.isOpen()) {
            e.onClientDisconnect(ticket::clientDisconnected);
        }
    }

    private void turnAway(
            HttpServer.Exchange e, int status, String kind, String detail, String... headers) {
        turnedAway.merge(kind, 1L, Long::sum);
        e.answer(status, Problem.TYPE, Problem.of(status, kind, detail, true).bytes(), headers);
    }

    private static void answer(HttpServer.Exchange e, RequestOutcome end) {
        if (!e.isOpen()) {
            return;
        }
        if (end instanceof RequestOutcome.Served served) {
            e.answer(200, served.contentType(), served.body());
            return;
        }
        if (end instanceof RequestOutcome.FunctionError own && own.body().size() > 0) {
            e.answer(
                    own.status(),
                    own.contentType(),
                    own.body(),
                    "Waytrestle-Harmless",
                    Boolean.toString(!own.mayHaveRun()));
            return;
        }
        int status = FrontEnds.httpStatus(end);
        long millis = FrontEnds.retryAfterMillis(end);
        RequestOutcome.AttemptSummary tried = FrontEnds.attemptSummary(end);
        Problem problem =
                end instanceof RequestOutcome.FunctionError
                        ? new Problem(
                                status,
                                "function",
                                "the function answered with this status and nothing more",
                                FrontEnds.isRetryHarmless(end),
                                0,
                                tried.forwardedAttempts(),
                                tried.lastResponseText())
                        : new Problem(
                                status,
                                FrontEnds.reasonCode(end),
                                FrontEnds.reason(end).description(),
                                FrontEnds.isRetryHarmless(end),
                                millis,
                                tried.forwardedAttempts(),
                                tried.lastResponseText());
        if (millis > 0) {
            e.answer(
                    status,
                    Problem.TYPE,
                    problem.bytes(),
                    "Retry-After",
                    Long.toString((millis + 999) / 1_000));
        } else {
            e.answer(status, Problem.TYPE, problem.bytes());
        }
    }
}
