package waytrestle.gateway;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import waytrestle.scheduler.FinishTimeScheduler;

/**
 * Tests KServe requests to a gateway over sockets, and the gateway's limits on connections and
 * request bodies.
 */
class KserveGatewayTest {
    private static final String BEARER_KEY = "a-bearer-key";

    /**
     * Starts a gateway with one bearer key and an unsafe function, {@code charge}.
     *
     * @param replacements pairs of a text that the settings contain and its replacement
     */
    private static GatewayFixture startGateway(int invokers, String... replacements)
            throws Exception {
        GatewayFixture fixture = new GatewayFixture(invokers);
        String keyHash =
                HexFormat.of()
                        .formatHex(
                                MessageDigest.getInstance("SHA-256").digest(BEARER_KEY.getBytes()));
        String text =
                fixture.settingsText(false)
                        .replaceAll("sha256 = \"[0-9a-f]+\"", "sha256 = \"" + keyHash + "\"")
                        .replace("# class = \"seat-charge\" ", "class = \"seat-charge\" ");
        for (int i = 0; i < replacements.length; i += 2) {
            assertTrue(text.contains(replacements[i]), replacements[i]);
            text = text.replace(replacements[i], replacements[i + 1]);
        }
        fixture.start(text, FinishTimeScheduler::new);
        return fixture;
    }

