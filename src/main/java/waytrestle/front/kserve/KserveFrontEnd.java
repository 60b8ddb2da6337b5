package waytrestle.front.kserve;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import waytrestle.config.GatewayConfig.Kserve;
import waytrestle.front.FrontEnd;
import waytrestle.front.FrontEnds;
import waytrestle.http.HttpError;
import waytrestle.http.HttpMessage;
import waytrestle.http.HttpServer;
import waytrestle.requests.IdempotencyStore;
import waytrestle.requests.RequestHandler;
import waytrestle.requests.RequestOutcome;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/**
 * The front end of the Open Inference Protocol (KServe v2) over HTTP. A model is a function. The
 * body of an infer request is validated as a stream and forwarded unchanged, and so is the
 * function's response. A tenant is identified by its bearer key, of which only the SHA-256 hash is
 * configured.
 *
 * <p>An infer request with an {@code Idempotency-Key} header is held in the idempotency store, and
 * repeats join it. The {@code id} in the body serves neither purpose, since the protocol does not
 * make it unique.
 *
 * <p>Names ending in Micros are durations in microseconds. Not thread-safe: used by the event loop
 * of its HTTP server.
 */
public final class KserveFrontEnd implements FrontEnd {
    /** The only model version, since functions have no versions. */
    private static final String MODEL_VERSION = "1";

    private static final Pattern IDEMPOTENCY_KEY = Pattern.compile("[!-~]{1,256}");
    private static final JsonFactory JSON = new JsonFactory();
    private static final String CONTENT_TYPE = "application/json";

    private final Kserve config;
    private final List<RequestClass> classes;
    private final TreeSet<String> models;
    private final long transitMicros;
    private final Predicate<String> isKnownModel;
    private final RequestHandler requestHandler;
    private final Map<String, Long> rejectedMessages = new HashMap<>();

    /**
     * Creates a front end.
     *
     * @param classes the request classes of the scheduler settings, by index
     * @param models the models listed in the repository index
     * @param transitMicros time assumed for a message's way from the client
     * @param isKnownModel returns whether requests for a model of the given name are accepted
     */
    public KserveFrontEnd(
            Kserve config,
            List<RequestClass> classes,
            Iterable<String> models,
            long transitMicros,
            Predicate<String> isKnownModel,
            RequestHandler requestHandler) {
        this.config = config;
        this.classes = classes;
        this.models = new TreeSet<>();
        models.forEach(this.models::add);
        this.transitMicros = transitMicros;
        this.isKnownModel = isKnownModel;
        this.requestHandler = requestHandler;
    }

    @Override
    public boolean handlesPath(String path) {
        return path.equals("/v2") || path.startsWith("/v2/");
    }

    @Override
    public Map<String, Long> rejectedMessagesByReason() {
        return rejectedMessages;
    }

    private static String[] pathSegments(String path) {
        return path.substring(1).split("/", -1);
    }

    private static boolean isInferPath(String[] segments) {
        return segments.length > 3
                && segments[1].equals("models")
                && segments[segments.length - 1].equals("infer");
    }

    /** Rejects an infer request without a known bearer key before its body is read. */
    @Override
    public int checkHead(HttpMessage head) {
        return isInferPath(pathSegments(head.path())) && tenant(head) == null ? 401 : 0;
    }

    @Override
    public void handle(HttpServer.Exchange exchange) {
        String[] segments = pathSegments(exchange.message().path());
        boolean isGet = exchange.message().method().equals("GET");
        boolean isPost = exchange.message().method().equals("POST");
        boolean isModelPath = segments.length >= 3 && segments[1].equals("models");
        int actionIndex =
                isModelPath && segments.length >= 5 && segments[3].equals("versions") ? 5 : 3;
        String action =
                isModelPath && segments.length == actionIndex + 1
                        ? segments[actionIndex]
                        : isModelPath && segments.length == actionIndex ? "" : null;
        if (segments.length == 1 && isGet) {
            answer(
                    exchange,
                    200,
                    json -> {
                        json.writeStringField("name", "waytrestle");
                        json.writeStringField("version", "0.2.0");
                        json.writeArrayFieldStart("extensions");
                        json.writeString("binary_tensor_data");
                        json.writeString("model_repository");
                        json.writeEndArray();
                    });
        } else if (segments.length == 3
                && segments[1].equals("health")
                && isGet
                && (segments[2].equals("live") || segments[2].equals("ready"))) {
            boolean isUp = segments[2].equals("live") || requestHandler.hasReadyInvoker();
            answer(exchange, isUp ? 200 : 503, json -> json.writeBooleanField(segments[2], isUp));
        } else if (tenant(exchange.message()) == null) { // models are disclosed only to tenants
            reject(exchange, 401, "bearer", "no bearer key that is known here");
        } else if (segments.length == 3
                && segments[1].equals("repository")
                && segments[2].equals("index")
                && isPost) {
            writeModelIndex(exchange);
        } else if (segments.length > 2 && segments[1].equals("repository")) {
            reject(
                    exchange,
                    405,
                    "method",
                    "the repository is only read here: load and unload are the gateway's own");
        } else if (isModelPath && action != null && (action.equals("infer") ? isPost : isGet)) {
            String version = actionIndex == 5 ? segments[4] : MODEL_VERSION;
            if (!FrontEnds.isFunctionName(segments[2])
                    || !version.equals(MODEL_VERSION)
                    || !isKnownModel.test(segments[2])) {
                reject(
                        exchange,
                        404,
                        "unknown-function",
                        "there is no model " + segments[2] + " of version " + version);
            } else if (action.equals("infer")) {
                infer(exchange, segments[2]);
            } else if (action.equals("ready")) {
                answer(
                        exchange,
                        requestHandler.hasReadyInvoker() ? 200 : 503,
                        json -> {
                            json.writeStringField("name", segments[2]);
                            json.writeBooleanField("ready", requestHandler.hasReadyInvoker());
                        });
            } else if (action.isEmpty()) {
                writeModelMetadata(exchange, segments[2]);
            } else {
                reject(exchange, 404, "path", "there is nothing at this path");
            }
        } else {
            reject(
                    exchange,
                    isModelPath && action != null ? 405 : 404,
                    "path",
                    "there is nothing at this path for this method");
        }
    }

