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
 * A gateway in this process with scripted invokers on loopback and signed calls of the JDK's
 * client.
 */
final class GatewayFixture implements AutoCloseable {
    static final String SECRET = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw";

    /** What an invoker was asked, with the exchange to answer it by. */
    record Asked(
            String invoker,
            String path,
            String id,
            int attempt,
            byte[] payload,
            long at,
            HttpServer.Exchange exchange) {
        void ok(String answer) {
            byte[] body = answer.getBytes(StandardCharsets.UTF_8);
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

        void status(int status) {
            exchange.answer(status, "application/json", "{\"error\":\"x\"}".getBytes());
        }
    }

    interface Script {
        void asked(Asked asked) throws Exception;
    }

    final List<Asked> asked = Collections.synchronizedList(new ArrayList<>());
    final List<Throwable> broken = Collections.synchronizedList(new ArrayList<>());
    final List<String> invokers = new ArrayList<>();
    final Loop loop = new Loop("invokers", broken::add);
    final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    final List<HttpServer> servers = new ArrayList<>();
    volatile Script script = a -> a.ok("done");
    RosterStandIn roster;
    Gateway gateway;
    GatewayConfig config;
    LongSupplier wall = System::currentTimeMillis;
    int rosterPort;

    /** Over invokers that stand elsewhere. */
    GatewayFixture(List<String> addresses) throws Exception {
        loop.start();
        invokers.addAll(addresses);
    }

    GatewayFixture(int count) throws Exception {
        loop.start();
        for (int i = 0; i < count; i++) {
            String[] id = {""};
            HttpServer server =
                    new HttpServer(
                            loop,
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                            HttpLimits.DEFAULT,
                            1_000,
                            e -> {
                                Asked a = read(id[0], e);
                                asked.add(a);
                                try {
                                    script.asked(a);
                                } catch (Exception bad) {
                                    broken.add(bad);
                                }
                            });
            id[0] = "127.0.0.1:" + server.port();
            servers.add(server);
            invokers.add(id[0]);
        }
    }

    private static Asked read(String invoker, HttpServer.Exchange e) {
        String length = e.message().header("inference-header-content-length");
        byte[] body = e.message().body();
        String id = "";
        byte[] payload = body;
        if (length != null) {
            int json = Integer.parseInt(length);
            String text = new String(body, 0, json, StandardCharsets.UTF_8);
            id = text.substring(7, text.indexOf('"', 7));
            payload = Arrays.copyOfRange(body, json + 4, body.length);
        }
        String attempt = e.message().header("waytrestle-attempt");
        return new Asked(
                invoker,
                e.message().path(),
                id,
                attempt == null ? -1 : Integer.parseInt(attempt),
                payload,
                Loop.nowMicros(),
                e);
    }

    List<Asked> infers() {
        synchronized (asked) {
            return asked.stream().filter(a -> a.path().endsWith("/infer")).toList();
        }
    }

    /** The example's settings with other addresses; cells alternate between invokers. */
    String text(boolean withRoster) throws Exception {
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
                        + SECRET
                        + "\"]\n";
        if (withRoster) {
            return text.replace("127.0.0.1:8500", "127.0.0.1:" + rosterPort);
        }
        StringBuilder out = new StringBuilder(text.replace("address = \"127.0.0.1:8500\"", ""));
        for (int i = 0; i < invokers.size(); i++) {
            out.append("[[invoker]]\naddress = \"")
                    .append(invokers.get(i))
                    .append("\"\nzone = \"north-building\"\ncell = ")
                    .append(i % 2)
                    .append("\nkind = \"small-3core\"\n");
        }
        return out.toString();
    }

    GatewayFixture startRoster() throws Exception {
        roster = new RosterStandIn(loop, 0, (who, what, pairs) -> {});
        rosterPort = roster.port();
        for (String id : invokers) {
            list(id, "passing");
        }
        return this;
    }

    void list(String id, String state) {
        loop.execute(
                () ->
                        roster.set(
                                new RosterStandIn.Instance(
                                        id, "north-building", 0, "small-3core", state, 0)));
    }

    GatewayFixture start() throws Exception {
        return start(text(roster != null), FinishTimeScheduler::new);
    }

    GatewayFixture start(String text, Controller.SchedulerFactory maker) throws Exception {
        config = TomlFile.parse(text, "bed.toml", GatewayConfig::from);
        gateway = Gateway.start(config, maker, wall);
        for (int i = 0;
                i < 200 && page("/health/ready").statusCode() != 200 && !invokers.isEmpty();
                i++) {
            Thread.sleep(10);
        }
        return this;
    }

    HttpResponse<String> page(String path) throws Exception {
        return http.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + gateway.adminPort() + path))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    HttpRequest.Builder signed(String endpoint, String id, long at, String body) {
        String seconds = Long.toString(at);
        return HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + gateway.port() + "/hooks/" + endpoint))
                .header("webhook-id", id)
                .header("webhook-timestamp", seconds)
                .header(
                        "webhook-signature",
                        Signatures.sign(SECRET, id, seconds, body.getBytes(StandardCharsets.UTF_8)))
                .timeout(Duration.ofSeconds(20))
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    static String body(String function) {
        return "{\"data\":{\"function\":\"" + function + "\"}}";
    }

    /**
     * Signed a second ahead of the gateway's clock: what is signed in the second of its start is
     * refused.
     */
    long soon() {
        return wall.getAsLong() / 1_000 + 2;
    }

    CompletableFuture<HttpResponse<String>> call(String endpoint, String id) {
        return http.sendAsync(
                signed(endpoint, id, soon(), body("f")).build(),
                HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> await(String endpoint, String id) throws Exception {
        return call(endpoint, id).get();
    }

    /** Waits for what must come; the bound is only for when it does not. */
    static void until(BooleanSupplier condition, String what) throws InterruptedException {
        for (int i = 0; i < 1_500; i++) {
            if (condition.getAsBoolean()) {
                return;
            }
            Thread.sleep(10);
        }
        throw new AssertionError("never came: " + what);
    }

    @Override
    public void close() throws Exception {
        if (gateway != null) {
            gateway.kill();
            gateway.join(5_000);
        }
        loop.stop();
        loop.join(5_000);
        if (!broken.isEmpty()) {
            throw new AssertionError("a script broke", broken.get(0));
        }
    }
}
