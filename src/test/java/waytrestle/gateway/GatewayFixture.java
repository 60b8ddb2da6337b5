package waytrestle.gateway;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import waytrestle.config.GatewayConfig;
import waytrestle.config.TomlFile;
import waytrestle.controller.Controller;
import waytrestle.front.webhook.Signatures;
import waytrestle.http.HttpLimits;
import waytrestle.http.HttpServer;
import waytrestle.net.Loop;
import waytrestle.scheduler.FinishTimeScheduler;
import waytrestle.standin.RosterStandIn;

/**
 * Runs a gateway in the test's process, with scripted invokers on loopback addresses and signed
 * webhook requests sent by the JDK's HTTP client. The scripts run on {@link #eventLoop}, the thread
 * of the invokers and of the health API's stand-in; all other methods are called by the test's
 * thread.
 */
final class GatewayFixture implements AutoCloseable {
    static final String WEBHOOK_SECRET = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw";

    /**
     * A request that an invoker received, with the exchange that its response is written to.
     *
     * @param inferenceId the id in the JSON part of an infer request, which for a webhook request
     *     ends in a space and the webhook id; empty where there is no JSON part
     * @param attemptNumber the attempt's number from 0; -1 where the request has no such header
     * @param payload the binary tensor after its length prefix of four bytes, else the whole body
     * @param receivedAtMicros when the request was read, on the clock of {@link Loop#nowMicros}
     */
    record ReceivedRequest(
            String invokerAddress,
            String path,
            String inferenceId,
            int attemptNumber,
            byte[] payload,
            long receivedAtMicros,
            HttpServer.Exchange exchange) {
        /** Responds with status 200, the output as a tensor and a load report of a warm start. */
        void respondWithOutput(String output) {
            byte[] body = output.getBytes(StandardCharsets.UTF_8);
            String json =
                    "{\"outputs\":[{\"name\":\"r\",\"parameters\":{\"binary_data_size\":"
                            + (body.length + 4)
                            + ",\"content_type\":\"text/plain\"}}]}";
            exchange.answer(
                    200,
                    "application/octet-stream",
                    ByteBuffer.allocate(json.length() + 4 + body.length)
                            .order(ByteOrder.LITTLE_ENDIAN)
                            .put(json.getBytes())
                            .putInt(body.length)
                            .put(body)
                            .array(),
                    "Inference-Header-Content-Length",
                    Integer.toString(json.length()),
                    "endpoint-load-metrics",
                    "TEXT named_metrics.queue=1,named_metrics.start=1");
        }

        void respondWithStatus(int status) {
            exchange.answer(status, "application/json", "{\"error\":\"x\"}".getBytes());
        }
    }

    /** Responds to the requests of all scripted invokers, or leaves them without a response. */
    interface InvokerScript {
        void respond(ReceivedRequest request) throws Exception;
    }

    final List<ReceivedRequest> receivedRequests = Collections.synchronizedList(new ArrayList<>());

    /** Exceptions of the scripts and of the event loop; any one fails the test at its end. */
    final List<Throwable> failures = Collections.synchronizedList(new ArrayList<>());

    final List<String> invokerAddresses = new ArrayList<>();
    final Loop eventLoop = new Loop("invokers", failures::add);
    final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    final List<HttpServer> invokerServers = new ArrayList<>();
    volatile InvokerScript script = received -> received.respondWithOutput("done");

    /** The stand-in of the health API; null until {@link #startRoster}. */
    RosterStandIn roster;

    /** The gateway; null until it is started. */
    Gateway gateway;

    GatewayConfig config;

    /** The wall clock of the gateways that are started after it is set, in milliseconds. */
    LongSupplier wallClockMillis = System::currentTimeMillis;

    int rosterPort;

    /** Creates a fixture whose invokers run outside of it, at the given addresses. */
    GatewayFixture(List<String> addresses) throws Exception {
        eventLoop.start();
        invokerAddresses.addAll(addresses);
    }

    /** Creates a fixture with the given number of scripted invokers and starts these. */
    GatewayFixture(int invokerCount) throws Exception {
        eventLoop.start();
        for (int i = 0; i < invokerCount; i++) {
            String[] address = {""};
            HttpServer server =
                    new HttpServer(
                            eventLoop,
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                            HttpLimits.DEFAULT,
                            1_000,
                            exchange -> {
                                ReceivedRequest received = readRequest(address[0], exchange);
                                receivedRequests.add(received);
                                try {
                                    script.respond(received);
                                } catch (Exception scriptFailure) {
                                    failures.add(scriptFailure);
                                }
                            });
            address[0] = "127.0.0.1:" + server.port();
            invokerServers.add(server);
            invokerAddresses.add(address[0]);
        }
    }

    private static ReceivedRequest readRequest(
            String invokerAddress, HttpServer.Exchange exchange) {
        String headerLength = exchange.message().header("inference-header-content-length");
        byte[] body = exchange.message().body();
        String inferenceId = "";
        byte[] payload = body;
        if (headerLength != null) {
            int jsonLength = Integer.parseInt(headerLength);
            String text = new String(body, 0, jsonLength, StandardCharsets.UTF_8);
            inferenceId = text.substring(7, text.indexOf('"', 7));
            payload = Arrays.copyOfRange(body, jsonLength + 4, body.length);
        }
        String attemptHeader = exchange.message().header("waytrestle-attempt");
        return new ReceivedRequest(
                invokerAddress,
                exchange.message().path(),
                inferenceId,
                attemptHeader == null ? -1 : Integer.parseInt(attemptHeader),
                payload,
                Loop.nowMicros(),
                exchange);
    }

