package waytrestle.platform;

import java.util.ArrayList;
import java.util.List;

/** What soaks share: how they are run by hand, and what no controller's log may tell. */
final class SoakRunner {
    /** What one seed came to; printed as a line. */
    interface Result {
        /** Broken rules, none where all were kept. */
        List<String> violations();
    }

    /** Plays one seed with so many controllers. */
    interface Soak {
        Result play(long seed, int controllers) throws Exception;
    }

    private SoakRunner() {}

    /**
     * Plays seeds one after another and prints a line for each; exits with 1 where one has broken a
     * rule.
     *
     * @param args the number of controllers, the first seed, the number of seeds
     */
    static void run(String[] args, Soak soak) throws Exception {
        int controllers = Integer.parseInt(args[0]);
        long firstSeed = Long.parseLong(args[1]);
        long seeds = Long.parseLong(args[2]);
        int violated = 0;
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            Result result = soak.play(seed, controllers);
            violated += result.violations().isEmpty() ? 0 : 1;
            System.out.println(result);
        }
        System.out.println(violated + " seeds with violations");
        System.exit(violated == 0 ? 0 : 1);
    }

    /**
     * What the log tells of faults that the program has met or prevented only at the last check.
     */
    static List<String> violationsIn(String log) {
        List<String> found = new ArrayList<>();
        if (log.contains("send.violation_prevented")) {
            found.add("the guard had to prevent a send: " + log);
        }
        if (log.contains("handler.failed") || log.contains("scheduler.decision_failed")) {
            found.add("a handler failed: " + log);
        }
        if (log.contains("loop.stalled")) {
            found.add("an event loop was stuck: " + log);
        }
        return found;
    }
}
