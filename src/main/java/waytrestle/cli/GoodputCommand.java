package waytrestle.cli;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import waytrestle.load.LoadPlan;
import waytrestle.load.LoadReport;
import waytrestle.load.LoadRun;
import waytrestle.standin.InvokerModel;

/**
 * Goodput, calls served within their aim, against offered load, with and without the overload
 * modules.
 */
@Command(
        name = "goodput",
        mixinStandardHelpOptions = true,
        description =
                "Measure calls served in time a second against offered load, in multiples of what"
                        + " the stand-in fleet can do, with and without the overload modules.")
final class GoodputCommand implements Callable<Integer> {
    private static final int INVOKERS = 5, CORES = 4;
    private static final double WORK_MS = 40;
    private static final double CAPACITY = INVOKERS * CORES * 1_000 / WORK_MS;

    @Spec private CommandSpec spec;

    @Option(
            names = "--factors",
            split = ",",
            defaultValue = "0.2,0.5,0.8,1,1.5,2,3,5,10",
            description = "Multiples of capacity; default ${DEFAULT-VALUE}.")
    private List<Double> factors;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            description = "Of each run; default ${DEFAULT-VALUE}.")
    private int seconds;

    @Option(
            names = "--retries",
            defaultValue = "0.5",
            description = "Share of refused calls that come again at once.")
    private double retries;

    @Option(
            names = "--out",
            required = true,
            paramLabel = "DIR",
            description = "Where tables and the chart go.")
    private Path dir;

    @Override
    public Integer call() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        InvokerModel.Shape shape =
                new InvokerModel.Shape(
                        CORES,
                        10_000,
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
        StringBuilder table =
                new StringBuilder(
                        "modules,factor,offered_per_s,goodput_per_s,p50_ms,p99_ms,ends\n");
        List<List<Double>> goodput = List.of(new ArrayList<>(), new ArrayList<>());
        for (int with = 1; with >= 0; with--) {
            try (Rig rig = new Rig(dir.resolve(with == 1 ? "with" : "without"), INVOKERS, shape)) {
                rig.gateway("\n[overload]\non = " + (with == 1) + "\n");
                run(rig, 0.5, 6);
                for (double factor : factors) {
                    LoadRun.Tally t = run(rig, factor, seconds);
                    goodput.get(1 - with).add(t.inTime / (double) seconds);
                    String row =
                            String.format(
                                    Locale.ROOT,
                                    "%s,%.1f,%.0f,%.0f,%.1f,%.1f,%s%n",
                                    with == 1 ? "with" : "without",
                                    factor,
                                    t.offered / (double) seconds,
                                    t.inTime / (double) seconds,
                                    t.latency.getValueAtPercentile(50) / 1e3,
                                    t.latency.getValueAtPercentile(99) / 1e3,
                                    t.ends.toString().replace(",", ""));
                    table.append(row);
                    out.print(row);
                    out.flush();
                    Thread.sleep(
                            3_000); // what one load left behind must not count against the next
                }
            }
        }
        Files.writeString(dir.resolve("goodput.csv"), table);
        LoadReport.chart(
                dir.resolve("goodput.png"),
                "Goodput against offered load",
                "times capacity",
                "calls a second in time",
                factors,
                List.of("with modules", "without"),
                goodput);
        return 0;
    }

    private LoadRun.Tally run(Rig rig, double factor, int length) throws Exception {
        LoadPlan.Stream s = rig.stream("calls", LoadPlan.Front.WEBHOOK, 256, WORK_MS, 4_000_000);
        LoadPlan.Stream retrying =
                new LoadPlan.Stream(
                        s.name(),
                        s.front(),
                        s.at(),
                        s.path(),
                        s.credential(),
                        s.function(),
                        s.functions(),
                        s.zipf(),
                        s.share(),
                        s.payloadBytes(),
                        s.workMs(),
                        s.aimMicros(),
                        s.deadlineMicros(),
                        retries);
        double rate = factor * CAPACITY;
        LoadRun run =
                new LoadRun(
                        new LoadPlan(
                                1,
                                8_000,
                                List.of(new LoadPlan.Stage(rate, rate, length * 1_000_000L)),
                                List.of(retrying)),
                        rig.load);
        run.run();
        return run.tallies().get("calls");
    }
}
