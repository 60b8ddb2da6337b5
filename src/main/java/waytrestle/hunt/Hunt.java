package waytrestle.hunt;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import waytrestle.config.ConfigException;
import waytrestle.config.TomlFile;
import waytrestle.controller.Controller;
import waytrestle.play.Scenario;

/**
 * Draws and plays days on all cores until its budget is used. After FoundationDB and TigerBeetle:
 * the whole program in simulated time, and each failure comes again by its day. Half of the days
 * are drawn anew, half made from the days nearest to a break or with the worst service (guided
 * search). A failing day is shrunk and written as a scenario.
 */
public final class Hunt {
    /**
     * The budget and the way; a day is drawn from the seed and its number alone where it is not
     * guided.
     */
    public record Plan(
            long seed,
            long days,
            long seconds,
            int jobs,
            boolean guided,
            boolean twice,
            boolean shrink) {}

    private static final int POOL = 24; // days that mutants are made from
    private static final int FOUND = 20; // failing days that are shrunk and kept; more are counted
    private static final long REPORT = 5; // seconds between lines of progress

    private final Plan plan;
    private final Path dir;
    private final Controller.SchedulerFactory maker;
    private final AtomicLong next = new AtomicLong();
    private final List<Object[]> pool = new ArrayList<>(); // day and its nearness
    private final TreeMap<String, Integer> coverage = new TreeMap<>();
    private final TreeMap<String, Integer> kinds = new TreeMap<>();
    private long played, failed, calls;
    private double serviceSum, nearest;

    public Hunt(Plan plan, Path dir, Controller.SchedulerFactory maker) throws IOException {
        this.plan = plan;
        this.dir = Files.createDirectories(dir);
        this.maker = maker;
        Path table = dir.resolve("days.csv");
        if (Files.exists(table)) { // goes on where an earlier hunt in this directory ended
            long last = 0;
            for (String line : Files.readAllLines(table)) {
                if (line.matches("\\d+,.*")) {
                    last = Math.max(last, Long.parseLong(line.substring(0, line.indexOf(','))) + 1);
                }
            }
            next.set(last);
        } else {
            Files.writeString(
                    table,
                    "day,guided,fault,service,calls,attempts,orders,cold_used,orders_used,digest\n");
        }
    }

    /** The day of a number. */
    public static Scenario day(long seed, long number) {
        return asWritten(
                new DayDraw(new SplittableRandom(seed * 1_000_003 + number).nextLong()).draw());
    }

    /** As its file has it, so that the day which is played is the one that can be played again. */
    static Scenario asWritten(Scenario day) {
        try {
            return TomlFile.parse(day.toml(), "day.toml", Scenario::from);
        } catch (ConfigException e) {
            throw new IllegalStateException("a drawn day has a fault: " + e.errors(), e);
        }
    }

    /** Shrinks a failing day and writes the least into a directory; says how large that is. */
    public static String shrunk(
            Scenario day,
            DayResult result,
            String name,
            Path dir,
            Controller.SchedulerFactory maker)
            throws IOException {
        DayPlayer player = new DayPlayer(maker);
        Scenario least = new Shrink(player::play).least(day, result.kind());
        DayResult small = player.play(least);
        Files.writeString(
                Files.createDirectories(dir).resolve(name.replace(".toml", "") + "-least.toml"),
                "# " + String.join("; ", small.faults()) + "\n" + least.toml());
        return String.format(
                Locale.ROOT,
                "%d troubles, %d controllers, %d invokers, %.1f s, %d calls",
                least.troubles().size(),
                least.controllers(),
                least.fleets().stream().mapToInt(Scenario.Fleet::count).sum(),
                least.lengthMicros() / 1e6,
                small.calls());
    }

