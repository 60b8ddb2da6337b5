package waytrestle.cli;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.UnaryOperator;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import waytrestle.config.GatewayConfig;
import waytrestle.load.LoadPlan;
import waytrestle.load.LoadRun;
import waytrestle.standin.OddInvoker;

/**
 * Measures what each way in which a fleet goes wrong costs the client of it, the fleet and
 * everybody else.
 */
@Command(
        name = "faults",
        mixinStandardHelpOptions = true,
        description =
                "Measure a gateway before invokers that err, lie or break the protocol: status and"
                        + " time to the client, attempts a call, and the service of other calls.")
final class FaultsCommand implements Callable<Integer> {
    private static final int FLEET = 12;
    private static final long WORK = 16; // ms of an ordinary call
    private static final double ODD_SHARE = 0.05;

    @Spec private CommandSpec spec;

    @Option(
            names = "--rate",
            defaultValue = "1000",
            description = "Calls a second in all; default ${DEFAULT-VALUE}.")
    private int rate;

    @Option(
            names = "--seconds",
            defaultValue = "5",
            description = "Length of each case; default ${DEFAULT-VALUE}.")
    private int seconds;

    @Option(names = "--case", split = ",", paramLabel = "NAME", description = "Only these cases.")
    private List<String> only = List.of();

    @Option(
            names = "--jar",
            paramLabel = "FILE",
            description = "Another build's gateway, for figures before and after.")
    private Path jar;

    @Option(
            names = "--out",
            required = true,
            paramLabel = "DIR",
            description = "Where configuration, logs and the table go.")
    private Path dir;

    /**
     * A case: which function is odd ("" for none), what the fleet does, how the settings differ.
     */
    private record Case(
            String name, String odd, Fleet fleet, UnaryOperator<String> config, int functions) {}

    private interface Fleet {
        void set(List<OddInvoker> all, long lengthMillis);
    }

    private static List<Case> cases() {
        List<Case> all = new ArrayList<>();
        Fleet well = (fleet, length) -> {};
        UnaryOperator<String> same = c -> c;
        all.add(new Case("none", "", well, same, 40));
        for (String odd :
                List.of(
                        "s400", "s413", "s422", "s501", "s404", "s500", "s502e", "html", "reset",
                        "short", "chunks", "headers", "deep", "twice")) {
            all.add(new Case(odd, odd, well, same, 40));
        }
        all.add(
                new Case(
                        "heals",
                        "heals",
                        (fleet, length) ->
                                fleet.forEach(
                                        i ->
                                                i.healsAt(
                                                        System.currentTimeMillis()
                                                                + length * 3 / 5)),
                        same,
                        40));
        all.add(new Case("one-500", "", (fleet, length) -> fleet.get(0).failAll(500), same, 40));
        all.add(new Case("one-400", "", (fleet, length) -> fleet.get(0).failAll(400), same, 40));
        all.add(new Case("one-404", "", (fleet, length) -> fleet.get(0).failAll(404), same, 40));
        all.add(
                new Case(
                        "one-and-function",
                        "s500",
                        (fleet, length) -> fleet.get(0).failAll(500),
                        same,
                        40));
        UnaryOperator<String> promised =
                c -> c.replace("tells_start = false", "tells_start = true");
        all.add(new Case("untold-all", "", says(3, OddInvoker.Says.NOTHING), promised, 4));
        all.add(new Case("untold-third", "", says(1, OddInvoker.Says.NOTHING), promised, 4));
        all.add(new Case("nonsense-third", "", says(1, OddInvoker.Says.NONSENSE), promised, 4));
        all.add(
                new Case(
                        "thirds",
                        "",
                        (fleet, length) -> {
                            for (int i = 0; i < fleet.size(); i++) {
                                fleet.get(i).says(OddInvoker.Says.values()[i % 3]);
                            }
                        },
                        promised,
                        4));
        for (int lanes : new int[] {1, 64}) {
            all.add(
                    new Case(
                            "lanes-told-" + lanes,
                            "",
                            says(3, OddInvoker.Says.ALL),
                            c -> {
                                StringBuilder more = new StringBuilder(promised.apply(c));
                                for (int i = 0; i < 4; i++) {
                                    more.append("\n[[function]]\nname = \"")
                                            .append(lanes == 1 ? "lanes64" : "lanes4")
                                            .append('-')
                                            .append(i)
                                            .append("\"\nlanes = ")
                                            .append(lanes)
                                            .append('\n');
                                }
                                return more.toString();
                            },
                            4));
        }
        return all;
    }