    /** Writes the content of a JSON document to a generator. */
    private interface JsonWriter {
        void write(JsonGenerator json) throws IOException;
    }

    private static byte[] toJson(JsonWriter writer, boolean inObject) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(128);
        try (JsonGenerator json = JSON.createGenerator(out)) {
            if (inObject) {
                json.writeStartObject();
            }
            writer.write(json);
            if (inObject) {
                json.writeEndObject();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    /** Responds with a JSON object. */
    private static void answer(
            HttpServer.Exchange exchange, int status, JsonWriter writer, String... headers) {
        exchange.answer(status, CONTENT_TYPE, toJson(writer, true), headers);
    }

    /**
     * Counts a message as rejected and responds with the protocol's error object. The message has
     * not become a request, so a retry is harmless.
     */
    private void reject(HttpServer.Exchange exchange, int status, String reason, String text) {
        rejectedMessages.merge(reason, 1L, Long::sum);
        answer(
                exchange,
                status,
                json -> json.writeStringField("error", text),
                "Waytrestle-Harmless",
                "true");
    }

    @Override
    public HttpServer.Refusal refusal(String path, HttpError error) {
        return new HttpServer.Refusal(
                CONTENT_TYPE,
                toJson(
                        json ->
                                json.writeStringField(
                                        "error",
                                        error.status() == 401
                                                ? "no bearer key that is known here"
                                                : error.getMessage()),
                        true));
    }

    private void writeModelIndex(HttpServer.Exchange exchange) {
        exchange.answer(
                200,
                CONTENT_TYPE,
                toJson(
                        json -> {
                            json.writeStartArray();
                            for (String name : models) {
                                json.writeStartObject();
                                json.writeStringField("name", name);
                                json.writeStringField("version", MODEL_VERSION);
                                json.writeStringField("state", "READY");
                                json.writeStringField("reason", "");
                                json.writeEndObject();
                            }
                            json.writeEndArray();
                        },
                        false));
    }

    private void writeModelMetadata(HttpServer.Exchange exchange, String name) {
        answer(
                exchange,
                200,
                json -> {
                    json.writeStringField("name", name);
                    json.writeArrayFieldStart("versions");
                    json.writeString(MODEL_VERSION);
                    json.writeEndArray();
                    json.writeStringField("platform", "waytrestle");
                    json.writeArrayFieldStart("inputs");
                    json.writeEndArray();
                    json.writeArrayFieldStart("outputs");
                    json.writeEndArray();
                });
    }

    /** Returns the tenant that the bearer key belongs to, null without a known key. */
    private Integer tenant(HttpMessage message) {
        String authorization = message.header("authorization");
        if (authorization == null || !authorization.regionMatches(true, 0, "Bearer ", 0, 7)) {
            return null;
        }
        try {
            byte[] keyHash =
                    MessageDigest.getInstance("SHA-256")
                            .digest(
                                    authorization
                                            .substring(7)
                                            .trim()
                                            .getBytes(StandardCharsets.UTF_8));
            return config.tenantByKeyHash().get(HexFormat.of().formatHex(keyHash));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java runtime does not provide SHA-256", e);
        }
    }

    private void infer(HttpServer.Exchange exchange, String model) {
        HttpMessage message = exchange.message();
        int tenant = tenant(message);
        String length = message.header("inference-header-content-length");
        long bodyBytes = message.content().size();
        long jsonBytes =
                length == null
                        ? bodyBytes
                        : length.matches("\\d{1,9}") ? Long.parseLong(length) : -1;
        if (jsonBytes < 0 || jsonBytes > bodyBytes) {
            reject(
                    exchange,
                    400,
                    "tensor",
                    "Inference-Header-Content-Length: must be from 0 to " + bodyBytes);
            return;
        }
        if (jsonBytes > config.maxJsonBytes()) {
            reject(
                    exchange,
                    413,
                    "json",
                    "the JSON part is over "
                            + config.maxJsonBytes()
                            + " bytes; send tensors as binary");
            return;
        }
        String key = message.header("idempotency-key");
        if (key != null && !IDEMPOTENCY_KEY.matcher(key).matches()) {
            reject(exchange, 400, "key", "Idempotency-Key: must be 1 to 256 visible characters");
            return;
        }
        InferRequestValidator.ValidatedRequest validatedRequest;
        try {
            validatedRequest = InferRequestValidator.validate(message.content(), (int) jsonBytes);
        } catch (InferRequestValidator.InvalidInferRequestException invalidRequest) {
            reject(exchange, 400, "tensor", invalidRequest.getMessage());
            return;
        }
        int classIndex = config.classByModel().getOrDefault(model, config.requestClass());
        RequestClass requestClass = classes.get(classIndex);
        long digest = FrontEnds.payloadDigest(message.content());
        // The protocol has no signing time. A request counts as signed one second from now, after
        // the time up to which the idempotency store may have forgotten requests, so that a request
        // with an unknown key is a new request.
        IdempotencyStore.KeyedRequest keyedRequest =
                key == null
                        ? null
                        : new IdempotencyStore.KeyedRequest(
                                "kserve " + tenant + " " + model + " " + key,
                                requestClass.idempotency(),
                                requestClass.deduplicationWindowMicros(),
                                requestHandler.wallSeconds() + 1,
                                digest);
        // Bit 41 keeps the fingerprint of a request with an idempotency key from being 0, which
        // stands for no fingerprint.
        long retryFingerprint =
                keyedRequest != null
                        ? keyedRequest.key().hashCode() | 1L << 41
                        : validatedRequest.id() == null
                                ? 0
                                : digest ^ validatedRequest.id().hashCode() ^ tenant;
        RequestHandler.PendingResponse pendingResponse =
                requestHandler.accept(
                        new RequestHandler.IncomingRequest(
                                classIndex,
                                tenant,
                                model,
                                keyedRequest,
                                retryFingerprint,
                                FrontEnds.timeLeftMicros(
                                        exchange,
                                        requestClass,
                                        validatedRequest.timeoutMicros(),
                                        transitMicros),
                                CONTENT_TYPE,
                                message.content(),
                                (int) jsonBytes),
                        outcome -> writeOutcome(exchange, outcome));
        if (exchange.isOpen()) {
            exchange.onClientDisconnect(pendingResponse::clientDisconnected);
        }
    }

    private static void writeOutcome(HttpServer.Exchange exchange, RequestOutcome outcome) {
        if (!exchange.isOpen()) {
            return;
        }
        if (outcome instanceof RequestOutcome.Served served) {
            if (served.jsonBytes() >= 0) {
                exchange.answer(
                        200,
                        served.contentType(),
                        served.body(),
                        "Inference-Header-Content-Length",
                        Integer.toString(served.jsonBytes()));
            } else {
                exchange.answer(200, served.contentType(), served.body());
            }
            return;
        }
        long retryAfterMillis = FrontEnds.retryAfterMillis(outcome);
        String retryHarmless = Boolean.toString(FrontEnds.isRetryHarmless(outcome));
        if (outcome instanceof RequestOutcome.FunctionError functionError) {
            String text = FunctionErrorBody.messageUnlessErrorObject(functionError.body());
            if (text == null) { // already an error object of the protocol
                exchange.answer(
                        functionError.status(),
                        CONTENT_TYPE,
                        functionError.body(),
                        "Waytrestle-Harmless",
                        retryHarmless);
            } else {
                answer(
                        exchange,
                        functionError.status(),
                        json ->
                                json.writeStringField(
                                        "error",
                                        text.isEmpty()
                                                ? "the model answered " + functionError.status()
                                                : text),
                        "Waytrestle-Harmless",
                        retryHarmless);
            }
            return;
        }
        RequestOutcome.AttemptSummary attemptSummary = FrontEnds.attemptSummary(outcome);
        JsonWriter writer =
                json -> {
                    json.writeStringField("error", FrontEnds.reason(outcome).description());
                    json.writeStringField("reason", FrontEnds.reasonCode(outcome));
                    if (!attemptSummary.lastResponseText().isEmpty()) {
                        json.writeNumberField("attempts", attemptSummary.forwardedAttempts());
                        json.writeStringField("last", attemptSummary.lastResponseText());
                    }
                    if (retryAfterMillis > 0) {
                        json.writeNumberField("retry_after_ms", retryAfterMillis);
                    }
                };
        if (retryAfterMillis > 0) {
            answer(
                    exchange,
                    FrontEnds.httpStatus(outcome),
                    writer,
                    "Waytrestle-Harmless",
                    retryHarmless,
                    "Retry-After",
                    Long.toString((retryAfterMillis + 999) / 1_000));
        } else {
            answer(
                    exchange,
                    FrontEnds.httpStatus(outcome),
                    writer,
                    "Waytrestle-Harmless",
                    retryHarmless);
        }
    }
}
