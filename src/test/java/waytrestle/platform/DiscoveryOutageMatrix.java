package waytrestle.platform;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import waytrestle.platform.DiscoveryOutagePlay.Result;
import waytrestle.platform.SimulatedWatchServer.Loss;

/**
 * Outages of service discovery: each way of loss, drains before, at and during it, settings that
 * allow less, returns and restarts. By hand, with other sizes: {@code DiscoveryOutageMatrix
 * CONTROLLERS INVOKERS OUTAGE_SECONDS SIMULTANEOUS [PATTERN]}, where the pattern names cells.
 */
final class DiscoveryOutageMatrix {
    private static final Set<Loss> LOSSES = EnumSet.complementOf(EnumSet.of(Loss.NONE));
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Before the loss, so that the event is still heard. */
    private static final long BEFORE_MILLIS = -400;

    private static final long AT_MILLIS = 50;

    /** Draining invokers of the platform accept requests for so long. */
    private static final long ACCEPT_MILLIS = 1_700;

    private static final long RETURN_MILLIS = 2_500;

    /** The list is valid no more, and what drains now is not on any list. */
    private static final long DURING_MILLIS = 4_500;

    private static final long BEFORE_END_MILLIS = 2_000;
    private static final int DRAINING_DIVISOR = 3;

    private final int controllers;
    private final int invokers;
    private final long outageMillis;

    DiscoveryOutageMatrix(int controllers, int invokers, long outageMillis) {
        this.controllers = controllers;
        this.invokers = invokers;
        this.outageMillis = outageMillis;
    }

    /** Plays the whole matrix and prints a line for each cell; ends with 1 where one is late. */
    public static void main(String[] args) {
        try {
            playByHand(args);
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2); // other plays are still going on
        }
    }

    private static void playByHand(String[] args) throws Exception {
        int controllers = Integer.parseInt(args[0]);
        int invokers = Integer.parseInt(args[1]);
        long outageMillis = Long.parseLong(args[2]) * MILLIS_PER_SECOND;
        DiscoveryOutageMatrix matrix =
                new DiscoveryOutageMatrix(controllers, invokers, outageMillis);
        String pattern = args.length > 4 ? args[4] : ".*";
        List<OutageScenario> cells =
                matrix.all().stream().filter(cell -> cell.name.matches(pattern)).toList();
        List<Result> results = play(cells, Integer.parseInt(args[3]));
        long late = results.stream().filter(DiscoveryOutageMatrix::isLate).count();
        System.out.println(results.size() + " cells, " + late + " with late work");
        System.exit(late == 0 ? 0 : 1);
    }

    static boolean isLate(Result result) {
        return result.lateRequests() + result.latePreloads() > 0;
    }

    /** Plays scenarios, so many at a time, and prints each result. */
    static List<Result> play(List<OutageScenario> scenarios, int simultaneous) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(simultaneous);
        try {
            List<Future<Result>> plays = new ArrayList<>();
            for (OutageScenario scenario : scenarios) {
                plays.add(threads.submit(() -> new DiscoveryOutagePlay(scenario).play()));
            }
            List<Result> results = new ArrayList<>();
            for (Future<Result> play : plays) {
                Result result = play.get();
                results.add(result);
                System.out.println("discovery outage: " + result);
                if (isLate(result)) {
                    System.out.println(result.log());
                }
            }
            return results;
        } finally {
            threads.shutdownNow();
        }
    }

    /** All cells. */
    List<OutageScenario> all() {
        List<OutageScenario> cells = new ArrayList<>();
        for (Loss loss : LOSSES) {
            cells.add(cell(loss, "before").drainingAt(BEFORE_MILLIS));
            cells.add(cell(loss, "at").drainingAt(AT_MILLIS));
            cells.add(cell(loss, "during").drainingAt(DURING_MILLIS));
            cells.add(cell(loss, "near the end").drainingAt(outageMillis - BEFORE_END_MILLIS));
            cells.add(
                    cell(loss, "at, accepting for a while")
                            .drainingAt(AT_MILLIS)
                            .acceptingFor(ACCEPT_MILLIS));
            cells.add(
                    cell(loss, "during, accepting for a while")
                            .drainingAt(DURING_MILLIS)
                            .acceptingFor(ACCEPT_MILLIS));
            cells.add(
                    cell(loss, "at, returning")
                            .drainingAt(AT_MILLIS)
                            .returningAfter(RETURN_MILLIS));
            cells.add(
                    cell(loss, "at, a controller restarts")
                            .drainingAt(AT_MILLIS)
                            .restartingAController());
            cells.add(
                    cell(loss, "during, without health checks")
                            .drainingAt(DURING_MILLIS)
                            .withoutHealthChecks());
        }
        cells.add(cell(Loss.NONE, "the same without a loss").drainingAt(AT_MILLIS));
        return cells;
    }

    private OutageScenario cell(Loss loss, String when) {
        return new OutageScenario(loss + " " + outageMillis + " ms, drain " + when)
                .sized(controllers, invokers, Math.max(1, invokers / DRAINING_DIVISOR))
                .losing(loss, outageMillis);
    }
}
