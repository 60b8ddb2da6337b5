package waytrestle.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import waytrestle.load.LoadPlan;
import waytrestle.load.LoadReport;
import waytrestle.load.LoadRun;
import waytrestle.net.Loop;
import waytrestle.play.Play;
import waytrestle.play.Processes;
import waytrestle.standin.Env;
import waytrestle.standin.InvokerModel;
import waytrestle.standin.InvokerStandIn;
import waytrestle.standin.StoreModel;

/** What the gateway adds: the same calls straight to stand-in invokers and through a gateway process, side by side. */
@Command(name = "measure", mixinStandardHelpOptions = true, description = "Measure what a gateway process adds over "
        + "calling stand-in invokers directly; a table of latencies, CPU and bytes allocated a call.")
final class MeasureCommand implements Callable<Integer> {
    private static final String SECRET = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw";

    private static final String KEY = "measure-key-0123456789";
    private static final String KEY_HASH = "017cea668b0af2f69d33f6ed96c2b0fedb6dc1d2fb7ff07932c6a2d979bfe324";

    @Spec
    private CommandSpec spec;

    @Option(names = "--rates", split = ",", defaultValue = "500,2000", description = "Calls a second; default ${DEFAULT-VALUE}.")
    private List<Integer> rates;

    @Option(names = "--seconds", defaultValue = "10", description = "Of each run, after a warm-up; default ${DEFAULT-VALUE}.")
    private int seconds;

    @Option(names = "--invokers", defaultValue = "40", description = "Stand-ins; default ${DEFAULT-VALUE}.")
    private int count;

    @Option(names = "--payload", defaultValue = "256", description = "Bytes of a call; default ${DEFAULT-VALUE}.")
    private int payload;

    @Option(names = "--front", defaultValue = "webhook", description = "webhook or kserve; default ${DEFAULT-VALUE}.")
    private String front;

    @Option(names = "--out", required = true, paramLabel = "DIR", description = "Where configuration, logs and tables go.")
    private Path dir;

    private final List<InetSocketAddress> invokers = new ArrayList<>();

    @Override
    public Integer call() throws Exception {
        Files.createDirectories(dir);
        PrintWriter out = spec.commandLine().getOut();
        Loop fleet = new Loop("fleet", Throwable::printStackTrace);
        Loop load = new Loop("load", Throwable::printStackTrace).precise();
        stand(fleet);
        fleet.start();
        load.start();
        Path config = dir.resolve("gateway-0.toml");
        int port = free();
        int admin = free();
        Files.writeString(config, config(port, admin));
        Play.Running gateway = new Processes(dir, "finish", false).start(0, config);
        try {
            ready(admin);
            StringBuilder table = new StringBuilder("rate_per_s,direct_p50_ms,direct_p99_ms,direct_p999_ms,gateway_p50_ms,"
                    + "gateway_p99_ms,gateway_p999_ms,added_p50_ms,added_p99_ms,added_p999_ms,served,cpu_us_a_call,"
                    + "bytes_a_call\n");
            run(load, 500, 5, port, true);
            run(load, 500, 5, port, false);
            for (int rate : rates) {
                LoadRun.Tally direct = run(load, rate, seconds, port, false);
                run(load, rate, 4, port, true);
                Map<String, Double> before = metrics(admin);
                LoadRun.Tally through = run(load, rate, seconds, port, true);
                Map<String, Double> after = metrics(admin);
                double calls = Math.max(1, through.offered);
                StringBuilder row = new StringBuilder(Integer.toString(rate));
                double[] q = {50, 99, 99.9};
                for (LoadRun.Tally t : new LoadRun.Tally[] {direct, through}) {
                    for (double each : q) {
                        row.append(String.format(Locale.ROOT, ",%.3f", t.latency.getValueAtPercentile(each) / 1e3));
                    }
                }
                for (double each : q) {
                    row.append(String.format(Locale.ROOT, ",%.3f", (through.latency.getValueAtPercentile(each)
                            - direct.latency.getValueAtPercentile(each)) / 1e3));
                }
                row.append(String.format(Locale.ROOT, ",%.4f,%.1f,%.0f%n", through.served / calls,
                        grown(before, after, "waytrestle_process_cpu_seconds") * 1e6 / calls,
                        grown(before, after, "waytrestle_loop_allocated_bytes") / calls));
                table.append(row);
                out.print(row);
                out.flush();
                if (!through.ends.keySet().equals(java.util.Set.of("served"))) {
                    out.println("  ends: " + through.ends);
                }
            }
            Files.writeString(dir.resolve("measure.csv"), table);
            out.print(table);
            out.flush();
        } finally {
            gateway.stop();
            fleet.stop();
            load.stop();
        }
        return 0;
    }

