package waytrestle.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import waytrestle.config.GatewayConfig;

/** Checks a configuration without starting anything. */
@Command(
        name = "check-config",
        mixinStandardHelpOptions = true,
        description =
                "Say every fault of a configuration, with its file, line and key; exit 2 if there"
                        + " is one.")
final class CheckConfigCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The configuration, in TOML.")
    private Path config;

    @Override
    public Integer call() throws Exception {
        GatewayConfig read = GatewayConfig.read(config);
        spec.commandLine()
                .getOut()
                .println(
                        config
                                + ": "
                                + read.schedulerSettings().classes().size()
                                + " classes, "
                                + read.webhookEndpoints().size()
                                + " endpoints, "
                                + read.functions().size()
                                + " functions: no fault");
        return 0;
    }
}
