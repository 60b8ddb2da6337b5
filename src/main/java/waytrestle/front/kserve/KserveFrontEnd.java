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
 * The front for the Open Inference Protocol (KServe v2) over HTTP. An infer request is checked as a
 * stream and passed on as it came; the invoker's answer goes back as it came. A tenant is known by
 * its bearer key, of which only the SHA-256 is configured. An {@code Idempotency-Key} header makes
 * a call one that can be joined and remembered; the request's own id is only an echo, since the
 * protocol does not make it unique.
 */
public final class KserveFrontEnd implements FrontEnd {
    private static final String VERSION =
            "1"; // the one version that there is, until functions have versions
    private static final Pattern KEY = Pattern.compile("[!-~]{1,256}");
    private static final JsonFactory JSON = new JsonFactory();
    private static final String TYPE = "application/json";

    private final Kserve config;
    private final List<RequestClass> classes;
    private final TreeSet<String> models;
    private final long transit;
    private final Predicate<String> known;
    private final RequestHandler intake;
    private final Map<String, Long> turnedAway = new HashMap<>();

    public KserveFrontEnd(
            Kserve config,
            List<RequestClass> classes,
            Iterable<String> models,
            long transitMicros,
            Predicate<String> known,
            RequestHandler intake) {
        this.config = config;
        this.classes = classes;
        this.models = new TreeSet<>();
        models.forEach(this.models::add);
        this.transit = transitMicros;
        this.known = known;
        this.intake = intake;
    }

    @Override
    public boolean handlesPath(String path) {
        return path.equals("/v2") || path.startsWith("/v2/");
    }

    @Override
    public Map<String, Long> rejectedMessagesByReason() {
        return turnedAway;
    }

    private static String[] parts(String path) {
        return path.substring(1).split("/", -1);
    }

    private static boolean infers(String[] p) {
        return p.length > 3 && p[1].equals("models") && p[p.length - 1].equals("infer");
    }

    /**
     * Turned away before its body where that can be told: without a right to it, a body is not
     * read.
     */
    @Override
    public int checkHead(HttpMessage head) {
        return infers(parts(head.path())) && tenant(head) == null ? 401 : 0;
    }

    @Override
    public void handle(HttpServer.Exchange e) {
        String[] p = parts(e.message().path());
        boolean get = e.message().method().equals("GET");
        boolean post = e.message().method().equals("POST");
        boolean model = p.length >= 3 && p[1].equals("models");
        int at = model && p.length >= 5 && p[3].equals("versions") ? 5 : 3;
        String last = model && p.length == at + 1 ? p[at] : model && p.length == at ? "" : null;
        if (p.length == 1 && get) {
            answer(
                    e,
                    200,
                    g -> {
                        g.writeStringField("name", "waytrestle");
                        g.writeStringField("version", "0.2.0");
                        g.writeArrayFieldStart("extensions");
                        g.writeString("binary_tensor_data");
                        g.writeString("model_repository");
                        g.writeEndArray();
                    });
        } else if (p.length == 3
                && p[1].equals("health")
                && get
                && (p[2].equals("live") || p[2].equals("ready"))) {
            boolean up = p[2].equals("live") || intake.hasReadyInvoker();
            answer(e, up ? 200 : 503, g -> g.writeBooleanField(p[2], up));
        } else if (tenant(e.message()) == null) { // what there is, is for those who may call it
            fault(e, 401, "bearer", "no bearer key that is known here");
        } else if (p.length == 3 && p[1].equals("repository") && p[2].equals("index") && post) {
            index(e);
        } else if (p.length > 2 && p[1].equals("repository")) {
            fault(
                    e,
                    405,
                    "method",
                    "the repository is only read here: load and unload are the gateway's own");
        } else if (model && last != null && (last.equals("infer") ? post : get)) {
            String version = at == 5 ? p[4] : VERSION;
            if (!FrontEnds.isFunctionName(p[2]) || !version.equals(VERSION) || !known.test(p[2])) {
                fault(
                        e,
                        404,
                        "unknown-function",
                        "there is no model " + p[2] + " of version " + version);
            } else if (last.equals("infer")) {
                infer(e, p[2]);
            } else if (last.equals("ready")) {
                answer(
                        e,
                        intake.hasReadyInvoker() ? 200 : 503,
                        g -> {
                            g.writeStringField("name", p[2]);
                            g.writeBooleanField("ready", intake.hasReadyInvoker());
                        });
            } else if (last.isEmpty()) {
                metadata(e, p[2]);
            } else {
                fault(e, 404, "path", "there is nothing at this path");
            }
        } else {
            fault(
                    e,
                    model && last != null ? 405 : 404,
                    "path",
                    "there is nothing at this path for this method");
        }
    }