    /** True where every day passed. */
    public boolean run(PrintWriter out) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(plan.seconds());
        long first = next.get();
        ExecutorService threads = Executors.newFixedThreadPool(plan.jobs());
        for (int i = 0; i < plan.jobs(); i++) {
            threads.execute(
                    () -> {
                        for (long n = next.getAndIncrement();
                                n < first + plan.days() && System.nanoTime() < until;
                                n = next.getAndIncrement()) {
                            one(n, out);
                        }
                    });
        }
        threads.shutdown();
        long began = System.nanoTime();
        while (!threads.awaitTermination(REPORT, TimeUnit.SECONDS)) {
            synchronized (this) {
                out.printf(
                        Locale.ROOT,
                        "%d days, %.1f a second, %d failed, nearest %.2f%n",
                        played,
                        played / ((System.nanoTime() - began) / 1e9),
                        failed,
                        nearest);
                out.flush();
            }
        }
        out.printf(
                Locale.ROOT,
                "%d days, %d calls, %.1f days a second, mean service %.3f, %d failed %s%n",
                played,
                calls,
                played / Math.max(1e-3, (System.nanoTime() - began) / 1e9),
                serviceSum / Math.max(1, played),
                failed,
                kinds);
        StringBuilder table = new StringBuilder("what,days\n");
        coverage.forEach((what, n) -> table.append(what).append(',').append(n).append('\n'));
        Files.writeString(dir.resolve("coverage.csv"), table);
        return failed == 0;
    }

    private void one(long number, PrintWriter out) {
        try {
            SplittableRandom random =
                    new SplittableRandom(plan.seed() ^ number * 0x9E3779B97F4A7C15L);
            Scenario day;
            boolean guided;
            synchronized (this) {
                guided = plan.guided() && !pool.isEmpty() && random.nextBoolean();
                day =
                        guided
                                ? (Scenario) pool.get(random.nextInt(pool.size()))[0]
                                : day(plan.seed(), number);
            }
            day = guided ? asWritten(new Mutate(random.nextLong()).of(day)) : day;
            DayPlayer player = new DayPlayer(maker);
            DayResult result = player.play(day);
            if (plan.twice() && result.passed() && number % 20 == 0) {
                DayResult again = player.play(day);
                if (again.digest() != result.digest()) {
                    result =
                            new DayResult(
                                    List.of("differs between two runs of one seed"),
                                    result.service(),
                                    result.calls(),
                                    result.attempts(),
                                    result.orders(),
                                    result.coldUsed(),
                                    result.ordersUsed(),
                                    result.digest(),
                                    0);
                }
            }
            ended(number, guided, day, result);
            if (!result.passed()) {
                found(number, day, result, out);
            }
        } catch (IOException | RuntimeException e) {
            out.println("day " + number + " could not be played: " + e);
            out.flush();
        }
    }

    private synchronized void ended(long number, boolean guided, Scenario day, DayResult r)
            throws IOException {
        played++;
        calls += r.calls();
        serviceSum += r.service();
        nearest = Math.max(nearest, r.nearness());
        if (!r.passed()) {
            failed++;
            kinds.merge(r.kind(), 1, Integer::sum);
        }
        Files.writeString(
                dir.resolve("days.csv"),
                String.format(
                        Locale.ROOT,
                        "%d,%s,%s,%.4f,%d,%d,%d,%.2f,%.2f,%x%n",
                        number,
                        guided,
                        r.kind(),
                        r.service(),
                        r.calls(),
                        r.attempts(),
                        r.orders(),
                        r.coldUsed(),
                        r.ordersUsed(),
                        r.digest()),
                StandardOpenOption.APPEND);
        if (r.passed() && r.calls() > 0) {
            pool.add(new Object[] {day, Math.max(r.nearness(), 0.9 * (1 - r.service()))});
            pool.sort(Comparator.comparingDouble(o -> -(double) o[1]));
            if (pool.size() > POOL) {
                pool.remove(POOL);
            }
        }
        cover(day);
    }

    private void cover(Scenario day) {
        List<String> all =
                new ArrayList<>(
                        new TreeSet<>(day.troubles().stream().map(t -> t.kind().name()).toList()));
        for (int i = 0; i < all.size(); i++) {
            coverage.merge("trouble " + all.get(i), 1, Integer::sum);
            for (int k = i + 1; k < all.size(); k++) {
                coverage.merge("pair " + all.get(i) + " " + all.get(k), 1, Integer::sum);
            }
        }
        for (String line : day.gateway().split("\n")) {
            if (line.matches(
                    "\\s*(miss_answers|orders|tells_start|tells_company|cancel|overlap|how|group|on|repeat)\\s*=.*")) {
                coverage.merge("setting " + line.replaceAll("[\\s\"]", ""), 1, Integer::sum);
            }
        }
    }

    private void found(long number, Scenario day, DayResult result, PrintWriter out)
            throws IOException {
        boolean keep;
        synchronized (this) {
            keep = failed <= FOUND;
            out.printf("day %d failed: %s%n", number, String.join("; ", result.faults()));
            out.flush();
        }
        if (!keep) {
            return;
        }
        Files.writeString(
                dir.resolve("day-" + number + ".toml"),
                "# " + result.faults().get(0) + "\n" + day.toml());
        if (plan.shrink()) {
            String text = shrunk(day, result, "day-" + number, dir, maker);
            synchronized (this) {
                out.println("day " + number + " shrunk to " + text);
                out.flush();
            }
        }
    }
}