    List<ReceivedRequest> inferRequests() {
        synchronized (receivedRequests) {
            return receivedRequests.stream()
                    .filter(received -> received.path().endsWith("/infer"))
                    .toList();
        }
    }

    /**
     * Returns the text of the example settings file with free ports, no slow start and an
     * order-change endpoint. Endpoints come from the health API's stand-in or else are listed, in
     * cells that alternate between 0 and 1.
     */
    String settingsText(boolean withRoster) throws Exception {
        String text =
                Files.readString(Path.of("deploy/gateway.example.toml"))
                                .replace("127.0.0.1:8080", "127.0.0.1:0")
                                .replace("127.0.0.1:9090", "127.0.0.1:0")
                                .replace("warm_after_ms = 14000", "warm_after_ms = 0")
                                .replace(
                                        "class = \"seat-charge\"\nfunction = \"charge\"",
                                        "class = \"seat-charge\"\nfunction_pointer = "
                                                + "\"/data/function\"")
                        + "\n"
                        + "[[endpoint]]\n"
                        + "path = \"/hooks/order-change\"\n"
                        + "tenant = \"prairie\"\n"
                        + "class = \"order-change\"\n"
                        + "function_pointer = \"/data/function\"\n"
                        + "secrets = [\""
                        + WEBHOOK_SECRET
                        + "\"]\n";
        if (withRoster) {
            return text.replace("127.0.0.1:8500", "127.0.0.1:" + rosterPort);
        }
        StringBuilder settings =
                new StringBuilder(text.replace("address = \"127.0.0.1:8500\"", ""));
        for (int i = 0; i < invokerAddresses.size(); i++) {
            settings.append("[[invoker]]\naddress = \"")
                    .append(invokerAddresses.get(i))
                    .append("\"\nzone = \"north-building\"\ncell = ")
                    .append(i % 2)
                    .append("\nkind = \"small-3core\"\n");
        }
        return settings.toString();
    }

    /** Starts the health API's stand-in, which lists all invokers as passing. */
    GatewayFixture startRoster() throws Exception {
        roster = new RosterStandIn(eventLoop, 0, (source, event, fields) -> {});
        rosterPort = roster.port();
        for (String address : invokerAddresses) {
            setInvokerState(address, "passing");
        }
        return this;
    }

    /** Lists the invoker in the health API under a Consul state such as passing or critical. */
    void setInvokerState(String address, String state) {
        eventLoop.execute(
                () ->
                        roster.set(
                                new RosterStandIn.Instance(
                                        address, "north-building", 0, "small-3core", state, 0)));
    }

    GatewayFixture start() throws Exception {
        return start(settingsText(roster != null), FinishTimeScheduler::new);
    }

    /** Starts a gateway and waits up to 2 s until it is ready, unless it has no invokers. */
    GatewayFixture start(String text, Controller.SchedulerFactory schedulerFactory)
            throws Exception {
        config = TomlFile.parse(text, "fixture.toml", GatewayConfig::from);
        gateway = Gateway.start(config, schedulerFactory, wallClockMillis);
        for (int i = 0;
                i < 200
                        && fetchAdminPage("/health/ready").statusCode() != 200
                        && !invokerAddresses.isEmpty();
                i++) {
            Thread.sleep(10);
        }
        return this;
    }

    HttpResponse<String> fetchAdminPage(String path) throws Exception {
        return client.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + gateway.adminPort() + path))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Returns a POST to the path under {@code /hooks/}, signed with {@link #WEBHOOK_SECRET}. */
    HttpRequest.Builder signedRequest(
            String endpoint, String webhookId, long timestampSeconds, String body) {
        String timestamp = Long.toString(timestampSeconds);
        return HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + gateway.port() + "/hooks/" + endpoint))
                .header("webhook-id", webhookId)
                .header("webhook-timestamp", timestamp)
                .header(
                        "webhook-signature",
                        Signatures.sign(
                                WEBHOOK_SECRET,
                                webhookId,
                                timestamp,
                                body.getBytes(StandardCharsets.UTF_8)))
                .timeout(Duration.ofSeconds(20))
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    static String requestBody(String function) {
        return "{\"data\":{\"function\":\"" + function + "\"}}";
    }

    /**
     * Returns a webhook timestamp that is later than the second in which the gateway started, by
     * the gateway's wall clock. Requests signed in the second of the start are refused.
     */
    long validTimestampSeconds() {
        return wallClockMillis.getAsLong() / 1_000 + 2;
    }

    CompletableFuture<HttpResponse<String>> sendRequest(String endpoint, String webhookId) {
        return client.sendAsync(
                signedRequest(endpoint, webhookId, validTimestampSeconds(), requestBody("f"))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> sendAndWait(String endpoint, String webhookId) throws Exception {
        return sendRequest(endpoint, webhookId).get();
    }

    /**
     * Waits until the condition is met, and fails after 15 s. The limit is far above the usual
     * wait, so that only a condition that is never met reaches it.
     */
    static void waitUntil(BooleanSupplier condition, String description)
            throws InterruptedException {
        for (int i = 0; i < 1_500; i++) {
            if (condition.getAsBoolean()) {
                return;
            }
            Thread.sleep(10);
        }
        throw new AssertionError("not met within 15 s: " + description);
    }

    @Override
    public void close() throws Exception {
        if (gateway != null) {
            gateway.kill();
            gateway.join(5_000);
        }
        eventLoop.stop();
        eventLoop.join(5_000);
        if (!failures.isEmpty()) {
            throw new AssertionError(
                    "the event loop or the script of an invoker failed", failures.get(0));
        }
    }
}