    private interface Fields {
        void write(JsonGenerator json) throws IOException;
    }

    private static byte[] json(Fields fields, boolean object) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(128);
        try (JsonGenerator g = JSON.createGenerator(out)) {
            if (object) {
                g.writeStartObject();
            }
            fields.write(g);
            if (object) {
                g.writeEndObject();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    private static void answer(
            HttpServer.Exchange e, int status, Fields fields, String... headers) {
        e.answer(status, TYPE, json(fields, true), headers);
    }

    /** The error object of the specification; nothing was done, so coming again is harmless. */
    private void fault(HttpServer.Exchange e, int status, String reason, String text) {
        turnedAway.merge(reason, 1L, Long::sum);
        answer(e, status, g -> g.writeStringField("error", text), "Waytrestle-Harmless", "true");
    }

    @Override
    public HttpServer.Refusal refusal(String path, HttpError e) {
        return new HttpServer.Refusal(
                TYPE,
                json(
                        g ->
                                g.writeStringField(
                                        "error",
                                        e.status() == 401
                                                ? "no bearer key that is known here"
                                                : e.getMessage()),
                        true));
    }

    private void index(HttpServer.Exchange e) {
        e.answer(
                200,
                TYPE,
                json(
                        g -> {
                            g.writeStartArray();
                            for (String name : models) {
                                g.writeStartObject();
                                g.writeStringField("name", name);
                                g.writeStringField("version", VERSION);
                                g.writeStringField("state", "READY");
                                g.writeStringField("reason", "");
                                g.writeEndObject();
                            }
                            g.writeEndArray();
                        },
                        false));
    }

    private void metadata(HttpServer.Exchange e, String name) {
        answer(
                e,
                200,
                g -> {
                    g.writeStringField("name", name);
                    g.writeArrayFieldStart("versions");
                    g.writeString(VERSION);
                    g.writeEndArray();
                    g.writeStringField("platform", "waytrestle");
                    g.writeArrayFieldStart("inputs");
                    g.writeEndArray();
                    g.writeArrayFieldStart("outputs");
                    g.writeEndArray();
                });
    }

    /** The tenant of the bearer key, null where there is none. */
    private Integer tenant(HttpMessage m) {
        String given = m.header("authorization");
        if (given == null || !given.regionMatches(true, 0, "Bearer ", 0, 7)) {
            return null;
        }
        try {
            byte[] hash =
                    MessageDigest.getInstance("SHA-256")
                            .digest(given.substring(7).trim().getBytes(StandardCharsets.UTF_8));
            return config.tenantByKeyHash().get(HexFormat.of().formatHex(hash));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java lacks SHA-256", e);
        }
    }

    private void infer(HttpServer.Exchange e, String model) {
        HttpMessage m = e.message();
        int tenant = tenant(m);
        String length = m.header("inference-header-content-length");
        long size = m.content().size();
        long jsonBytes =
                length == null ? size : length.matches("\\d{1,9}") ? Long.parseLong(length) : -1;
        if (jsonBytes < 0 || jsonBytes > size) {
            fault(e, 400, "tensor", "Inference-Header-Content-Length: must be from 0 to " + size);
            return;
        }
        if (jsonBytes > config.maxJsonBytes()) {
            fault(
                    e,
                    413,
                    "json",
                    "the JSON part is over "
                            + config.maxJsonBytes()
                            + " bytes; send tensors as binary");
            return;
        }
        String key = m.header("idempotency-key");
        if (key != null && !KEY.matcher(key).matches()) {
            fault(e, 400, "key", "Idempotency-Key: must be 1 to 256 visible characters");
            return;
        }
        InferRequestValidator.ValidatedRequest checked;
        try {
            checked = InferRequestValidator.validate(m.content(), (int) jsonBytes);
        } catch (InferRequestValidator.InvalidInferRequestException wrong) {
            fault(e, 400, "tensor", wrong.getMessage());
            return;
        }
        int kind = config.classByModel().getOrDefault(model, config.requestClass());
        RequestClass requestClass = classes.get(kind);
        long digest = FrontEnds.payloadDigest(m.content());
        // Nothing is signed here, so a call counts as signed just now, after whatever this gateway
        // may have forgotten.
        IdempotencyStore.KeyedRequest arrival =
                key == null
                        ? null
                        : new IdempotencyStore.KeyedRequest(
                                "kserve " + tenant + " " + model + " " + key,
                                requestClass.idempotency(),
                                requestClass.deduplicationWindowMicros(),
                                intake.wallSeconds() + 1,
                                digest);
        long mark =
                arrival != null
                        ? arrival.key().hashCode() | 1L << 41
                        : checked.id() == null ? 0 : digest ^ checked.id().hashCode() ^ tenant;
        RequestHandler.PendingResponse ticket =
                intake.accept(
                        new RequestHandler.IncomingRequest(
                                kind,
                                tenant,
                                model,
                                arrival,
                                mark,
                                FrontEnds.timeLeftMicros(
                                        e, requestClass, checked.timeoutMicros(), transit),
                                TYPE,
                                m.content(),
                                (int) jsonBytes),
                        end -> ended(e, end));
        if (e.isOpen()) {
            e.onClientDisconnect(ticket::clientDisconnected);
        }
    }

    private static void ended(HttpServer.Exchange e, RequestOutcome end) {
        if (!e.isOpen()) {
            return;
        }
        if (end instanceof RequestOutcome.Served served) {
            if (served.jsonBytes() >= 0) {
                e.answer(
                        200,
                        served.contentType(),
                        served.body(),
                        "Inference-Header-Content-Length",
                        Integer.toString(served.jsonBytes()));
            } else {
                e.answer(200, served.contentType(), served.body());
            }
            return;
        }
        long millis = FrontEnds.retryAfterMillis(end);
        String harmless = Boolean.toString(FrontEnds.isRetryHarmless(end));
        if (end instanceof RequestOutcome.FunctionError own) {
            String text = FunctionErrorBody.messageUnlessErrorObject(own.body());
            if (text == null) { // an error object of the protocol already
                e.answer(own.status(), TYPE, own.body(), "Waytrestle-Harmless", harmless);
            } else {
                answer(
                        e,
                        own.status(),
                        g ->
                                g.writeStringField(
                                        "error",
                                        text.isEmpty()
                                                ? "the model answered " + own.status()
                                                : text),
                        "Waytrestle-Harmless",
                        harmless);
            }
            return;
        }
        RequestOutcome.AttemptSummary tried = FrontEnds.attemptSummary(end);
        Fields fields =
                g -> {
                    g.writeStringField("error", FrontEnds.reason(end).description());
                    g.writeStringField("reason", FrontEnds.reasonCode(end));
                    if (!tried.lastResponseText().isEmpty()) {
                        g.writeNumberField("attempts", tried.forwardedAttempts());
                        g.writeStringField("last", tried.lastResponseText());
                    }
                    if (millis > 0) {
                        g.writeNumberField("retry_after_ms", millis);
                    }
                };
        if (millis > 0) {
            answer(
                    e,
                    FrontEnds.httpStatus(end),
                    fields,
                    "Waytrestle-Harmless",
                    harmless,
                    "Retry-After",
                    Long.toString((millis + 999) / 1_000));
        } else {
            answer(e, FrontEnds.httpStatus(end), fields, "Waytrestle-Harmless", harmless);
        }
    }
}
