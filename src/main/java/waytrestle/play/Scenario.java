package waytrestle.play;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import waytrestle.config.ConfigException;
import waytrestle.config.Section;
import waytrestle.config.TomlFile;

/** A scripted day: fleet, functions, load, and troubles by time. Times are micros. */
public record Scenario(
        long lengthMicros,
        long seed,
        int controllers,
        String gateway,
        List<Fleet> fleets,
        Store store,
        List<Functions> functions,
        Load load,
        long rosterLagMicros,
        List<Trouble> troubles) {

    public record Fleet(
            String kind,
            String zone,
            int cell,
            int count,
            int cores,
            int room,
            int loadsAtOnce,
            boolean cancelStops,
            long reportEveryMicros) {}

    public record Store(int atOnce, int refuseOver, double fetchShare) {}

    /**
     * Functions alike but for their name, NAME-0 and on; calls fall on them by rank to the power of
     * -zipf.
     */
    public record Functions(
            String name,
            int count,
            String requestClass,
            double memoryMb,
            int lanes,
            long loadMicros,
            double workMs,
            double share,
            double zipf) {}

    /** Calls a second over all controllers; shares of calls. */
    public record Load(
            double ratePerSecond,
            double retryShare,
            long retryAfterMicros,
            double leaveShare,
            double kserveShare) {}

    /** The kinds of trouble that a scenario can inflict. */
    public enum Kind {
        DEPLOY,
        CRASH,
        CONTROLLER_CRASH,
        CONTROLLER_ROLL,
        STALE_ROSTER,
        SLOW_STORE,
        LATE_REPORTS,
        SCAN,
        HOT_FUNCTION,
        AGEING,
        SLOW,
        ZONE_CUT,
        LOST_ANSWERS,
        GARBAGE,
        HANG,
        GIVE_UP,
        PREEMPT,
        THROTTLE,
        BURST,
        FUNCTION_FAILS,
        INVOKER_FAILS,
        TELLS_NOTHING,
        TELLS_NONSENSE,
        CLOCK_STEP
    }

    /**
     * From a time, for a time, on a share of what it strikes, by a factor whose meaning is the
     * kind's.
     */
    public record Trouble(Kind kind, long atMicros, long forMicros, double share, double factor) {}

    public static Scenario read(Path file) throws ConfigException {
        return TomlFile.read(file, Scenario::from);
    }

    public static Scenario from(Section root) {
        Section play = root.subsection("play");
        long length = play.microsFromMillis("seconds", 0.1, 3_600) * 1_000;
        String gateway = root.toToml("gateway");
        List<String> kinds = TomlFile.tableNames(gateway, "kind");
        List<String> classes = TomlFile.tableNames(gateway, "class");
        if (gateway.isEmpty()) {
            root.addError(
                    "gateway", "is missing: a table with the settings that all controllers share");
        } else if (kinds.isEmpty() || classes.isEmpty()) {
            root.addError(
                    "gateway",
                    "at least one [[gateway.kind]] and one [[gateway.class]] are needed");
        }
        List<Fleet> fleets = new ArrayList<>();
        for (Section f : root.subsections("fleet")) {
            fleets.add(
                    new Fleet(
                            named(f, "kind", kinds),
                            f.text("zone"),
                            (int) f.integer("cell", 0, 1_000, 0),
                            (int) f.integer("count", 1, 500),
                            (int) f.integer("cores", 1, 1_000),
                            (int) f.integer("room", 1, 100_000),
                            (int) f.integer("loads_at_once", 1, 1_000, 4),
                            f.flag("cancel_stops", true),
                            f.microsFromMillis("report_every_ms", 0, 60_000, 200)));
        }
        if (fleets.isEmpty()) {
            root.addError("fleet", "at least one [[fleet]] is needed");
        }
        Section s = root.subsection("store");
        Store store =
                new Store(
                        (int) s.integer("fetches_at_once", 1, 100_000),
                        (int) s.integer("refuse_over", 1, 1_000_000),
                        s.number("fetch_share", 0, 1));
        List<Functions> functions = new ArrayList<>();
        for (Section f : root.subsections("functions")) {
            functions.add(
                    new Functions(
                            f.text("name"),
                            (int) f.integer("count", 1, 100_000),
                            named(f, "class", classes),
                            f.number("memory_mb", 0, 1e9),
                            (int) f.integer("lanes", 1, 10_000),
                            f.microsFromMillis("load_ms", 0, 600_000),
                            f.number("work_ms", 0, 600_000),
                            f.number("share", 0, 1e6),
                            f.number("zipf", 0, 10, 1)));
        }
        if (functions.isEmpty()) {
            root.addError("functions", "at least one [[functions]] is needed");
        }
        Section l = root.subsection("load");
        Load load =
                new Load(
                        l.number("rate_per_s", 0.01, 100_000),
                        l.number("retry_share", 0, 1, 0),
                        l.microsFromMillis("retry_after_ms", 0, 600_000, 200),
                        l.number("leave_share", 0, 1, 0),
                        l.number("kserve_share", 0, 1, 0));
        List<Trouble> troubles = new ArrayList<>();
        for (Section t : root.subsections("trouble")) {
            troubles.add(
                    new Trouble(
                            t.choice("kind", Kind.class),
                            t.microsFromMillis("at_s", 0, 3_600) * 1_000,
                            t.microsFromMillis("for_s", 0, 3_600, 0) * 1_000,
                            t.number("share", 0, 1, 1),
                            t.number("factor", -1e6, 1e6, 1)));
        }
        return new Scenario(
                length,
                play.integer("seed", Long.MIN_VALUE, Long.MAX_VALUE),
                (int) play.integer("controllers", 1, 2_000),
                gateway,
                fleets,
                store,
                functions,
                load,
                root.subsection("roster").microsFromMillis("lag_ms", 0, 600_000, 0),
                troubles);
    }

    /** A name that the gateway's settings give. */
    private static String named(Section s, String key, List<String> names) {
        return names.isEmpty() ? s.text(key) : names.get(s.indexIn(key, names, "gateway." + key));
    }

    /** The same day with another seed. */
    public Scenario withSeed(long other) {
        return new Scenario(
                lengthMicros,
                other,
                controllers,
                gateway,
                fleets,
                store,
                functions,
                load,
                rosterLagMicros,
                troubles);
    }

    /** The same day with other parts. */
    public Scenario with(
            int controllers,
            List<Fleet> fleets,
            List<Functions> functions,
            Load load,
            List<Trouble> troubles,
            long lengthMicros) {
        return new Scenario(
                lengthMicros,
                seed,
                controllers,
                gateway,
                fleets,
                store,
                functions,
                load,
                rosterLagMicros,
                troubles);
    }

    private static String number(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    /** The day as the TOML that {@link #read} takes; settings of the gateway stand in its table. */
    public String toml() {
        StringBuilder out =
                new StringBuilder(
                        "[play]\nseconds = "
                                + number(lengthMicros / 1e6)
                                + "\nseed = "
                                + seed
                                + "\ncontrollers = "
                                + controllers
                                + "\n\n[roster]\nlag_ms = "
                                + number(rosterLagMicros / 1e3)
                                + "\n\n[store]\nfetches_at_once = "
                                + store.atOnce()
                                + "\nrefuse_over = "
                                + store.refuseOver()
                                + "\nfetch_share = "
                                + store.fetchShare()
                                + "\n\n[load]\nrate_per_s = "
                                + load.ratePerSecond()
                                + "\nretry_share = "
                                + load.retryShare()
                                + "\nretry_after_ms = "
                                + number(load.retryAfterMicros() / 1e3)
                                + "\nleave_share = "
                                + load.leaveShare()
                                + "\nkserve_share = "
                                + load.kserveShare()
                                + "\n");
        for (Fleet f : fleets) {
            out.append("\n[[fleet]]\nkind = \"")
                    .append(f.kind())
                    .append("\"\nzone = \"")
                    .append(f.zone())
                    .append("\"\ncell = ")
                    .append(f.cell())
                    .append("\ncount = ")
                    .append(f.count())
                    .append("\ncores = ")
                    .append(f.cores())
                    .append("\nroom = ")
                    .append(f.room())
                    .append("\nloads_at_once = ")
                    .append(f.loadsAtOnce())
                    .append("\ncancel_stops = ")
                    .append(f.cancelStops())
                    .append("\nreport_every_ms = ")
                    .append(number(f.reportEveryMicros() / 1e3))
                    .append('\n');
        }
        for (Functions f : functions) {
            out.append("\n[[functions]]\nname = \"")
                    .append(f.name())
                    .append("\"\ncount = ")
                    .append(f.count())
                    .append("\nclass = \"")
                    .append(f.requestClass())
                    .append("\"\nmemory_mb = ")
                    .append(number(f.memoryMb()))
                    .append("\nlanes = ")
                    .append(f.lanes())
                    .append("\nload_ms = ")
                    .append(number(f.loadMicros() / 1e3))
                    .append("\nwork_ms = ")
                    .append(number(f.workMs()))
                    .append("\nshare = ")
                    .append(number(f.share()))
                    .append("\nzipf = ")
                    .append(number(f.zipf()))
                    .append('\n');
        }
        for (Trouble t : troubles) {
            out.append("\n[[trouble]]\nkind = \"")
                    .append(word(t.kind()))
                    .append("\"\nat_s = ")
                    .append(number(t.atMicros() / 1e6))
                    .append("\nfor_s = ")
                    .append(number(t.forMicros() / 1e6))
                    .append("\nshare = ")
                    .append(t.share())
                    .append("\nfactor = ")
                    .append(number(t.factor()))
                    .append('\n');
        }
        return out.append("\n[gateway]\n")
                .append(
                        gateway.replaceAll("(?m)^\\[\\[(?!gateway\\.)", "[[gateway.")
                                .replaceAll("(?m)^\\[(?!\\[|gateway\\.)", "[gateway."))
                .toString();
    }

    static String word(Kind kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }
}
