package waytrestle;

import waytrestle.bench.BenchAdapter;
import waytrestle.cli.Cli;
import waytrestle.platform.PlatformController;

/**
 * Entry point of the program. The benchmark adapter and the platform controller start without
 * loading the command-line library.
 */
public final class Main {
    private Main() {}

    /**
     * Starts the benchmark adapter for the single argument {@code wirehost}, the platform
     * controller for {@code platform}, and the command line for all other arguments.
     */
    public static void main(String[] args) throws InterruptedException {
        if (args.length == 1 && args[0].equals("wirehost")) {
            BenchAdapter.main(args);
        } else if (args.length == 1 && args[0].equals("platform")) {
            PlatformController.main(args);
        } else {
            Cli.main(args);
        }
    }
}