    private static HttpRequest.Builder authorizedRequest(GatewayFixture fixture, String path) {
        return HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + fixture.gateway.port() + path))
                .header("Authorization", "Bearer " + BEARER_KEY);
    }

    /**
     * Returns an infer request with the JSON text and, unless it is empty, the binary tensor data.
     *
     * @param headers pairs of a header name and its value
     */
    private static HttpRequest inferRequest(
            GatewayFixture fixture, String model, String json, byte[] binary, String... headers) {
        byte[] body =
                ByteBuffer.allocate(json.length() + binary.length)
                        .put(json.getBytes())
                        .put(binary)
                        .array();
        HttpRequest.Builder builder =
                authorizedRequest(fixture, "/v2/models/" + model + "/infer")
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body));
        if (binary.length > 0) {
            builder.header("Inference-Header-Content-Length", Integer.toString(json.length()));
        }
        for (int i = 0; i < headers.length; i += 2) {
            builder.header(headers[i], headers[i + 1]);
        }
        return builder.build();
    }

    private static final String SMALL_INFER_REQUEST =
            "{\"id\":\"r1\",\"inputs\":[{\"name\":\"x\",\"shape\":[1],\"datatype\":\"INT8\","
                    + "\"data\":[1]}]}";

    private static HttpResponse<String> send(GatewayFixture fixture, HttpRequest request)
            throws Exception {
        return fixture.client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void inferRequestAndResponseWithBinaryTensorsPassUnchanged() throws Exception {
        try (GatewayFixture fixture = startGateway(2)) {
            byte[] binary = new byte[300_000];
            new Random(1).nextBytes(binary);
            String json =
                    "{\"inputs\":[{\"name\":\"x\",\"shape\":[300000],\"datatype\":\"UINT8\",\"parameters\":"
                        + "{\"binary_data_size\":300000}}]}";
            List<byte[]> receivedBodies = new ArrayList<>();
            fixture.script =
                    received -> {
                        receivedBodies.add(received.exchange().message().body());
                        byte[] body =
                                ByteBuffer.allocate(14 + binary.length)
                                        .order(ByteOrder.LITTLE_ENDIAN)
                                        .put("{\"outputs\":[]}".getBytes())
                                        .put(binary)
                                        .array();
                        received.exchange()
                                .answer(
                                        200,
                                        "application/octet-stream",
                                        body,
                                        "Inference-Header-Content-Length",
                                        "14");
                    };
            HttpResponse<byte[]> response =
                    fixture.client.send(
                            inferRequest(fixture, "m", json, binary),
                            HttpResponse.BodyHandlers.ofByteArray());
            assertEquals(200, response.statusCode());
            assertEquals(
                    "14",
                    response.headers().firstValue("inference-header-content-length").orElse(""));
            assertArrayEquals(
                    binary, Arrays.copyOfRange(response.body(), 14, response.body().length));
            assertArrayEquals(
                    ByteBuffer.allocate(json.length() + binary.length)
                            .put(json.getBytes())
                            .put(binary)
                            .array(),
                    receivedBodies.get(0));
        }
    }

    @Test
    void protocolPathsReturnTheirStatusAndBody() throws Exception {
        try (GatewayFixture fixture = startGateway(1)) {
            String[][] cases = {
                {"/v2/health/live", "200", "{\"live\":true}"},
                {"/v2/health/ready", "200", "true"},
                {"/v2", "200", "binary_tensor_data"},
                {"/v2/models/charge", "200", "\"versions\":[\"1\"]"},
                {"/v2/models/charge/ready", "200", "\"ready\":true"},
                {"/v2/models/charge/versions/1/ready", "200", "true"},
                {"/v2/models/charge/versions/2/ready", "404", "\"error\""},
                {"/v2/models/a%20b", "404", "error"},
                {"/v2/nothing", "404", "error"},
                {"/v2/models/charge/infer", "405", "error"}
            };
            for (String[] testCase : cases) {
                HttpResponse<String> response =
                        send(fixture, authorizedRequest(fixture, testCase[0]).GET().build());
                assertEquals(
                        testCase[1],
                        Integer.toString(response.statusCode()),
                        testCase[0] + response.body());
                assertTrue(response.body().contains(testCase[2]), response.body());
            }
            HttpRequest.BodyPublisher emptyObject = HttpRequest.BodyPublishers.ofString("{}");
            assertTrue(
                    send(
                                    fixture,
                                    authorizedRequest(fixture, "/v2/repository/index")
                                            .POST(emptyObject)
                                            .build())
                            .body()
                            .contains("\"name\":\"charge\""));
            assertEquals(
                    405,
                    send(
                                    fixture,
                                    authorizedRequest(fixture, "/v2/repository/models/charge/load")
                                            .POST(emptyObject)
                                            .build())
                            .statusCode());
            assertEquals(
                    401,
                    send(
                                    fixture,
                                    HttpRequest.newBuilder(
                                                    URI.create(
                                                            "http://127.0.0.1:"
                                                                    + fixture.gateway.port()
                                                                    + "/v2/models/m/infer"))
                                            .header("Authorization", "Bearer other")
                                            .POST(emptyObject)
                                            .build())
                            .statusCode());
        }
    }

    @Test
    void malformedTensorReturns400NamingItsFieldAndKeepsTheConnectionOpen() throws Exception {
        try (GatewayFixture fixture = startGateway(1);
                Socket socket = new Socket("127.0.0.1", fixture.gateway.port())) {
            socket.setSoTimeout(5_000);
            fixture.script =
                    received ->
                            received.exchange()
                                    .answer(200, "application/json", "{\"outputs\":[]}".getBytes());
            String[][] cases = {
                {
                    SMALL_INFER_REQUEST.replace("[1],", "[4294967296,4294967296],"),
                    "inputs[0].shape: the number"
                },
                {SMALL_INFER_REQUEST.replace("INT8", "INT9"), "inputs[0].datatype"},
                {
                    SMALL_INFER_REQUEST.replace(
                            "\"data\":[1]", "\"parameters\":{\"binary_data_size\":5}"),
                    "inputs[0].parameters.binary_data_size"
                },
                {"{", "not JSON"},
                {SMALL_INFER_REQUEST, "outputs"}
            };
            for (String[] testCase : cases) {
                socket.getOutputStream()
                        .write(
                                ("POST /v2/models/m/infer HTTP/1.1\r\n"
                                                + "Host: a\r\n"
                                                + "Authorization: Bearer "
                                                + BEARER_KEY
                                                + "\r\nContent-Length: "
                                                + testCase[0].length()
                                                + "\r\n\r\n"
                                                + testCase[0])
                                        .getBytes());
                StringBuilder response = new StringBuilder();
                while (!response.toString().endsWith("}")) {
                    response.append((char) socket.getInputStream().read());
                }
                assertTrue(
                        response.toString()
                                .startsWith(
                                        testCase[0].equals(SMALL_INFER_REQUEST)
                                                ? "HTTP/1.1 200"
                                                : "HTTP/1.1 400"),
                        response.toString());
                assertTrue(response.toString().contains(testCase[1]), response.toString());
            }
        }
    }

    @Test
    void kserveRequestsFollowTheRepeatRulesIdempotencyKeysAndTimeoutsOfTheirClass()
            throws Exception {
        try (GatewayFixture fixture = startGateway(3)) {
            fixture.script = received -> received.exchange().reset();
            HttpResponse<String> unsafeResponse =
                    send(
                            fixture,
                            inferRequest(
                                    fixture,
                                    "charge",
                                    SMALL_INFER_REQUEST,
                                    new byte[0],
                                    "Idempotency-Key",
                                    "k1"));
            assertEquals(502, unsafeResponse.statusCode(), unsafeResponse.body());
            assertEquals(
                    "false", unsafeResponse.headers().firstValue("waytrestle-harmless").orElse(""));
            assertEquals(
                    1,
                    fixture.inferRequests().size(),
                    "a request to an unsafe model is not retried");
            fixture.script =
                    received ->
                            received.exchange()
                                    .answer(200, "application/json", "{\"outputs\":[]}".getBytes());
            assertEquals(
                    502,
                    send(
                                    fixture,
                                    inferRequest(
                                            fixture,
                                            "charge",
                                            SMALL_INFER_REQUEST,
                                            new byte[0],
                                            "Idempotency-Key",
                                            "k1"))
                            .statusCode());
            assertEquals(
                    1,
                    fixture.inferRequests().size(),
                    "a repeat of the idempotency key gets the first outcome");
            assertEquals(
                    200,
                    send(fixture, inferRequest(fixture, "charge", SMALL_INFER_REQUEST, new byte[0]))
                            .statusCode(),
                    "a repeat without an idempotency key is a new request");
            assertEquals(
                    422,
                    send(
                                    fixture,
                                    inferRequest(
                                            fixture,
                                            "charge",
                                            SMALL_INFER_REQUEST + " ",
                                            new byte[0],
                                            "Idempotency-Key",
                                            "k1"))
                            .statusCode());
            HttpResponse<String> timedOutResponse = null;
            fixture.script = received -> {};
            timedOutResponse =
                    send(
                            fixture,
                            inferRequest(
                                    fixture,
                                    "m",
                                    SMALL_INFER_REQUEST.replace(
                                            "\"inputs\"",
                                            "\"parameters\":{\"timeout\":300000},\"inputs\""),
                                    new byte[0]));
            assertEquals(
                    504,
                    timedOutResponse.statusCode(),
                    "a safe request times out after its timeout parameter of 0.3 s: "
                            + timedOutResponse.body());
        }
    }

    /**
     * Bodies beyond the limit on all bodies together stay unread in their sockets until others end.
     */
    @Test
    void bodiesBeyondTheTotalLimitWaitAndAreServedAndAnOversizedBodyReturns413() throws Exception {
        try (GatewayFixture fixture =
                startGateway(2, "body_bytes = 268435456", "body_bytes = 400000")) {
            fixture.script =
                    received ->
                            fixture.eventLoop.after(
                                    50_000,
                                    () ->
                                            received.exchange()
                                                    .answer(
                                                            200,
                                                            "application/json",
                                                            "{\"outputs\":[]}".getBytes()));
            String json =
                    "{\"inputs\":[{\"name\":\"x\",\"shape\":[200000],\"datatype\":\"UINT8\",\"parameters\":"
                        + "{\"binary_data_size\":200000}}]}";
            List<CompletableFuture<HttpResponse<String>>> pendingResponses = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                pendingResponses.add(
                        fixture.client.sendAsync(
                                inferRequest(fixture, "m" + i, json, new byte[200_000]),
                                HttpResponse.BodyHandlers.ofString()));
            }
            for (CompletableFuture<HttpResponse<String>> pending : pendingResponses) {
                assertEquals(200, pending.get().statusCode());
            }
            String metrics = fixture.fetchAdminPage("/metrics").body();
            assertTrue(
                    metrics.contains("waytrestle_turned_away_total{reason=\"bodies_waited\"}"),
                    "at least one body had to wait");
            assertTrue(metrics.contains("waytrestle_body_bytes 0"), metrics);
            HttpResponse<String> oversizedResponse =
                    send(
                            fixture,
                            inferRequest(
                                    fixture,
                                    "m",
                                    json.replace("200000", "500000"),
                                    new byte[500_000]));
            assertEquals(413, oversizedResponse.statusCode());
        }
    }

    @Test
    void idleAndSlowConnectionsDoNotBlockOthersAndAreLimitedPerNetwork() throws Exception {
        try (GatewayFixture fixture =
                startGateway(
                        2,
                        "connections_per_network = 5000",
                        "connections_per_network = 4300",
                        "head_ms = 10000",
                        "head_ms = 3000")) {
            List<Socket> connections = new ArrayList<>();
            for (int i = 0; i < 4_200; i++) {
                Socket socket = new Socket("127.0.0.1", fixture.gateway.port());
                connections.add(socket);
                if (i < 200) {
                    socket.getOutputStream().write("POST /v2/models/m/in".getBytes());
                }
            }
            fixture.script =
                    received ->
                            received.exchange()
                                    .answer(200, "application/json", "{\"outputs\":[]}".getBytes());
            for (int i = 0; i < 20; i++) {
                assertEquals(
                        200,
                        send(fixture, inferRequest(fixture, "m", SMALL_INFER_REQUEST, new byte[0]))
                                .statusCode());
            }
            for (int i = 0; i < 400; i++) { // 4400 without the 200 slow connections: over the limit
                connections.add(new Socket("127.0.0.1", fixture.gateway.port()));
            }
            GatewayFixture.waitUntil(
                    () -> fetchMetrics(fixture).contains("{reason=\"connections_of_network\"}"),
                    "a connection refused by the limit of 4300 per network");
            GatewayFixture.waitUntil(
                    () -> fetchMetrics(fixture).contains("{reason=\"slow_head\"} 200"),
                    "200 connections closed for a slow request head");
            for (Socket socket : connections) {
                socket.close();
            }
            GatewayFixture.waitUntil(
                    () ->
                            fetchMetrics(fixture)
                                    .lines()
                                    .anyMatch(line -> line.matches("waytrestle_connections [0-9]")),
                    "fewer than 10 connections open");
        }
    }

    private static String fetchMetrics(GatewayFixture fixture) {
        try {
            return fixture.fetchAdminPage("/metrics").body();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
