package waytrestle.standin;

import java.io.IOException;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.IntConsumer;
import java.util.function.IntPredicate;
import waytrestle.scheduler.StartKind;

/**
 * What an invoker does with attempts and orders, whichever way they come: its model, its group's
 * keys, its troubles.
 */
public class InvokerBody implements Actor {
    /** Where an attempt's answer goes. */
    public interface Reply {
        boolean open();

        /** The answer; garbled when it is to be unreadable. */
        void answer(InvokerModel.Result result, boolean garbled);
    }

    /** An attempt whose caller still waits. */
    public interface Underway {
        /** Its caller closed; seen so many micros late at most. */
        void closed(long lag);
    }

    /** What an invoker says of itself beside its answers. */
    public enum Tells {
        TRUTH,
        NOTHING,
        NONSENSE
    }

    /** The function that all unlisted ones are like. */
    public static final String UNLISTED = "*";

    /** An order's answer in place of copies: the function is not known. */
    public static final int UNKNOWN = -2;

    private static final int KEYS = 100_000; // remembered keys: more than a day's play sends

    protected final Env env;
    protected final Sightings sightings;
    protected String id;
    private final Map<String, InvokerModel.Function> functions;
    private final Function<Boolean, InvokerModel> maker;
    private final Map<String, Long> keys;
    private final long keyWindow;
    private final SplittableRandom random;
    private InvokerModel model;
    private double loseAnswers, garbage, failingShare;
    private int failingStatus, ownStatus;
    private Tells tells = Tells.TRUTH;
    private boolean up = true;
    private boolean terminating;
    private IntPredicate cutOff = controller -> false;

    /**
     * Starts warm. The keys that it drops repeats of, with the time until which it does, are shared
     * by the invokers of one group.
     */
    public InvokerBody(
            String id,
            Env env,
            Map<String, InvokerModel.Function> functions,
            Function<Boolean, InvokerModel> maker,
            Map<String, Long> keys,
            long keyWindow,
            Sightings sightings,
            long seed) {
        this.id = id;
        this.env = env;
        this.functions = functions;
        this.maker = maker;
        this.keys = keys;
        this.keyWindow = keyWindow;
        this.sightings = sightings;
        this.random = new SplittableRandom(seed);
        this.model = maker.apply(false);
    }

    @Override
    public String id() {
        return id;
    }

    @Override
    public InvokerModel model() {
        return model;
    }

    @Override
    public boolean up() {
        return up;
    }

    @Override
    public void crash() {
        if (up) {
            up = false;
            sightings.saw(id, "down");
            model.stop();
        }
    }

    @Override
    public void terminate() {
        terminating = true;
    }

    /** Whether it passes a health check. */
    public boolean isReady() {
        return up && !terminating;
    }

    @Override
    public void restart() throws IOException {
        if (!up) {
            up = true;
            terminating = false;
            model = maker.apply(true);
            spoil(0, 0);
            sightings.saw(id, "up");
        }
    }

    @Override
    public void spoil(double lost, double garbled) {
        loseAnswers = lost;
        garbage = garbled;
    }

    @Override
    public void cutOff(IntPredicate controllers) {
        cutOff = controllers;
    }

    @Override
    public void functionsFail(double share, int status) {
        failingShare = share;
        failingStatus = status;
    }

    @Override
    public void fail(int status) {
        ownStatus = status;
    }

    @Override
    public void tell(Tells what) {
        tells = what;
    }

    private boolean fails(String function) {
        return failingShare > 0 && (function.hashCode() & 1023) < failingShare * 1024;
    }

    /** What goes out with an answer, as this invoker tells it. */
    private InvokerModel.Result told(InvokerModel.Result r) {
        return switch (tells) {
            case TRUTH -> r;
            case NOTHING -> new InvokerModel.Result(r.status(), StartKind.UNKNOWN, -1, Map.of());
            case NONSENSE -> {
                double wrong =
                        random.nextInt(3) == 0
                                ? -random.nextInt(100)
                                : random.nextBoolean() ? 0 : 1e9 * random.nextDouble();
                yield new InvokerModel.Result(
                        r.status(),
                        StartKind.values()[random.nextInt(StartKind.values().length)],
                        random.nextInt(1_000_000) - 10,
                        Map.of("inflight", wrong, "queue", random.nextDouble() * 100));
            }
        };
    }

