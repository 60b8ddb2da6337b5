package waytrestle.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Function;
import waytrestle.http.HttpLimits;
import waytrestle.http.HttpMessage;
import waytrestle.http.HttpServer;
import waytrestle.net.Loop;
import waytrestle.scheduler.StartKind;

/** The invoker model behind the Open Inference Protocol on a loopback port. */
public final class InvokerStandIn extends InvokerBody {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final HttpLimits LIMITS =
            new HttpLimits(
                    8_192,
                    100,
                    32_768,
                    1 << 28,
                    600_000_000L,
                    600_000_000L,
                    600_000_000L,
                    600_000_000L);

    private final Loop loop;
    private final int port;
    private HttpServer server;

    /** Starts warm; a port of 0 lets the system choose one, kept over restarts. */
    public InvokerStandIn(
            Loop loop,
            Env env,
            int port,
            Map<String, InvokerModel.Function> functions,
            Function<Boolean, InvokerModel> maker,
            Map<String, Long> keys,
            long keyWindow,
            Sightings sightings,
            long seed)
            throws IOException {
        super("", env, functions, maker, keys, keyWindow, sightings, seed);
        this.loop = loop;
        this.server = listen(port);
        this.port = server.port();
        this.id = "127.0.0.1:" + this.port;
    }