    private static double grown(Map<String, Double> before, Map<String, Double> after, String name) {
        return after.getOrDefault(name, 0.0) - before.getOrDefault(name, 0.0);
    }

    private void stand(Loop fleet) throws IOException {
        Env env = new Env() {
            @Override
            public long now() {
                return Loop.now();
            }

            @Override
            public void after(long micros, Runnable task) {
                fleet.after(micros, task);
            }
        };
        StoreModel store = new StoreModel(env, 1_000, 100_000);
        InvokerModel.Shape shape = new InvokerModel.Shape(1_000, 100_000, 1e9, 1_000, 0.5, 3_600_000_000L, false, true, 1,
                1, 1e6, 1_000_000, 200_000);
        for (int i = 0; i < count; i++) {
            InvokerStandIn made = new InvokerStandIn(fleet, env, 0, Map.of(),
                    cold -> new InvokerModel(env, store, shape, cold), new HashMap<>(), 0, (who, what, pairs) -> { }, i);
            invokers.add(waytrestle.config.GatewayConfig.parse(made.id()));
        }
    }

    private static int free() throws IOException {
        try (java.net.ServerSocket s = new java.net.ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return s.getLocalPort();
        }
    }

    private String config(int port, int admin) throws IOException {
        String text;
        try (java.io.InputStream in = MeasureCommand.class.getResourceAsStream("/demo.toml")) {
            text = new String(in.readAllBytes());
        }
        StringBuilder out = new StringBuilder("[controller]\nnumber = 0\ncount = 1\nzone = \"north\"\nzones = [\"north\"]\n"
                + "seed = 1\ntick_ms = 5\nweight_kind = \"none\"\nover_share_worth = 0.1\n[listen]\naddress = \"127.0.0.1:"
                + port + "\"\nadmin = \"127.0.0.1:" + admin + "\"\n[http]\nbody_bytes = 134217728\n[invokers]\n"
                + "answer_bytes = 134217728\n[roster]\ndiscovery = \"pushed\"\n"
                + "[[endpoint]]\npath = \"/hooks/seat-check\"\nclass = \"seat-check\"\nfunction_pointer = \"/function\"\n"
                + "secrets = [\"" + SECRET + "\"]\n[kserve]\nclass = \"seat-check\"\n[[kserve.key]]\nsha256 = \""
                + KEY_HASH + "\"\n");
        out.append(text.substring(text.indexOf("[[gateway.kind]]")).replace("gateway.", ""));
        for (InetSocketAddress each : invokers) {
            out.append("\n[[invoker]]\naddress = \"").append(waytrestle.config.GatewayConfig.id(each))
                    .append("\"\nzone = \"north\"\nkind = \"std\"\n");
        }
        return out.toString();
    }

    private static void ready(int admin) throws Exception {
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
        return java.net.http.HttpClient.newHttpClient().send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port
                + path)).build(), HttpResponse.BodyHandlers.ofString());
    }

    private static Map<String, Double> metrics(int admin) throws Exception {
        Map<String, Double> all = new HashMap<>();
        get(admin, "/metrics").body().lines().filter(l -> !l.startsWith("#")).forEach(l -> {
            int space = l.lastIndexOf(' ');
            all.put(l.substring(0, space), Double.parseDouble(l.substring(space + 1)));
        });
        return all;
    }

    private LoadRun.Tally run(Loop loop, int rate, int length, int port, boolean gateway) throws Exception {
        boolean kserve = front.equals("kserve");
        LoadPlan.Stream stream = new LoadPlan.Stream(gateway ? "gateway" : "direct", !gateway ? LoadPlan.Front.INVOKER
                : kserve ? LoadPlan.Front.KSERVE : LoadPlan.Front.WEBHOOK, gateway ? List.of(new InetSocketAddress(
                        InetAddress.getLoopbackAddress(), port)) : invokers, "/hooks/seat-check",
                kserve ? KEY : SECRET, "f", 40, 0.7, 1, payload, 1, 5_000_000, 0);
        LoadRun run = new LoadRun(new LoadPlan(1, 4_000, List.of(new LoadPlan.Stage(rate, rate, length * 1_000_000L)),
                List.of(stream)), loop);
        run.run();
        if (length == seconds) {
            LoadReport.write(run, dir.resolve((gateway ? "gateway-" : "direct-") + rate));
        }
        return run.tallies().get(stream.name());
    }
}