    public boolean isCutOff(int controller) {
        return cutOff.test(controller);
    }

    public InvokerModel.Function function(String name) {
        InvokerModel.Function like = functions.get(UNLISTED);
        return functions.getOrDefault(
                name,
                new InvokerModel.Function(name, 256, 4, 800_000, like != null && like.keyed()));
    }

    /** An order, told how many copies stand in the end; -1 when they did not fit. */
    public void order(int controller, String function, int copies, IntConsumer done) {
        sightings.saw(
                id, "order", "controller", controller, "function", function, "copies", copies);
        if (fails(function) && failingStatus == InvokerModel.MISS) {
            done.accept(UNKNOWN);
            return;
        }
        model.order(
                function(function),
                copies,
                standing -> {
                    if (!model.hung()) {
                        done.accept(standing);
                    }
                });
    }

    public Underway attempt(
            int controller, String key, int attempt, String function, long work, Reply reply) {
        sightings.saw(
                id,
                "attempt",
                "controller",
                controller,
                "id",
                key,
                "attempt",
                attempt,
                "function",
                function,
                "work",
                work);
        if (ownStatus != 0) {
            finish(
                    key,
                    controller,
                    attempt,
                    new InvokerModel.Result(ownStatus, StartKind.UNKNOWN, 0, model.report()),
                    reply);
            return reply.open() ? lag -> closed(key, controller, attempt, lag) : null;
        }
        if (keys.getOrDefault(key, 0L)
                > env.now()) { // a repeat within its group and window: not run again
            finish(
                    key,
                    controller,
                    attempt,
                    new InvokerModel.Result(
                            fails(function) ? failingStatus : InvokerModel.SERVED,
                            StartKind.WARM,
                            0,
                            model.report()),
                    reply);
            return reply.open() ? lag -> closed(key, controller, attempt, lag) : null;
        }
        if (fails(function)) {
            remember(function, key);
            return failing(controller, key, attempt, work, reply);
        }
        InvokerModel at = model;
        InvokerModel.Visit visit =
                at.call(
                        function(function),
                        work,
                        () ->
                                sightings.saw(
                                        id,
                                        "ran",
                                        "controller",
                                        controller,
                                        "id",
                                        key,
                                        "attempt",
                                        attempt),
                        result -> finish(key, controller, attempt, result, reply));
        if (visit != null) {
            remember(function, key);
        }
        if (at.fallen()) {
            sightings.saw(id, "fell");
            crash();
        }
        if (visit == null) { // answered at once, unless it hangs and the answer never left
            return reply.open() ? lag -> closed(key, controller, attempt, lag) : null;
        }
        return lag -> {
            closed(key, controller, attempt, lag);
            at.cancel(visit);
        };
    }

    private void remember(String function, String key) {
        if (function(function).keyed()) {
            if (keys.size() > KEYS) {
                keys.values().removeIf(until -> until <= env.now());
            }
            keys.put(key, env.now() + keyWindow);
        }
    }

    /**
     * It runs, and fails when its work is done: an effect may stand. An unknown one is told at
     * once.
     */
    private Underway failing(int controller, String key, int attempt, long work, Reply reply) {
        InvokerModel.Result result =
                new InvokerModel.Result(failingStatus, StartKind.UNKNOWN, 0, model.report());
        if (failingStatus == InvokerModel.MISS) {
            finish(key, controller, attempt, result, reply);
        } else {
            sightings.saw(id, "ran", "controller", controller, "id", key, "attempt", attempt);
            env.after(work, () -> finish(key, controller, attempt, result, reply));
        }
        return reply.open() ? lag -> closed(key, controller, attempt, lag) : null;
    }

    private void closed(String key, int controller, int attempt, long lag) {
        sightings.saw(
                id, "closed", "controller", controller, "id", key, "attempt", attempt, "lag", lag);
    }

    private void finish(
            String key, int controller, int attempt, InvokerModel.Result r, Reply reply) {
        boolean served = r.status() == InvokerModel.SERVED;
        if (model.hung() || !reply.open() || (served && random.nextDouble() < loseAnswers)) {
            return;
        }
        sightings.saw(
                id,
                "answered",
                "controller",
                controller,
                "id",
                key,
                "attempt",
                attempt,
                "status",
                r.status());
        reply.answer(told(r), served && random.nextDouble() < garbage);
    }
}
