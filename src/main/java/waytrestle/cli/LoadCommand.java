package waytrestle.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import waytrestle.load.LoadPlan;
import waytrestle.load.LoadReport;
import waytrestle.load.LoadRun;
import waytrestle.net.Loop;

/** Sends load by a plan and writes what came of it. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description =
                "Send calls in open loop by a plan, to loopback "
                        + "addresses alone; tables and charts go to a directory.")
final class LoadCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "PLAN", description = "Streams, rates and stages, in TOML.")
    private Path plan;

    @Option(
            names = "--out",
            required = true,
            paramLabel = "DIR",
            description = "Where tables and charts go.")
    private Path out;

    @Override
    public Integer call() throws Exception {
        LoadPlan read = LoadPlan.read(plan);
        Loop loop = new Loop("load", Throwable::printStackTrace).busyPollShortWaits().start();
        LoadRun run = new LoadRun(read, loop);
        run.run();
        loop.stop();
        LoadReport.write(run, out);
        spec.commandLine().getOut().print(LoadReport.summary(run.tallies()));
        spec.commandLine().getOut().flush();
        return 0;
    }
}
