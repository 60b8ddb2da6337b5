package waytrestle.play;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import waytrestle.standin.Actor;
import waytrestle.standin.Env;
import waytrestle.standin.InvokerBody.Tells;
import waytrestle.standin.Sightings;
import waytrestle.standin.StoreModel;

/** Inflicts a scenario's troubles at their times, on sockets or simulated alike. */
public final class Troubles {
    /** What troubles act on beside invokers. */
    public interface Stage {
        /**
         * The roster's word on an invoker: passing, critical or gone; startedAt 0 means long past.
         */
        void list(String id, String state, long startedAt);

        void bounce(int controller, long backAfter, boolean killed);

        StoreModel store();

        Clients clients();

        void onClients(Runnable task);

        void broken(Exception e);

        /** The wall clock of all controllers steps; only simulated ones can be made to. */
        default void stepClock(long micros) {}
    }

    private final Scenario scenario;
    private final Env env;
    private final Random random;
    private final List<Actor> invokers;
    private final Map<String, Scenario.Fleet> fleetOf;
    private final List<Clients.Target> targets;
    private final Stage stage;
    private final Sightings sightings;
    private final PrintWriter progress;
    private final long began;
    private long rosterLag;

    public Troubles(
            Scenario scenario,
            Env env,
            Random random,
            List<Actor> invokers,
            Map<String, Scenario.Fleet> fleetOf,
            List<Clients.Target> targets,
            Stage stage,
            Sightings sightings,
            PrintWriter progress) {
        this.scenario = scenario;
        this.env = env;
        this.random = random;
        this.invokers = invokers;
        this.fleetOf = fleetOf;
        this.targets = targets;
        this.stage = stage;
        this.sightings = sightings;
        this.progress = progress;
        this.began = env.now();
        this.rosterLag = scenario.rosterLagMicros();
    }

    /** Sets each trouble's time, counted from now. */
    public void begin() {
        scenario.troubles().forEach(t -> env.after(t.atMicros(), () -> inflict(t)));
    }

    private List<Actor> some(double share) {
        List<Actor> up = new ArrayList<>(invokers.stream().filter(Actor::up).toList());
        Collections.shuffle(up, random);
        return up.subList(0, Math.min(up.size(), (int) Math.ceil(share * up.size())));
    }

