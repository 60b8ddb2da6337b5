package waytrestle.hunt;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import waytrestle.config.ConfigException;
import waytrestle.config.TomlFile;
import waytrestle.controller.Controller;
import waytrestle.play.Scenario;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.FinishTimeScheduler;
import waytrestle.scheduler.InvokerEndpoint;
import waytrestle.scheduler.RequestScheduler;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerCommand.PreloadFunction;
import waytrestle.scheduler.SchedulerCommand.Sink;
import waytrestle.scheduler.SchedulerEvent;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;
import waytrestle.scheduler.SchedulerEvent.RequestReceived;

/**
 * Days drawn at random: what was found stays found, a sabotaged module is, and a day is the same
 * each time.
 */
class HuntTest {
    /** Each was shrunk from a day that broke a rule; its first line says which. */
    @Test
    void daysThatOnceBrokeARulePass() throws Exception {
        try (Stream<Path> days = Files.list(Path.of("src/test/resources/days"))) {
            List<Path> all = days.sorted().toList();
            assertTrue(all.size() >= 6, all.toString());
            all.parallelStream()
                    .forEach(
                            each -> {
                                try {
                                    DayResult r =
                                            new DayPlayer(FinishTimeScheduler::new)
                                                    .play(Scenario.read(each));
                                    assertEquals(List.of(), r.faults(), each.toString());
                                    assertTrue(r.calls() > 10, each.toString());
                                } catch (ConfigException e) {
                                    throw new AssertionError(each + ": " + e.errors(), e);
                                }
                            });
        }
    }

    @Test
    void aShortHuntOfFixedSeedsPassesAndGoesOnWhereItEnded(@TempDir Path dir) throws Exception {
        StringWriter out = new StringWriter();
        for (int i = 0; i < 2; i++) {
            assertTrue(
                    new Hunt(
                                    new Hunt.Plan(5, 6, 600, 4, false, true, false),
                                    dir,
                                    FinishTimeScheduler::new)
                            .run(new PrintWriter(out)),
                    out.toString());
        }
        List<String> rows = Files.readAllLines(dir.resolve("days.csv"));
        assertEquals(13, rows.size());
        assertEquals(12, rows.stream().skip(1).map(r -> r.split(",")[0]).distinct().count());
        assertTrue(
                Files.readString(dir.resolve("coverage.csv")).contains("setting miss_answers"),
                out.toString());
    }

    @Test
    void aDayIsTheSameEachTimeAndFromItsFile() throws Exception {
        Scenario day = smaller(3);
        DayResult first = new DayPlayer(FinishTimeScheduler::new).play(day);
        assertEquals(first, new DayPlayer(FinishTimeScheduler::new).play(day));
        assertTrue(
                first.digest()
                        != new DayPlayer(FinishTimeScheduler::new).play(day.withSeed(99)).digest());
        for (int i = 0; i < 100; i++) {
            Scenario drawn = Hunt.asWritten(new Mutate(i).of(Hunt.day(8, i)));
            Scenario read = TomlFile.parse(drawn.toml(), "drawn.toml", Scenario::from);
            assertEquals(
                    drawn.toml().replaceAll("(?s)\\[gateway\\].*", ""),
                    read.toml().replaceAll("(?s)\\[gateway\\].*", ""));
        }
        Scenario read = TomlFile.parse(day.toml(), "day.toml", Scenario::from);
        assertEquals(first.digest(), new DayPlayer(FinishTimeScheduler::new).play(read).digest());
    }

    /** A drawn day of few controllers, so that many can be played. */
    private static Scenario smaller(int number) {
        Scenario d = Hunt.day(77, number);
        return Hunt.asWritten(
                d.with(
                        Math.min(4, d.controllers()),
                        d.fleets(),
                        d.functions(),
                        d.load(),
                        d.troubles(),
                        Math.min(20_000_000, d.lengthMicros())));
    }

    private interface Sabotage {
        RequestScheduler of(FinishTimeScheduler control);
    }

    /** Plays days until one fails in the way wanted, then shrinks it; the budget is in days. */
    private static void found(String kind, int days, Sabotage sabotage) {
        Controller.SchedulerFactory maker =
                (settings, seed) -> sabotage.of(new FinishTimeScheduler(settings, seed));
        DayPlayer player = new DayPlayer(maker);
        Scenario failing =
                IntStream.range(0, days)
                        .parallel()
                        .mapToObj(HuntTest::smaller)
                        .filter(
                                d -> {
                                    DayResult r = player.play(d);
                                    return r.faults().stream().anyMatch(f -> f.startsWith(kind))
                                            && r.kind().equals(kind);
                                })
                        .findFirst()
                        .orElseThrow(
                                () -> new AssertionError(kind + " not found in " + days + " days"));
        Scenario least = new Shrink(player::play).least(failing, kind);
        assertTrue(least.troubles().size() < 5, kind + " with " + least.troubles());
        assertEquals(kind, player.play(least).kind());
    }

