package waytrestle.cli;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import waytrestle.load.LoadPlan;
import waytrestle.load.LoadReport;
import waytrestle.load.LoadRun;

/**
 * What the gateway adds: the same calls straight to stand-in invokers and through a gateway
 * process, side by side.
 */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        description =
                "Measure what a gateway process adds over calling stand-in invokers directly; a"
                        + " table of latencies, CPU and bytes allocated a call.")
final class MeasureCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
            names = "--rates",
            split = ",",
            defaultValue = "500,2000",
            description = "Calls a second; default ${DEFAULT-VALUE}.")
    private List<Integer> rates;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            description = "Of each run, after a warm-up; default ${DEFAULT-VALUE}.")
    private int seconds;

    @Option(
            names = "--invokers",
            defaultValue = "40",
            description = "Stand-ins; default ${DEFAULT-VALUE}.")
    private int count;

    @Option(
            names = "--payload",
            defaultValue = "256",
            description = "Bytes of a call; default ${DEFAULT-VALUE}.")
    private int payload;

    @Option(
            names = "--front",
            defaultValue = "webhook",
            description = "webhook or kserve; default ${DEFAULT-VALUE}.")
    private String front;

    @Option(
            names = "--beside",
            defaultValue = "0",
            paramLabel = "BYTES",
            description =
                    "Beside the calls, one KServe tensor of so many bytes every two seconds; the"
                            + " calls' latency with and without it is compared.")
    private int beside;

    @Option(names = "--access-log", description = "With the access log on, every call noted.")
    private boolean log;

    @Option(
            names = "--out",
            required = true,
            paramLabel = "DIR",
            description = "Where configuration, logs and tables go.")
    private Path dir;

    @Override
    public Integer call() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        try (Rig rig = new Rig(dir, count, Rig.BOUNDLESS)) {
            rig.gateway(
                    log ? "\n[access_log]\nfile = \"" + dir.resolve("access.jsonl") + "\"\n" : "");
            if (beside > 0) {
                return beside(rig, out);
            }
            LoadPlan.Front through =
                    front.equals("kserve") ? LoadPlan.Front.KSERVE : LoadPlan.Front.WEBHOOK;
            StringBuilder table =
                    new StringBuilder(
                            "rate_per_s,direct_p50_ms,direct_p99_ms,direct_p999_ms,gateway_p50_ms,gateway_p99_ms,gateway_p999_ms,added_p50_ms,added_p99_ms,added_p999_ms,served,cpu_us_a_call,bytes_a_call\n");
            out.print(table);
            for (int i = 0; i < 3; i++) { // until both processes have compiled what they run
                run(rig, Math.min(1_000, rates.get(rates.size() - 1)), 4, through);
                run(rig, Math.min(1_000, rates.get(rates.size() - 1)), 2, LoadPlan.Front.INVOKER);
            }
            for (int rate : rates) {
                LoadRun.Tally direct = run(rig, rate, seconds, LoadPlan.Front.INVOKER);
                run(rig, rate, 4, through);
                Map<String, Double> before = rig.metrics();
                LoadRun.Tally gateway = run(rig, rate, seconds, through);
                String row = row(rate, direct, gateway, before, rig.metrics());
                table.append(row);
                out.print(row);
                out.flush();
                if (!gateway.ends.keySet().equals(Set.of("served"))) {
                    out.println("  ends: " + gateway.ends);
                }
            }
            Files.writeString(dir.resolve("measure.csv"), table);
        }
        return 0;
    }

    /**
     * Small calls through the gateway alone, then with a large tensor now and then on the same
     * loop; three times.
     */
    private int beside(Rig rig, PrintWriter out) throws Exception {
        LoadPlan.Stream small = rig.stream("small", LoadPlan.Front.KSERVE, payload, 1, 5_000_000);
        LoadPlan.Stream large =
                new LoadPlan.Stream(
                        "large",
                        small.front(),
                        small.at(),
                        small.path(),
                        small.credential(),
                        "f",
                        40,
                        0.7,
                        0.5 / rates.get(0),
                        beside,
                        1,
                        5_000_000,
                        30_000_000,
                        0);
        StringBuilder table =
                new StringBuilder(
                        "round,with_large,served,p50_ms,p99_ms,p999_ms,large_served,large_p50_ms\n");
        for (int round = 0; round < 4; round++) {
            for (int with = 0; with < 2; with++) {
                LoadRun run =
                        new LoadRun(
                                new LoadPlan(
                                        round,
                                        4_000,
                                        List.of(
                                                new LoadPlan.Stage(
                                                        rates.get(0),
                                                        rates.get(0),
                                                        seconds * 1_000_000L)),
                                        with == 1 ? List.of(small, large) : List.of(small)),
                                rig.load);
                run.run();
                LoadRun.Tally t = run.tallies().get("small");
                LoadRun.Tally l = run.tallies().getOrDefault("large", new LoadRun.Tally());
                if (round > 0) { // the first is the warm-up
                    table.append(
                            String.format(
                                    Locale.ROOT,
                                    "%d,%d,%d,%.3f,%.3f,%.3f,%d,%.1f%n",
                                    round,
                                    with,
                                    t.served,
                                    t.latency.getValueAtPercentile(50) / 1e3,
                                    t.latency.getValueAtPercentile(99) / 1e3,
                                    t.latency.getValueAtPercentile(99.9) / 1e3,
                                    l.served,
                                    l.latency.getValueAtPercentile(50) / 1e3));
                }
            }
        }
        out.print(table);
        out.flush();
        Files.writeString(dir.resolve("beside.csv"), table);
        return 0;
    }

    private static String row(
            int rate,
            LoadRun.Tally direct,
            LoadRun.Tally gateway,
            Map<String, Double> before,
            Map<String, Double> after) {
        double calls = Math.max(1, gateway.offered);
        StringBuilder row = new StringBuilder(Integer.toString(rate));
        double[] quantiles = {50, 99, 99.9};
        for (LoadRun.Tally t : new LoadRun.Tally[] {direct, gateway}) {
            for (double q : quantiles) {
                row.append(
                        String.format(
                                Locale.ROOT, ",%.3f", t.latency.getValueAtPercentile(q) / 1e3));
            }
        }
        for (double q : quantiles) {
            row.append(
                    String.format(
                            Locale.ROOT,
                            ",%.3f",
                            (gateway.latency.getValueAtPercentile(q)
                                            - direct.latency.getValueAtPercentile(q))
                                    / 1e3));
        }
        return row.append(
                        String.format(
                                Locale.ROOT,
                                ",%.4f,%.1f,%.0f%n",
                                gateway.served / calls,
                                grown(before, after, "waytrestle_process_cpu_seconds")
                                        * 1e6
                                        / calls,
                                grown(before, after, "waytrestle_loop_allocated_bytes") / calls))
                .toString();
    }

    private static double grown(
            Map<String, Double> before, Map<String, Double> after, String name) {
        return after.getOrDefault(name, 0.0) - before.getOrDefault(name, 0.0);
    }

    private LoadRun.Tally run(Rig rig, int rate, int length, LoadPlan.Front front)
            throws Exception {
        LoadRun run =
                new LoadRun(
                        new LoadPlan(
                                1,
                                4_000,
                                List.of(new LoadPlan.Stage(rate, rate, length * 1_000_000L)),
                                List.of(rig.stream("calls", front, payload, 1, 5_000_000))),
                        rig.load);
        run.run();
        if (length == seconds) {
            LoadReport.write(run, dir.resolve(front.name().toLowerCase(Locale.ROOT) + "-" + rate));
        }
        return run.tallies().get("calls");
    }
}
