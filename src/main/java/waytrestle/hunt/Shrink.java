package waytrestle.hunt;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import waytrestle.play.Scenario;
import waytrestle.play.Scenario.Fleet;
import waytrestle.play.Scenario.Functions;
import waytrestle.play.Scenario.Load;
import waytrestle.play.Scenario.Trouble;

/**
 * Makes a failing day smaller while it fails in the same way: without a trouble, with fewer
 * invokers, controllers, functions, calls, seconds. Greedy, over and over, until nothing more can
 * go; bounded in days played.
 */
final class Shrink {
    private static final int DAYS = 300; // played at most for one day's shrinking

    private final Function<Scenario, DayResult> player;
    private int left = DAYS;

    Shrink(Function<Scenario, DayResult> player) {
        this.player = player;
    }

    Scenario least(Scenario day, String kind) {
        Scenario best = day;
        boolean smaller = true;
        while (smaller && left > 0) {
            smaller = false;
            for (Scenario each : smaller(best)) {
                if (left-- > 0 && player.apply(each).kind().equals(kind)) {
                    best = each;
                    smaller = true;
                    break;
                }
            }
        }
        return best;
    }

    /** Days a step smaller, the greatest steps first. */
    private static List<Scenario> smaller(Scenario d) {
        List<Scenario> all = new ArrayList<>();
        List<Trouble> troubles = d.troubles();
        if (troubles.size() > 3) {
            all.add(with(d, troubles.subList(0, troubles.size() / 2)));
            all.add(with(d, troubles.subList(troubles.size() / 2, troubles.size())));
        }
        for (int i = 0; i < troubles.size(); i++) {
            List<Trouble> fewer = new ArrayList<>(troubles);
            fewer.remove(i);
            all.add(with(d, fewer));
        }
        for (int of : new int[] {2, 10}) {
            if (d.controllers() > 1) {
                all.add(
                        d.with(
                                d.controllers() - Math.max(1, d.controllers() / of),
                                d.fleets(),
                                d.functions(),
                                d.load(),
                                troubles,
                                d.lengthMicros()));
            }
            List<Fleet> fleets = new ArrayList<>();
            for (Fleet f : d.fleets()) {
                fleets.add(
                        new Fleet(
                                f.kind(),
                                f.zone(),
                                f.cell(),
                                Math.max(1, f.count() - Math.max(1, f.count() / of)),
                                f.cores(),
                                f.room(),
                                f.loadsAtOnce(),
                                f.cancelStops(),
                                f.reportEveryMicros()));
            }
            if (!fleets.equals(d.fleets())) {
                all.add(
                        d.with(
                                d.controllers(),
                                fleets,
                                d.functions(),
                                d.load(),
                                troubles,
                                d.lengthMicros()));
            }
            List<Functions> functions = new ArrayList<>();
            for (Functions f : d.functions()) {
                functions.add(
                        new Functions(
                                f.name(),
                                Math.max(1, f.count() - Math.max(1, f.count() / of)),
                                f.requestClass(),
                                f.memoryMb(),
                                f.lanes(),
                                f.loadMicros(),
                                f.workMs(),
                                f.share(),
                                f.zipf()));
            }
            if (!functions.equals(d.functions())) {
                all.add(
                        d.with(
                                d.controllers(),
                                d.fleets(),
                                functions,
                                d.load(),
                                troubles,
                                d.lengthMicros()));
            }
            if (d.lengthMicros() > 2_000_000) {
                all.add(
                        d.with(
                                d.controllers(),
                                d.fleets(),
                                d.functions(),
                                d.load(),
                                troubles,
                                d.lengthMicros() - d.lengthMicros() / of));
            }
            Load l = d.load();
            if (l.ratePerSecond() > 2) {
                all.add(
                        d.with(
                                d.controllers(),
                                d.fleets(),
                                d.functions(),
                                new Load(
                                        l.ratePerSecond() * (1 - 1.0 / of),
                                        l.retryShare(),
                                        l.retryAfterMicros(),
                                        l.leaveShare(),
                                        l.kserveShare()),
                                troubles,
                                d.lengthMicros()));
            }
        }
        if (d.functions().size() > 1) {
            for (Functions f : d.functions()) {
                List<Functions> fewer = new ArrayList<>(d.functions());
                fewer.remove(f);
                all.add(
                        d.with(
                                d.controllers(),
                                d.fleets(),
                                fewer,
                                d.load(),
                                troubles,
                                d.lengthMicros()));
            }
        }
        return all;
    }

    private static Scenario with(Scenario d, List<Trouble> troubles) {
        return d.with(
                d.controllers(),
                d.fleets(),
                d.functions(),
                d.load(),
                List.copyOf(troubles),
                d.lengthMicros());
    }
}
