package waytrestle.hunt;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import waytrestle.play.Scenario;
import waytrestle.play.Scenario.Fleet;
import waytrestle.play.Scenario.Functions;
import waytrestle.play.Scenario.Kind;
import waytrestle.play.Scenario.Load;
import waytrestle.play.Scenario.Store;
import waytrestle.play.Scenario.Trouble;

/**
 * Draws whole days. Each leaves out a random part of the kinds of trouble (swarm testing: Groce et
 * al., "Swarm Testing", ISSTA 2012), since a day with a little of everything meets few things at
 * their full. Sizes and shares are drawn evenly in their logarithm: small and odd ones matter as
 * much as large ones.
 */
public final class DayDraw {
    // ---- What is drawn, from and to; times in seconds or milliseconds as the names say. ----
    private static final int MOST_CALLS =
            6_000; // of a day: more finds little that fewer do not, and takes longer
    private static final double MOST_RATE = 2_000; // calls a second
    private static final int CONTROLLERS = 300, INVOKERS = 200, FUNCTIONS = 300, TROUBLES = 10;
    private static final double SHORTEST_S = 8, LONGEST_S = 60;
    private static final double COLD_CALLS =
            4; // of the longest that a cold invoker's budget holds at the least: a
    // limit that one call breaks cannot be kept by anybody
    private static final double LEAST_LOAD = 0.02, MOST_LOAD = 10; // of the fleet's capacity

    private final SplittableRandom random;

