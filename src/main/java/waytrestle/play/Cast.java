package waytrestle.play;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import waytrestle.config.GatewayConfig;
import waytrestle.config.TomlFile;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.SchedulerSettings;
import waytrestle.standin.InvokerBody;
import waytrestle.standin.InvokerModel;

/**
 * What a scenario comes to: configurations of controllers, shapes of invokers, functions and what
 * is called.
 */
public final class Cast {
    static final String SECRET =
            "whsec_" + Base64.getEncoder().encodeToString(new byte[32]).replace('A', 'p');

    private Cast() {}

    /** The configuration of one controller: the scenario's part and what only its place knows. */
    public static String config(
            Scenario scenario, int number, int port, int admin, int rosterPort) {
        StringBuilder out = new StringBuilder();
        String zone = scenario.fleets().get(number % scenario.fleets().size()).zone();
        List<String> zones =
                scenario.fleets().stream().map(Scenario.Fleet::zone).distinct().toList();
        out.append("[controller]\nnumber = ")
                .append(number)
                .append("\ncount = ")
                .append(scenario.controllers())
                .append("\nzone = \"")
                .append(zone)
                .append("\"\nzones = [\"")
                .append(String.join("\", \"", zones))
                .append("\"]\nseed = ")
                .append(scenario.seed() * 1_000 + number)
                .append(
                        "\n"
                                + "tick_ms = 10\n"
                                + "weight_kind = \"none\"\n"
                                + "over_share_worth = 0.1\n\n"
                                + "[listen]\n"
                                + "address = \"127.0.0.1:")
                .append(port)
                .append("\"\nadmin = \"127.0.0.1:")
                .append(admin)
                .append("\"\n\n[roster]\naddress = \"127.0.0.1:")
                .append(rosterPort)
                .append("\"\ndiscovery = \"pushed\"\nwait_ms = 5000\n\n");
        out.append(scenario.gateway()).append('\n');
        List<String> classNames = TomlFile.tableNames(scenario.gateway(), "class");
        for (String each : classNames) {
            out.append("[[endpoint]]\npath = \"/hooks/")
                    .append(each)
                    .append("\"\nclass = \"")
                    .append(each)
                    .append("\"\nfunction_pointer = \"/function\"\nsecrets = [\"")
                    .append(SECRET)
                    .append("\"]\n\n");
        }
        if (scenario.load().kserveShare() > 0) {
            out.append("[kserve]\nclass = \"")
                    .append(classNames.get(0))
                    .append("\"\n[[kserve.key]]\nsha256 = \"")
                    .append(sha256(HttpWay.BEARER))
                    .append("\"\n\n");
        }
        for (Scenario.Functions f : scenario.functions()) {
            for (int i = 0; i < f.count(); i++) {
                out.append("[[function]]\nclass = \"")
                        .append(f.requestClass())
                        .append("\"\nname = \"")
                        .append(f.name())
                        .append('-')
                        .append(i)
                        .append("\"\nmemory_mb = ")
                        .append(f.memoryMb())
                        .append("\nlanes = ")
                        .append(f.lanes())
                        .append("\nload_ms = ")
                        .append(f.loadMicros() / 1e3)
                        .append("\n\n");
            }
        }
        return out.toString();
    }

    private static String sha256(String text) {
        try {
            return HexFormat.of()
                    .formatHex(
                            MessageDigest.getInstance("SHA-256")
                                    .digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java lacks SHA-256", e);
        }
    }

    /** What is called; fills in the functions and each target's weight. */
    public static List<Clients.Target> targets(
            Scenario scenario,
            SchedulerSettings s,
            Map<String, InvokerModel.Function> functions,
            List<Double> weights) {
        List<Clients.Target> targets = new ArrayList<>();
        for (Scenario.Functions f : scenario.functions()) {
            int at = -1;
            for (int i = 0; i < s.classes().size(); i++) {
                at = s.classes().get(i).name().equals(f.requestClass()) ? i : at;
            }
            if (at < 0) {
                throw new IllegalArgumentException(
                        "functions."
                                + f.name()
                                + ": class names none of gateway.class: "
                                + f.requestClass());
            }
            double sum = 0;
            for (int i = 0; i < f.count(); i++) {
                sum += Math.pow(i + 1, -f.zipf());
            }
            for (int i = 0; i < f.count(); i++) {
                String name = f.name() + "-" + i;
                functions.put(
                        name,
                        new InvokerModel.Function(
                                name,
                                f.memoryMb(),
                                f.lanes(),
                                f.loadMicros(),
                                s.classes().get(at).idempotency() == Idempotency.KEYED));
                targets.add(new Clients.Target(name, at, f.workMs()));
                weights.add(f.share() * Math.pow(i + 1, -f.zipf()) / sum);
            }
        }
        boolean keyed =
                s.classes().get(targets.get(0).requestClass()).idempotency() == Idempotency.KEYED;
        functions.put(
                InvokerBody.UNLISTED,
                new InvokerModel.Function(InvokerBody.UNLISTED, 256, 4, 800_000, keyed));
        return targets;
    }

    public static InvokerModel.Shape shape(
            Scenario scenario, Scenario.Fleet f, GatewayConfig config) {
        SchedulerSettings s = config.schedulerSettings();
        int kind = Math.max(0, config.invokerKinds().indexOf(f.kind()));
        return new InvokerModel.Shape(
                f.cores(),
                f.room(),
                s.preloading().memoryByKind().get(kind),
                f.loadsAtOnce(),
                scenario.store().fetchShare(),
                s.preloading().keepAliveMicros(),
                s.preloading().reportsNotLoaded(),
                f.cancelStops(),
                s.rules().slowStartInitialShare(),
                s.rules().slowStartMicros(),
                s.rules().overloadMultiple(),
                s.rules().overloadWindowMicros(),
                f.reportEveryMicros());
    }

    /** Which invokers drop repeats of one another's keys, as the first keyed class has it. */
    public static String group(SchedulerSettings s, Scenario.Fleet f) {
        return s.classes().stream()
                .filter(c -> c.idempotency() == Idempotency.KEYED)
                .findFirst()
                .map(
                        c ->
                                switch (c.deduplicationScope()) {
                                    case ALL -> "all";
                                    case ZONE -> "zone " + f.zone();
                                    case CELL -> "cell " + f.cell();
                                })
                .orElse("");
    }

    /** For how long invokers drop repeats of a key. */
    public static long window(SchedulerSettings s) {
        return s.classes().stream().mapToLong(c -> c.deduplicationWindowMicros()).max().orElse(0);
    }
}
