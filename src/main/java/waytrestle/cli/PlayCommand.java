package waytrestle.cli;

import java.io.PrintWriter;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import waytrestle.audit.Audit;
import waytrestle.play.Play;
import waytrestle.play.Processes;
import waytrestle.play.Scenario;

/** Plays a scenario against real gateway processes and judges it. */
@Command(
        name = "play",
        mixinStandardHelpOptions = true,
        description =
                "Play a scripted day over sockets and judge the five rules; exit 1 if one broke.")
final class PlayCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "SCENARIO", description = "The scripted day, in TOML.")
    private Path scenario;

    @Option(
            names = "--out",
            required = true,
            paramLabel = "DIR",
            description = "Where evidence and logs go.")
    private Path out;

    @Option(names = "--seed", description = "Another seed than the scenario's.")
    private Long seed;

    @Option(names = "--policy", defaultValue = "finish", hidden = true)
    private String policy;

    @Option(names = "--quiet", description = "No progress lines.")
    private boolean quiet;

    @Override
    public Integer call() throws Exception {
        PrintWriter to = spec.commandLine().getOut();
        Scenario day = Scenario.read(scenario);
        Audit.Verdict verdict =
                run(
                        seed == null ? day : day.withSeed(seed),
                        out,
                        policy,
                        quiet ? new PrintWriter(Writer.nullWriter()) : to);
        to.print(verdict.text());
        to.flush();
        return verdict.kept() ? 0 : 1;
    }

    static Audit.Verdict run(Scenario day, Path out, String policy, PrintWriter progress)
            throws Exception {
        Files.createDirectories(out);
        new Play(day, out, new Processes(out, policy), progress).run();
        return AuditCommand.judge(out);
    }
}
