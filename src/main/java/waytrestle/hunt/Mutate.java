package waytrestle.hunt;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import waytrestle.play.Scenario;
import waytrestle.play.Scenario.Fleet;
import waytrestle.play.Scenario.Kind;
import waytrestle.play.Scenario.Load;
import waytrestle.play.Scenario.Trouble;

/** A day like another one but for a thing or two. */
final class Mutate {
    private final SplittableRandom random;
    private final DayDraw draw;

    Mutate(long seed) {
        this.random = new SplittableRandom(seed);
        this.draw = new DayDraw(seed + 1);
    }

    Scenario of(Scenario day) {
        Scenario made = day;
        int changes = 1 + random.nextInt(3);
        for (int i = 0; i < changes; i++) {
            made = once(made);
        }
        return made.withSeed(random.nextLong(1L << 40));
    }

    private Scenario once(Scenario d) {
        double seconds = d.lengthMicros() / 1e6;
        List<Trouble> troubles = new ArrayList<>(d.troubles());
        switch (random.nextInt(6)) {
            case 0 ->
                    troubles.add(
                            draw.trouble(
                                    Kind.values()[random.nextInt(Kind.values().length)], seconds));
            case 1 -> {
                if (!troubles.isEmpty()) {
                    int i = random.nextInt(troubles.size());
                    troubles.set(i, draw.trouble(troubles.get(i).kind(), seconds));
                }
            }
            case 2 -> { // the same trouble twice, a little apart
                if (!troubles.isEmpty()) {
                    Trouble t = troubles.get(random.nextInt(troubles.size()));
                    troubles.add(
                            new Trouble(
                                    t.kind(),
                                    t.atMicros() + random.nextLong(2_000_000),
                                    t.forMicros(),
                                    t.share(),
                                    t.factor()));
                }
            }
            case 3 -> {
                Load l = d.load();
                return d.with(
                        d.controllers(),
                        d.fleets(),
                        d.functions(),
                        new Load(
                                Math.max(1, l.ratePerSecond() * draw.log(0.6, 1.6)),
                                l.retryShare(),
                                l.retryAfterMicros(),
                                l.leaveShare(),
                                l.kserveShare()),
                        troubles,
                        d.lengthMicros());
            }
            case 4 -> {
                List<Fleet> fleets = new ArrayList<>();
                for (Fleet f : d.fleets()) {
                    fleets.add(
                            new Fleet(
                                    f.kind(),
                                    f.zone(),
                                    f.cell(),
                                    Math.max(1, (int) (f.count() * draw.log(0.6, 1.6))),
                                    f.cores(),
                                    f.room(),
                                    f.loadsAtOnce(),
                                    f.cancelStops(),
                                    f.reportEveryMicros()));
                }
                return d.with(
                        d.controllers(),
                        fleets,
                        d.functions(),
                        d.load(),
                        troubles,
                        d.lengthMicros());
            }
            default -> {
                return d.with(
                        Math.max(
                                1,
                                Math.min(
                                        300, (int) Math.round(d.controllers() * draw.log(0.5, 2)))),
                        d.fleets(),
                        d.functions(),
                        d.load(),
                        troubles,
                        d.lengthMicros());
            }
        }
        return d.with(
                d.controllers(), d.fleets(), d.functions(), d.load(), troubles, d.lengthMicros());
    }
}
