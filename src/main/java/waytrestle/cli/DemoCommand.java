package waytrestle.cli;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;
import waytrestle.audit.Audit;
import waytrestle.config.TomlFile;
import waytrestle.play.Scenario;

/** Shows the whole in about half a minute, with no other setup. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description =
                "Play a short bad day on loopback: gateways, roster, store, a dozen invokers,"
                    + " signed calls, a crash, a rolling drain, a slow store; then the verdict.")
final class DemoCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        String text;
        try (InputStream in = DemoCommand.class.getResourceAsStream("/demo.toml")) {
            if (in == null) {
                throw new IOException("the program's demo.toml is missing from its jar");
            }
            text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
        Path dir = Files.createTempDirectory("waytrestle-demo-");
        out.println(
                "two controllers, twelve invokers, one store, one roster on loopback; evidence in "
                        + dir);
        Audit.Verdict verdict =
                PlayCommand.run(
                        TomlFile.parse(text, "demo.toml", Scenario::from), dir, "finish", out);
        out.print(verdict.text());
        out.flush();
        return verdict.kept() ? 0 : 1;
    }
}
