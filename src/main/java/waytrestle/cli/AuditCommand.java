package waytrestle.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import waytrestle.audit.Audit;
import waytrestle.config.GatewayConfig;
import waytrestle.play.Evidence;

/** Judges a played day again from its evidence. */
@Command(
        name = "audit",
        mixinStandardHelpOptions = true,
        description = "Judge the five rules from a play's evidence; exit 1 if one broke.")
final class AuditCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "DIR", description = "What play wrote.")
    private Path dir;

    static Audit.Verdict judge(Path dir) throws Exception {
        return Audit.of(
                dir.resolve(Evidence.FILE),
                GatewayConfig.read(dir.resolve("gateway-0.toml")).schedulerSettings());
    }

    @Override
    public Integer call() throws Exception {
        Audit.Verdict verdict = judge(dir);
        spec.commandLine().getOut().print(verdict.text());
        spec.commandLine().getOut().flush();
        return verdict.kept() ? 0 : 1;
    }
}