    public DayDraw(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** A day; its seed is drawn with it. */
    public Scenario draw() {
        double seconds = log(SHORTEST_S, LONGEST_S);
        int zones = 1 + random.nextInt(3);
        int kinds = 1 + random.nextInt(2);
        int invokers = (int) log(3, INVOKERS);
        int fleets = Math.min(invokers, zones * (1 + random.nextInt(2)));
        List<Fleet> all = new ArrayList<>();
        int[] coresOf = {
            (int) log(1, 17), (int) log(1, 17)
        }; // a kind is what invokers of like capacity share
        int cores = 0;
        for (int i = 0; i < fleets; i++) {
            int count = Math.max(1, invokers / fleets);
            Fleet f =
                    new Fleet(
                            "kind" + i % kinds,
                            "zone" + i % zones,
                            i / zones,
                            count,
                            coresOf[i % kinds],
                            (int) log(4, 200),
                            (int) log(1, 9),
                            flip(),
                            (long) log(1_000, 2_000_000));
            all.add(f);
            cores += count * f.cores();
        }
        List<String> classes = new ArrayList<>();
        String[] every = {"safe", "keyed", "unsafe"};
        for (String each : every) {
            if (flip()) {
                classes.add(each);
            }
        }
        if (classes.isEmpty()) {
            classes.add(every[random.nextInt(3)]);
        }
        List<Functions> functions = new ArrayList<>();
        double work = 0, shares = 0, wanted = 0, longest = 0;
        for (String each : classes) {
            int count = (int) log(1, FUNCTIONS / (double) classes.size());
            Functions f =
                    new Functions(
                            each,
                            count,
                            each,
                            log(50, 4_000),
                            (int) log(1, 17),
                            (long) log(1_000, 4_000_000),
                            log(1, 600),
                            log(0.1, 1),
                            random.nextDouble() * 2);
            functions.add(f);
            work += f.share() * f.workMs();
            shares += f.share();
            wanted += count * f.memoryMb();
            longest = Math.max(longest, 1.5 * f.workMs());
        }
        double capacity = cores * 1_000 / (work / shares);
        double rate =
                Math.max(
                        1,
                        Math.min(
                                Math.min(MOST_RATE, MOST_CALLS / seconds),
                                capacity * log(LEAST_LOAD, MOST_LOAD)));
        double memory = Math.max(4_100, wanted / invokers * log(0.1, 20));
        Store store = new Store((int) log(1, 65), (int) log(2, 200), random.nextDouble());
        Load load =
                new Load(
                        rate,
                        flip() ? random.nextDouble() : 0,
                        (long) log(1_000, 1_000_000),
                        flip() ? random.nextDouble() * 0.2 : 0,
                        flip() ? random.nextDouble() : 0);
        int controllers = Math.min(CONTROLLERS, (int) log(1, CONTROLLERS + 1));
        return new Scenario(
                (long) (seconds * 1e6),
                random.nextLong(1L << 40),
                controllers,
                settings(
                        classes,
                        kinds,
                        memory,
                        longest / all.stream().mapToInt(Fleet::cores).min().orElse(1)),
                all,
                store,
                functions,
                load,
                flip() ? 0 : (long) log(1_000, 3_000_000),
                troubles(seconds));
    }

    boolean flip() {
        return random.nextBoolean();
    }

    double log(double least, double most) {
        return least * Math.exp(random.nextDouble() * Math.log(most / least));
    }

    List<Trouble> troubles(double seconds) {
        Set<Kind> kinds = EnumSet.noneOf(Kind.class);
        for (Kind each : Kind.values()) {
            if (random.nextInt(3) == 0) {
                kinds.add(each);
            }
        }
        List<Trouble> all = new ArrayList<>();
        List<Kind> may = new ArrayList<>(kinds);
        int count = may.isEmpty() ? 0 : random.nextInt(TROUBLES + 1);
        for (int i = 0; i < count; i++) {
            all.add(trouble(may.get(random.nextInt(may.size())), seconds));
        }
        return all;
    }

    /** One trouble of a kind, anywhere in the day. */
    Trouble trouble(Kind kind, double seconds) {
        long at = (long) (random.nextDouble() * seconds * 0.9 * 1e6);
        long length = (long) (log(0.2, seconds / 2) * 1e6);
        double share = flip() ? 1 : Math.max(0.02, random.nextDouble());
        double factor =
                switch (kind) {
                    case STALE_ROSTER -> log(0.1, 8);
                    case DEPLOY, PREEMPT -> log(0.05, 3);
                    case LATE_REPORTS -> log(0.2, 5);
                    case AGEING -> log(0.05, 2);
                    case SLOW, SLOW_STORE -> log(1.2, 20);
                    case BURST -> log(1.2, 8);
                    case THROTTLE, LOST_ANSWERS, GARBAGE -> random.nextDouble();
                    case FUNCTION_FAILS, INVOKER_FAILS ->
                            new int[] {400, 404, 422, 500, 502, 504}[random.nextInt(6)];
                    case CLOCK_STEP -> (flip() ? 1 : -1) * log(1, 2_000);
                    default -> 1;
                };
        if (kind == Kind.GIVE_UP || kind == Kind.SCAN || kind == Kind.HOT_FUNCTION) {
            share = Math.min(0.9, share);
        }
        return new Trouble(kind, at, length, share, factor);
    }

    /** The gateway's settings, as the TOML that a scenario holds. */
    String settings(List<String> classes, int kinds, double memory, double longestMs) {
        double coldShare = 0.05 + random.nextDouble() * 0.9;
        double multiple = log(1, 4);
        double overload =
                Math.max(log(300, 4_000), COLD_CALLS * longestMs / (coldShare * multiple));
        StringBuilder out = new StringBuilder();
        for (int i = 0; i < kinds; i++) {
            out.append("[[kind]]\nname = \"kind")
                    .append(i)
                    .append("\"\nmemory_mb = ")
                    .append(number(memory * (1 + i)))
                    .append("\n\n");
        }
        for (String each : classes) {
            double deadline = log(300, 6_000);
            out.append("[[class]]\nname = \"")
                    .append(each)
                    .append("\"\nrepeat = \"")
                    .append(each)
                    .append("\"\n");
            if (each.equals("keyed")) {
                out.append("group = \"")
                        .append(new String[] {"all", "zone", "cell"}[random.nextInt(3)])
                        .append("\"\nwindow_ms = ")
                        .append(number(deadline * log(0.5, 4)))
                        .append('\n');
            }
            out.append("aim_ms = ")
                    .append(number(deadline * log(0.1, 1)))
                    .append("\naim_stretch = 0\ndeadline_ms = ")
                    .append(number(deadline))
                    .append("\nworth = ")
                    .append(number(log(0.5, 5)))
                    .append("\nlate_worth = 0.2\n\n");
        }
        boolean rationed = flip();
        out.append("[limits]\nmax_attempts = ")
                .append((int) log(1, 9))
                .append("\nmax_open = ")
                .append((int) log(20, 5_000))
                .append("\ncancel = ")
                .append(flip())
                .append("\nprobes = ")
                .append(flip())
                .append("\npeers = ")
                .append(flip())
                .append("\noverlap = ")
                .append(flip())
                .append("\nretry_after = ")
                .append(flip())
                .append(
                        "\n"
                                + "max_retry_after_ms = 1000\n"
                                + "connect_timeout_ms = 250\n\n"
                                + "[rules]\n"
                                + "answer_slack_ms = 16\n"
                                + "drain_grace_ms = 500\n"
                                + "cold_share = ")
                .append(number(coldShare))
                .append("\nwarm_after_ms = ")
                .append(number(log(500, 20_000)))
                .append("\nfall_multiple = ")
                .append(number(multiple))
                .append("\noverload_ms = ")
                .append(number(overload))
                .append("\nask_every_ms = 10000\n\n[loading]\nmiss_answers = ")
                .append(flip())
                .append("\norders = ")
                .append(flip())
                .append("\ntells_start = ")
                .append(flip())
                .append("\ntells_company = ")
                .append(flip())
                .append("\nkeep_alive_ms = ")
                .append(number(log(1_000, 20_000)))
                .append("\norder_wait_ms = ")
                .append(number(log(1_000, 10_000)))
                .append("\nidle_memory_price = 0\nfree_orders = ")
                .append(rationed ? (int) log(1, 20) : 0)
                .append("\norders_per_call = ")
                .append(rationed ? number(random.nextDouble()) : "0")
                .append("\norder_period_ms = ")
                .append(rationed ? number(log(500, 10_000)) : "0")
                .append(
                        "\n\n"
                                + "[prices]\n"
                                + "cross_zone = 0.04\n"
                                + "waste = 0.03\n"
                                + "probe = 0.01\n"
                                + "late_fail = 0.05\n"
                                + "fetch = 0.03\n"
                                + "peer = 0\n"
                                + "connection = 0\n"
                                + "handshake = 0\n"
                                + "list_lines = 0\n"
                                + "\n"
                                + "[reports]\n"
                                + "how = \"")
                .append(new String[] {"answers", "probes", "none"}[random.nextInt(3)])
                .append("\"\n\n[overload]\non = ")
                .append(flip())
                .append("\n\n[outcomes]\nattempts_per_call = ")
                .append(number(log(1, 4)))
                .append("\nfailed_tries = ")
                .append(1 + random.nextInt(3))
                .append("\neject_share = ")
                .append(number(flip() ? 0.3 : random.nextDouble()))
                .append('\n');
        return out.toString();
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
