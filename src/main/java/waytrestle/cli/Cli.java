package waytrestle.cli;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.Charset;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import waytrestle.bench.BenchAdapter;
import waytrestle.config.ConfigException;
import waytrestle.platform.PlatformController;

/**
 * The command line: its sub-commands and how each error ends (1 a verdict, 2 wrong use or settings,
 * 3 a fault).
 */
@Command(
        name = "waytrestle",
        mixinStandardHelpOptions = true,
        version = "waytrestle 0.2.0",
        description = "A gateway that runs calls on invokers which load functions on demand.",
        subcommands = {
            ServeCommand.class,
            CheckConfigCommand.class,
            PlayCommand.class,
            AuditCommand.class,
            DemoCommand.class,
            LoadCommand.class,
            MeasureCommand.class,
            GoodputCommand.class,
            EmulateCommand.class,
            FaultsCommand.class,
            HuntCommand.class,
            Cli.WireHostCommand.class,
            Cli.PlatformCommand.class
        })
public final class Cli implements Callable<Integer> {
    /** Named here for the help alone; the program starts it before this command line is loaded. */
    @Command(
            name = "wirehost",
            description = "Speak the bench's wire on standard input and output.")
    static final class WireHostCommand implements Callable<Integer> {
        @Override
        public Integer call() {
            BenchAdapter.main(new String[] {"wirehost"});
            return 0;
        }
    }

    /** Named here for the help alone, as above. */
    @Command(
            name = "platform",
            description = "Run the platform's controller; BALANCER_CONFIG names its configuration.")
    static final class PlatformCommand implements Callable<Integer> {
        @Override
        public Integer call() throws InterruptedException {
            PlatformController.main(new String[] {"platform"});
            return 0;
        }
    }

    public static void main(String[] args) {
        System.exit(run(args, writer(System.out), writer(System.err)));
    }

    private static PrintWriter writer(PrintStream stream) {
        return new PrintWriter(stream, true, Charset.defaultCharset());
    }

    static int run(String[] args, PrintWriter out, PrintWriter err) {
        CommandLine line = new CommandLine(new Cli()).setOut(out).setErr(err);
        line.setExecutionExceptionHandler(
                (e, command, parsed) -> {
                    if (e instanceof ConfigException wrong) {
                        wrong.errors().forEach(err::println);
                        return 2;
                    }
                    err.println(
                            "waytrestle: "
                                    + (e.getMessage() == null ? e.toString() : e.getMessage()));
                    return 3;
                });
        return line.execute(args);
    }

    @Override
    public Integer call() {
        CommandLine.usage(this, System.out);
        return 2;
    }
}
