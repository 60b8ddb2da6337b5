package waytrestle.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import waytrestle.hunt.DayPlayer;
import waytrestle.hunt.DayResult;
import waytrestle.hunt.Hunt;
import waytrestle.play.Scenario;
import waytrestle.scheduler.FinishTimeScheduler;

/** Draws days until a rule breaks. */
@Command(
        name = "hunt",
        mixinStandardHelpOptions = true,
        description =
                "Draw whole days at random and play them in simulated time until the budget is"
                    + " used; exit 1 if one failed. Goes on where an earlier hunt in the directory"
                    + " ended.")
final class HuntCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "Where the table of days, coverage and found days go.")
    private Path dir;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "Of all draws; default ${DEFAULT-VALUE}.")
    private long seed;

    @Option(names = "--days", defaultValue = "1000000000", description = "Days played at most.")
    private long days;

    @Option(
            names = "--seconds",
            defaultValue = "60",
            description = "Time used at most; default ${DEFAULT-VALUE}.")
    private long seconds;

    @Option(names = "--jobs", description = "Days at a time; default one a core.")
    private int jobs = Runtime.getRuntime().availableProcessors();

    @Option(
            names = "--chance",
            description =
                    "Draw every day anew; else half are made from the days nearest to a break.")
    private boolean chance;

    @Option(names = "--no-shrink", description = "Keep failing days as they are.")
    private boolean whole;

    @Parameters(
            arity = "0..*",
            paramLabel = "DAY",
            description =
                    "Scenarios to play again instead, each told passed or failed; "
                            + "with --out a failing one is shrunk.")
    private List<Path> again = List.of();

    @Override
    public Integer call() throws Exception {
        Logs.to(false, "off");
        var out = spec.commandLine().getOut();
        if (!again.isEmpty()) {
            boolean passed = true;
            for (Path each : again) {
                DayResult r = new DayPlayer(FinishTimeScheduler::new).play(Scenario.read(each));
                passed &= r.passed();
                if (!r.passed() && dir != null && !whole) {
                    out.println(
                            "shrunk: "
                                    + Hunt.shrunk(
                                            Scenario.read(each),
                                            r,
                                            each.getFileName().toString(),
                                            dir,
                                            FinishTimeScheduler::new));
                }
                out.printf(
                        "%s: %s, service %.3f, %d calls, %d attempts, cold budget %.0f%%%n",
                        each,
                        r.passed() ? "passed" : String.join("; ", r.faults()),
                        r.service(),
                        r.calls(),
                        r.attempts(),
                        r.coldUsed() * 100);
                out.flush();
            }
            return passed ? 0 : 1;
        }
        if (dir == null) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--out is needed to hunt");
        }
        return new Hunt(
                                new Hunt.Plan(seed, days, seconds, jobs, !chance, true, !whole),
                                dir,
                                FinishTimeScheduler::new)
                        .run(out)
                ? 0
                : 1;
    }
}