    private void inflict(Scenario.Trouble t) {
        sightings.saw("play", "trouble", "kind", Scenario.word(t.kind()), "for", t.forMicros());
        progress.printf(
                "%5.0f s  trouble: %s%n", (env.now() - began) / 1e6, Scenario.word(t.kind()));
        switch (t.kind()) {
            case CRASH -> some(t.share()).forEach(i -> crash(i, t.forMicros()));
            case DEPLOY -> deploy(t);
            case PREEMPT ->
                    some(t.share())
                            .forEach(i -> replace(i, (long) (t.factor() * 1e6), t.forMicros()));
            case CONTROLLER_CRASH ->
                    stage.bounce((int) random.nextInt(scenario.controllers()), t.forMicros(), true);
            case CONTROLLER_ROLL -> {
                for (int i = 0; i < scenario.controllers(); i++) {
                    int number = i;
                    env.after(
                            i * t.forMicros() / scenario.controllers(),
                            () -> stage.bounce(number, 500_000, false));
                }
            }
            case STALE_ROSTER ->
                    during(
                            t,
                            () -> rosterLag = (long) (t.factor() * 1e6),
                            () -> rosterLag = scenario.rosterLagMicros());
            case SLOW_STORE ->
                    during(t, () -> stage.store().slow(t.factor()), () -> stage.store().slow(1));
            case LATE_REPORTS ->
                    strike(
                            t,
                            i -> i.model().reportEvery((long) (t.factor() * 1e6)),
                            i -> i.model().reportEvery(fleetOf.get(i.id()).reportEveryMicros()));
            case SLOW -> strike(t, i -> i.model().slow(t.factor()), i -> i.model().slow(1));
            case AGEING -> strike(t, i -> i.model().age(t.factor()), i -> crash(i, 3_000_000));
            case THROTTLE ->
                    strike(t, i -> i.model().throttle(t.factor()), i -> i.model().throttle(0));
            case HANG -> strike(t, i -> i.model().hang(true), i -> i.model().hang(false));
            case LOST_ANSWERS -> strike(t, i -> i.spoil(t.factor(), 0), i -> i.spoil(0, 0));
            case GARBAGE -> strike(t, i -> i.spoil(0, t.factor()), i -> i.spoil(0, 0));
            case FUNCTION_FAILS ->
                    during(
                            t,
                            () ->
                                    invokers.forEach(
                                            i -> i.functionsFail(t.share(), (int) t.factor())),
                            () -> invokers.forEach(i -> i.functionsFail(0, 0)));
            case INVOKER_FAILS -> strike(t, i -> i.fail((int) t.factor()), i -> i.fail(0));
            case TELLS_NOTHING -> strike(t, i -> i.tell(Tells.NOTHING), i -> i.tell(Tells.TRUTH));
            case TELLS_NONSENSE -> strike(t, i -> i.tell(Tells.NONSENSE), i -> i.tell(Tells.TRUTH));
            case CLOCK_STEP ->
                    during(
                            t,
                            () -> stage.stepClock((long) (t.factor() * 1e6)),
                            () -> stage.stepClock((long) (-t.factor() * 1e6)));
            case ZONE_CUT -> {
                String zone = scenario.fleets().get(0).zone();
                List<Actor> behind =
                        invokers.stream()
                                .filter(i -> fleetOf.get(i.id()).zone().equals(zone))
                                .toList();
                int fleets = scenario.fleets().size();
                during(
                        t,
                        () ->
                                behind.forEach(
                                        i ->
                                                i.cutOff(
                                                        c ->
                                                                c >= 0
                                                                        && !scenario.fleets()
                                                                                .get(c % fleets)
                                                                                .zone()
                                                                                .equals(zone))),
                        () -> behind.forEach(i -> i.cutOff(c -> false)));
            }
            case BURST ->
                    onClients(
                            t,
                            () -> stage.clients().burst(t.factor()),
                            () -> stage.clients().burst(1));
            case GIVE_UP ->
                    onClients(
                            t,
                            () -> stage.clients().leaving(t.share()),
                            () -> stage.clients().leaving(0));
            case SCAN ->
                    onClients(
                            t,
                            () -> stage.clients().scan(targets.get(0), t.share()),
                            () -> stage.clients().scan(null, 0));
            case HOT_FUNCTION ->
                    onClients(
                            t,
                            () ->
                                    stage.clients()
                                            .hot(
                                                    new Clients.Target(
                                                            "hot-" + t.atMicros(),
                                                            targets.get(0).requestClass(),
                                                            targets.get(0).workMs()),
                                                    t.share()),
                            () -> stage.clients().hot(null, 0));
        }
    }

    private void during(Scenario.Trouble t, Runnable from, Runnable to) {
        from.run();
        env.after(t.forMicros(), to);
    }

    private void onClients(Scenario.Trouble t, Runnable from, Runnable to) {
        stage.onClients(from);
        env.after(t.forMicros(), () -> stage.onClients(to));
    }

    private void strike(Scenario.Trouble t, Consumer<Actor> from, Consumer<Actor> to) {
        List<Actor> struck = some(t.share());
        during(t, () -> struck.forEach(from), () -> struck.forEach(to));
    }

    /** Dies at once; the roster learns of it after its lag, and of its return likewise. */
    private void crash(Actor i, long backAfter) {
        i.crash();
        env.after(
                rosterLag,
                () -> {
                    if (!i.up()) {
                        stage.list(i.id(), "gone", 0);
                    }
                });
        if (backAfter > 0) {
            env.after(backAfter, () -> restart(i));
        }
    }

    private void restart(Actor i) {
        try {
            i.restart();
            long started = env.now();
            env.after(rosterLag, () -> stage.list(i.id(), "passing", started));
        } catch (IOException e) {
            stage.broken(e);
        }
    }

    /** Told to drain, given a while, then gone and back cold. */
    private void replace(Actor i, long drainFor, long backAfter) {
        i.terminate();
        env.after(rosterLag, () -> stage.list(i.id(), "critical", 0));
        env.after(drainFor, () -> crash(i, backAfter));
    }

    private void deploy(Scenario.Trouble t) {
        List<Actor> all = some(t.share());
        for (int n = 0; n < all.size(); n++) {
            Actor i = all.get(n);
            env.after(
                    n * t.forMicros() / all.size(),
                    () -> replace(i, (long) (t.factor() * 1e6), 1_000_000));
        }
    }
}
