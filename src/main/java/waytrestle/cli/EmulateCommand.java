package waytrestle.cli;

import java.io.PrintWriter;
import java.io.Writer;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import waytrestle.audit.Audit;
import waytrestle.emulator.Emulation;
import waytrestle.play.RandomChoice;
import waytrestle.play.Scenario;
import waytrestle.scheduler.FinishTimeScheduler;

/** Runs a scenario in simulated time and judges it like a play. */
@Command(
        name = "emulate",
        mixinStandardHelpOptions = true,
        description =
                "Run a scripted day in simulated time, with the gateway's own decisions, and judge"
                        + " the five rules; exit 1 if one broke. All its figures are simulated.")
final class EmulateCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "SCENARIO", description = "The scripted day, in TOML.")
    private Path scenario;

    @Option(
            names = "--out",
            required = true,
            paramLabel = "DIR",
            description = "Where evidence goes.")
    private Path out;

    @Option(names = "--seed", description = "Another seed than the scenario's.")
    private Long seed;

    @Option(names = "--policy", defaultValue = "finish", hidden = true)
    private String policy;

    @Option(names = "--no-overload", description = "Without the overload modules.")
    private boolean noOverload;

    @Override
    public Integer call() throws Exception {
        Logs.to(false, "warn");
        Scenario day = Scenario.read(scenario);
        Emulation emulation =
                new Emulation(
                        seed == null ? day : day.withSeed(seed),
                        out,
                        policy.equals("random") ? RandomChoice::new : FinishTimeScheduler::new,
                        !noOverload);
        long took = emulation.run(new PrintWriter(Writer.nullWriter()));
        Audit.Verdict verdict = AuditCommand.judge(out);
        PrintWriter to = spec.commandLine().getOut();
        to.printf(
                "simulated: %.1f s of a day in %.1f s, %d steps%n",
                day.lengthMicros() / 1e6, took / 1e6, emulation.tasks());
        to.print(verdict.text());
        to.flush();
        return verdict.kept() ? 0 : 1;
    }
}