    @Test
    void aModuleThatRunsCallsTwiceIsFound() {
        found(
                "rule2",
                40,
                control -> {
                    Map<Long, String> first = new HashMap<>();
                    return (now, event, out) ->
                            control.handle(
                                    now,
                                    event,
                                    a -> {
                                        out.add(a);
                                        if (a instanceof ForwardAttempt s
                                                && first.put(s.id(), s.invoker()) == null) {
                                            out.add(new ForwardAttempt(s.id(), s.invoker(), 0));
                                        }
                                    });
                });
    }

    @Test
    void aModuleThatIgnoresDrainsIsFound() {
        found(
                "rule3",
                40,
                control ->
                        (now, event, out) ->
                                control.handle(
                                        now,
                                        event instanceof EndpointsUpdated list
                                                ? new EndpointsUpdated(
                                                        false,
                                                        list.cached(),
                                                        list.entries().stream()
                                                                .map(
                                                                        i ->
                                                                                new InvokerEndpoint(
                                                                                        i.id(),
                                                                                        i.zone(),
                                                                                        i.cell(),
                                                                                        i.kind(),
                                                                                        EndpointState
                                                                                                .READY,
                                                                                        i.weight(),
                                                                                        i
                                                                                                .startedAtMicros()))
                                                                .toList())
                                                : event,
                                        out));
    }

    @Test
    void aModuleThatSparesNoColdInvokerIsFound() {
        found(
                "rule4",
                80,
                control ->
                        (now, event, out) ->
                                control.handle(
                                        now,
                                        event instanceof EndpointsUpdated list
                                                ? new EndpointsUpdated(
                                                        list.snapshot(),
                                                        list.cached(),
                                                        list.entries().stream()
                                                                .map(
                                                                        i ->
                                                                                new InvokerEndpoint(
                                                                                        i.id(),
                                                                                        i.zone(),
                                                                                        i.cell(),
                                                                                        i.kind(),
                                                                                        i.state(),
                                                                                        i.weight(),
                                                                                        0))
                                                                .toList())
                                                : event,
                                        out));
    }

    @Test
    void aModuleThatOrdersWithoutRationIsFound() {
        found(
                "rule5",
                40,
                control ->
                        (now, event, out) ->
                                control.handle(
                                        now,
                                        event,
                                        a -> {
                                            out.add(a);
                                            if (a instanceof ForwardAttempt s
                                                    && event instanceof RequestReceived r) {
                                                out.add(
                                                        new PreloadFunction(
                                                                s.invoker(), r.function(), 1));
                                            }
                                        }));
    }

    @Test
    void aDecisionThatThrowsOnceInTenThousandIsFound() {
        found(
                "decision",
                40,
                control -> {
                    int[] events = {0};
                    return (now, event, out) -> {
                        if (++events[0] % 10_000 == 0) {
                            throw new IllegalStateException("once");
                        }
                        control.handle(now, event, out);
                    };
                });
    }

    private static final class Leaking implements RequestScheduler {
        private final FinishTimeScheduler control;
        private final Map<Long, String> remembered = new HashMap<>();

        Leaking(FinishTimeScheduler control) {
            this.control = control;
        }

        @Override
        public void handle(long now, SchedulerEvent event, Sink out) {
            if (event instanceof RequestReceived r) {
                remembered.put(r.id(), r.function());
            }
            control.handle(now, event, out);
        }
    }

    @Test
    void aLeakOfOneEntryACallIsFound() {
        found("leak", 4, Leaking::new);
    }

    @Test
    void aScenarioWithAFaultSaysWhereItIs() throws Exception {
        String good = Files.readString(Path.of("deploy/scenarios/bad-day.toml"));
        Map<String, String> wrong =
                Map.of(
                        good.replace("class = \"seat-check\"\nmemory", "class = \"other\"\nmemory"),
                        "functions[0].class",
                        good.replace("kind = \"crash\"", "kind = \"earthquake\""),
                        "must be one of",
                        good.replace("share = 0.2", "share = 3"),
                        "share",
                        good.replaceAll("(?s)\\[+gateway.*", ""),
                        "gateway",
                        good.replace(
                                "kind = \"std\"\nzone = \"north\"",
                                "kind = \"odd\"\nzone = \"north\""),
                        "fleet[0].kind");
        for (Map.Entry<String, String> each : wrong.entrySet()) {
            ConfigException e =
                    assertThrows(
                            ConfigException.class,
                            () -> TomlFile.parse(each.getKey(), "day.toml", Scenario::from),
                            each.getValue());
            assertTrue(
                    e.errors().stream()
                            .anyMatch(
                                    f ->
                                            f.matches("day\\.toml:\\d+: .*")
                                                    && f.contains(each.getValue())),
                    e.errors().toString());
        }
    }
}