    private HttpServer listen(int at) throws IOException {
        return new HttpServer(
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), at),
                LIMITS,
                10_000,
                this::request);
    }

    @Override
    public void crash() {
        if (up()) {
            super.crash();
            server.kill();
        }
    }

    @Override
    public void restart() throws IOException {
        if (!up()) {
            server = listen(port);
            super.restart();
        }
    }

    private void request(HttpServer.Exchange e) {
        HttpMessage m = e.message();
        String told = m.header("waytrestle-controller");
        int controller = told == null ? -1 : Integer.parseInt(told);
        if (isCutOff(controller)) {
            return;
        }
        String[] path = m.path().split("/");
        if (m.path().equals("/v2/health/ready")) {
            e.answer(
                    isReady() ? 200 : 503,
                    "",
                    HttpMessage.NO_BODY,
                    "endpoint-load-metrics",
                    metrics(model().report(), -1, -1, -1));
        } else if (m.path().equals("/v2/repository/index")) {
            index(e);
        } else if (path.length == 6 && path[2].equals("repository") && path[5].equals("load")) {
            load(e, path[4], controller);
        } else if (path.length == 6 && path[2].equals("repository") && path[5].equals("unload")) {
            model().unload(path[4]);
            e.answer(200, "application/json", "{}".getBytes(StandardCharsets.US_ASCII));
        } else if (path.length == 5 && path[2].equals("models") && path[4].equals("infer")) {
            infer(e, path[3], controller);
        } else {
            e.answer(
                    400,
                    "application/json",
                    "{\"error\":\"no such path\"}".getBytes(StandardCharsets.US_ASCII));
        }
    }

    private void index(HttpServer.Exchange e) {
        StringBuilder out = new StringBuilder("[");
        model().index()
                .forEach(
                        (name, n) ->
                                out.append(out.length() > 1 ? "," : "")
                                        .append("{\"name\":\"")
                                        .append(name)
                                        .append("\",\"state\":\"")
                                        .append(n > 0 ? "READY" : "LOADING")
                                        .append("\",\"copies\":")
                                        .append(n)
                                        .append('}'));
        e.answer(
                200,
                "application/json",
                out.append(']').toString().getBytes(StandardCharsets.US_ASCII));
    }

    private void load(HttpServer.Exchange e, String name, int controller) {
        int copies = 1;
        try {
            copies = JSON.readTree(e.message().body()).path("parameters").path("copies").asInt(1);
        } catch (IOException bad) {
            e.answer(400, "", HttpMessage.NO_BODY);
            return;
        }
        order(
                controller,
                name,
                copies,
                standing -> {
                    if (e.isOpen()) {
                        e.answer(
                                standing >= 0 ? 200 : standing == UNKNOWN ? 404 : 503,
                                "",
                                HttpMessage.NO_BODY,
                                "endpoint-load-metrics",
                                metrics(model().report(), -1, -1, Math.max(0, standing)));
                    }
                });
    }

    private void infer(HttpServer.Exchange e, String name, int controller) {
        HttpMessage m = e.message();
        JsonNode header;
        byte[] payload;
        long work;
        try {
            String length = m.header("inference-header-content-length");
            long size = m.content().size();
            int jsonLength = length == null ? (int) size : Integer.parseInt(length);
            header = JSON.readTree(m.content().slice(0, jsonLength).array());
            JsonNode input = header.path("inputs").path(0);
            boolean bytes = input.path("datatype").asText().equals("BYTES");
            payload =
                    !bytes
                            ? Long.toString(size).getBytes(StandardCharsets.US_ASCII)
                            : jsonLength == size
                                    ? input.path("data")
                                            .path(0)
                                            .asText()
                                            .getBytes(StandardCharsets.UTF_8)
                                    : m.content().slice(jsonLength + 4, size).array();
            work =
                    bytes && payload.length > 0 && payload[0] == '{'
                            ? (long) (JSON.readTree(payload).path("work_ms").asDouble(10) * 1_000)
                            : 1_000;
        } catch (IOException | RuntimeException bad) {
            e.answer(
                    400,
                    "application/json",
                    "{\"error\":\"not an infer request\"}".getBytes(StandardCharsets.US_ASCII));
            return;
        }
        String key =
                m.header("waytrestle-call") != null
                        ? m.header("waytrestle-call")
                        : header.path("id").asText();
        Underway underway =
                attempt(
                        controller,
                        key,
                        Integer.parseInt(m.header("waytrestle-attempt")),
                        name,
                        work,
                        new Reply() {
                            @Override
                            public boolean open() {
                                return e.isOpen();
                            }

                            @Override
                            public void answer(InvokerModel.Result r, boolean garbled) {
                                InvokerStandIn.answer(e, key, payload, r, garbled);
                            }
                        });
        if (underway != null && e.isOpen()) {
            e.onClientDisconnect(
                    () -> underway.closed(Loop.nowMicros() - loop.previousSelectionMicros()));
        }
    }

    private static void answer(
            HttpServer.Exchange e,
            String key,
            byte[] payload,
            InvokerModel.Result r,
            boolean garbled) {
        String metrics =
                metrics(
                        r.report(),
                        r.start() == StartKind.UNKNOWN ? -1 : r.start().ordinal(),
                        r.company(),
                        -1);
        if (garbled) {
            e.answer(
                    200,
                    "application/json",
                    "{\"outputs\":[{\"nam".getBytes(StandardCharsets.US_ASCII));
            return;
        }
        if (r.status() != InvokerModel.SERVED) {
            e.answer(
                    r.status(),
                    "application/json",
                    "{\"error\":\"not run\"}".getBytes(StandardCharsets.US_ASCII),
                    "endpoint-load-metrics",
                    metrics);
            return;
        }
        byte[] json =
                ("{\"model_name\":\"f\",\"id\":\""
                                + key.replace("\\", "\\\\").replace("\"", "\\\"")
                                + "\",\"outputs\":[{\"name\":\"result\","
                                + "\"datatype\":\"BYTES\",\"shape\":[1],\"parameters\":{\"binary_data_size\":"
                                + (payload.length + 4)
                                + ",\"content_type\":\"application/json\"}}]}")
                        .getBytes(StandardCharsets.UTF_8);
        byte[] body =
                ByteBuffer.allocate(json.length + 4 + payload.length)
                        .order(ByteOrder.LITTLE_ENDIAN)
                        .put(json)
                        .putInt(payload.length)
                        .put(payload)
                        .array();
        e.answer(
                200,
                "application/octet-stream",
                body,
                "Inference-Header-Content-Length",
                Integer.toString(json.length),
                "endpoint-load-metrics",
                metrics);
    }

    private static String metrics(Map<String, Double> report, int start, int company, int copies) {
        StringBuilder out =
                new StringBuilder("TEXT cpu_utilization=").append(report.getOrDefault("util", 0.0));
        report.forEach(
                (name, value) ->
                        out.append(",named_metrics.").append(name).append('=').append(value));
        if (start >= 0) {
            out.append(",named_metrics.start=").append(start);
        }
        if (company >= 0) {
            out.append(",named_metrics.company=").append(company);
        }
        if (copies >= 0) {
            out.append(",named_metrics.copies=").append(copies);
        }
        return out.toString();
    }
}
