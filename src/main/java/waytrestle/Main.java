package waytrestle;

import waytrestle.bench.BenchAdapter;
import waytrestle.cli.Cli;
import waytrestle.platform.PlatformController;

/**
 * The program's entry. The bench's adapter and the platform's controller are started without
 * touching the command line's library.
 */
public final class Main {
    private Main() {}

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