    private static Fleet says(int thirds, OddInvoker.Says what) {
        return (fleet, length) -> {
            for (int i = 0; i < fleet.size(); i++) {
                fleet.get(i).says(i % 3 < thirds ? what : OddInvoker.Says.ALL);
            }
        };
    }

    @Override
    public Integer call() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        List<Case> cases =
                cases().stream().filter(c -> only.isEmpty() || only.contains(c.name())).toList();
        if (cases.isEmpty()) {
            throw new IllegalArgumentException(
                    "--case names none of " + cases().stream().map(Case::name).toList());
        }
        StringBuilder table =
                new StringBuilder(
                        "case,odd_ends,odd_p50_ms,odd_p99_ms,attempts_a_call,others_served,"
                                + "others_p50_ms,others_p99_ms\n");
        out.print(table);
        for (Case each : cases) {
            String row = run(each);
            table.append(row);
            out.print(row);
            out.flush();
        }
        Files.writeString(dir.resolve("faults.csv"), table);
        return 0;
    }

    private String run(Case c) throws Exception {
        List<OddInvoker> fleet = new ArrayList<>();
        try (Rig rig = new Rig(dir)) {
            for (int i = 0; i < FLEET; i++) {
                fleet.add(new OddInvoker(WORK));
                rig.invokers.add(GatewayConfig.parseAddress(fleet.get(i).address()));
            }
            rig.gateway(c.config(), jar);
            String function =
                    c.name().equals("lanes-told-1")
                            ? "lanes64"
                            : c.name().equals("lanes-told-64") ? "lanes4" : "f";
            LoadPlan.Stream others = stream(rig, "others", function, c.functions(), 1 - ODD_SHARE);
            load(rig, List.of(others), rate / 2, 4);
            c.fleet().set(fleet, seconds * 1_000L);
            int before = attempts(fleet, function);
            List<LoadPlan.Stream> streams = new ArrayList<>(List.of(others));
            if (!c.odd().isEmpty()) {
                streams.add(stream(rig, "odd", c.odd(), 1, ODD_SHARE));
            }
            LoadRun run = load(rig, streams, rate, seconds);
            LoadRun.Tally odd = run.tallies().getOrDefault("odd", new LoadRun.Tally());
            LoadRun.Tally rest = run.tallies().get("others");
            double attempts =
                    c.odd().isEmpty()
                            ? (attempts(fleet, function) - before)
                                    / (double) Math.max(1, rest.offered)
                            : attempts(fleet, c.odd()) / (double) Math.max(1, odd.offered);
            return String.format(
                    Locale.ROOT,
                    "%s,%s,%.1f,%.1f,%.2f,%.4f%s,%.1f,%.1f%n",
                    c.name(),
                    odd.ends.toString().replace(", ", " "),
                    ms(odd, 50),
                    ms(odd, 99),
                    attempts,
                    rest.served / (double) Math.max(1, rest.offered),
                    rest.served == rest.offered
                            ? ""
                            : " " + rest.ends.toString().replace(", ", " "),
                    ms(rest, 50),
                    ms(rest, 99));
        } finally {
            for (OddInvoker each : fleet) {
                each.close();
            }
        }
    }

    /** Of all answers, since those that matter here are errors. */
    private static double ms(LoadRun.Tally t, double quantile) {
        return t.answers.getValueAtPercentile(quantile) / 1e3;
    }

    private static int attempts(List<OddInvoker> fleet, String function) {
        return fleet.stream().mapToInt(i -> i.attempts(function)).sum();
    }

    private static LoadPlan.Stream stream(
            Rig rig, String name, String function, int functions, double share) {
        LoadPlan.Stream s = rig.stream(name, LoadPlan.Front.WEBHOOK, 256, WORK, 5_000_000);
        return new LoadPlan.Stream(
                name,
                s.front(),
                s.at(),
                s.path(),
                s.credential(),
                function,
                functions,
                s.zipf(),
                share,
                s.payloadBytes(),
                s.workMs(),
                s.aimMicros(),
                s.deadlineMicros(),
                0);
    }

    private LoadRun load(Rig rig, List<LoadPlan.Stream> streams, int perSecond, int length)
            throws Exception {
        LoadRun run =
                new LoadRun(
                        new LoadPlan(
                                1,
                                4_000,
                                List.of(
                                        new LoadPlan.Stage(
                                                perSecond, perSecond, length * 1_000_000L)),
                                streams),
                        rig.load);
        run.run();
        return run;
    }
}
