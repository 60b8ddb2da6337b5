package waytrestle.cli;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import waytrestle.config.GatewayConfig;
import waytrestle.load.LoadPlan;
import waytrestle.net.Loop;
import waytrestle.play.Play;
import waytrestle.play.Processes;
import waytrestle.standin.Env;
import waytrestle.standin.InvokerModel;
import waytrestle.standin.InvokerStandIn;
import waytrestle.standin.LoopEnv;
import waytrestle.standin.StoreModel;

/**
 * What measuring needs: stand-in invokers here, a gateway as a process of its own, and a loop that
 * sends load.
 */
final class Rig implements AutoCloseable {
    static final String SECRET = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw",
            KEY = "measure-key-0123456789";
    private static final String KEY_HASH =
            "017cea668b0af2f69d33f6ed96c2b0fedb6dc1d2fb7ff07932c6a2d979bfe324";
    static final InvokerModel.Shape BOUNDLESS =
            new InvokerModel.Shape(
                    1_000,
                    100_000,
                    1e9,
                    1_000,
                    0.5,
                    3_600_000_000L,
                    false,
                    true,
                    1,
                    1,
                    1e6,
                    1_000_000,
                    200_000);

    final Loop fleet = new Loop("fleet", Throwable::printStackTrace);
    final Loop load = new Loop("load", Throwable::printStackTrace).busyPollShortWaits();
    final List<InetSocketAddress> invokers = new ArrayList<>();
    private final Path dir;
    private Play.Running gateway;
    int port, admin;

    Rig(Path dir, int count, InvokerModel.Shape shape) throws IOException {
        this(dir);
        stand(count, shape);
    }

    /** Without invokers: whoever measures adds their addresses. */
    Rig(Path dir) throws IOException {
        this.dir = Files.createDirectories(dir);
        fleet.start();
        load.start();
    }

    /** Starts a gateway over the stand-ins; more is added to its configuration. */
    void gateway(String more) throws Exception {
        gateway(config -> config + more, null);
    }

    /** The same with the configuration changed, of another build where its jar is given. */
    void gateway(UnaryOperator<String> change, Path jar) throws Exception {
        if (gateway != null) {
            gateway.kill();
        }
        port = free();
        admin = free();
        Path config = dir.resolve("gateway-0.toml");
        Files.writeString(config, change.apply(config()));
        Processes processes = new Processes(dir, "finish", false);
        gateway = (jar == null ? processes : processes.from(jar)).start(0, config);
        ready();
    }

    /** Calls to the gateway by a front, or (null) straight to the stand-ins. */
    LoadPlan.Stream stream(
            String name, LoadPlan.Front front, int payload, double workMs, long deadlineMicros) {
        return new LoadPlan.Stream(
                name,
                front,
                front == LoadPlan.Front.INVOKER
                        ? invokers
                        : List.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)),
                "/hooks/seat-check",
                front == LoadPlan.Front.KSERVE ? KEY : SECRET,
                "f",
                40,
                0.7,
                1,
                payload,
                workMs,
                800_000,
                deadlineMicros,
                0);
    }

    @Override
    public void close() {
        if (gateway != null) {
            gateway.stop();
        }
        fleet.stop();
        load.stop();
    }

    private void stand(int count, InvokerModel.Shape shape) throws IOException {
        Env env = new LoopEnv(fleet);
        StoreModel store = new StoreModel(env, 1_000, 100_000);
        Map<String, InvokerModel.Function> functions = new HashMap<>();
        for (int i = 0;
                i < 40;
                i++) { // loads take no time: what is measured is the path of warm calls
            functions.put("f-" + i, new InvokerModel.Function("f-" + i, 100, 64, 0, false));
        }
        for (int i = 0; i < count; i++) {
            InvokerStandIn made =
                    new InvokerStandIn(
                            fleet,
                            env,
                            0,
                            functions,
                            cold -> new InvokerModel(env, store, shape, cold),
                            new HashMap<>(),
                            0,
                            (who, what, pairs) -> {},
                            i);
            invokers.add(GatewayConfig.parseAddress(made.id()));
        }
    }

    private static int free() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }

    private String config() throws IOException {
        String text;
        try (InputStream in = Rig.class.getResourceAsStream("/demo.toml")) {
            text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
        StringBuilder out =
                new StringBuilder(
                        "[controller]\n"
                                + "number = 0\n"
                                + "count = 1\n"
                                + "zone = \"north\"\n"
                                + "zones = [\"north\"]\n"
                                + "seed = 1\n"
                                + "tick_ms = 5\n"
                                + "weight_kind = \"none\"\n"
                                + "over_share_worth = 0.1\n"
                                + "[listen]\n"
                                + "address = \"127.0.0.1:"
                                + port
                                + "\"\nadmin = \"127.0.0.1:"
                                + admin
                                + "\"\n"
                                + "[http]\n"
                                + "body_bytes = 134217728\n"
                                + "[invokers]\n"
                                + "answer_bytes = 134217728\n"
                                + "[roster]\n"
                                + "discovery = \"pushed\"\n"
                                + "[[endpoint]]\n"
                                + "path = \"/hooks/seat-check\"\n"
                                + "class = \"seat-check\"\n"
                                + "function_pointer = \"/function\"\n"
                                + "secrets = [\""
                                + SECRET
                                + "\"]\n"
                                + "[kserve]\n"
                                + "class = \"seat-check\"\n"
                                + "[[kserve.key]]\n"
                                + "sha256 = \""
                                + KEY_HASH
                                + "\"\n");
        out.append(text.substring(text.indexOf("[[gateway.kind]]")).replace("gateway.", ""));
        for (InetSocketAddress each : invokers) {
            out.append("\n[[invoker]]\naddress = \"")
                    .append(GatewayConfig.invokerId(each))
                    .append("\"\nzone = \"north\"\nkind = \"std\"\n");
        }
        return out.toString();
    }

    private void ready() throws Exception {
        for (int i = 0; i < 200; i++) {
            try {
                if (get(admin, "/health/ready").statusCode() == 200) {
                    Thread.sleep(1_100);
                    return;
                }
            } catch (IOException notYet) {
                // it is still starting
            }
            Thread.sleep(50);
        }
        throw new IOException("the gateway did not become ready");
    }

    private static HttpResponse<String> get(int port, String path) throws Exception {
        return HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
    }

    Map<String, Double> metrics() throws Exception {
        Map<String, Double> all = new HashMap<>();
        get(admin, "/metrics")
                .body()
                .lines()
                .filter(l -> !l.startsWith("#"))
                .forEach(
                        l -> {
                            int space = l.lastIndexOf(' ');
                            all.put(
                                    l.substring(0, space),
                                    Double.parseDouble(l.substring(space + 1)));
                        });
        return all;
    }
}
