package waytrestle.play;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import waytrestle.http.ExchangeFailure;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.SchedulerSettings.RequestClass;
import waytrestle.standin.Env;
import waytrestle.standin.Sightings;

/**
 * Clients in open loop: calls at their times whether or not answers come, repeats by their class's
 * rule, and some that leave early. They choose controllers in turn and another one when one cannot
 * be reached.
 */
public final class Clients {
    /** What a call of a function carries. */
    public record Target(String function, int requestClass, double workMs) {}

    /** One call; its id is the same in every try. */
    public record Call(String id, Target target, boolean kserve, double workMs) {
        /** JSON that names the function and its work. */
        String payload() {
            return "{\"function\":\""
                    + target.function()
                    + "\",\"work_ms\":"
                    + String.format(Locale.ROOT, "%.2f", workMs)
                    + "}";
        }
    }

    /** How a try ended. */
    public interface Handler {
        void answered(int status, boolean harmless, long retryAfterMillis);

        void broken(ExchangeFailure how);
    }

    /** How clients reach controllers: sockets, or the emulator. */
    public interface Way {
        int controllers();

        /** Within the time given it is answered or broken; TIMEOUT means that the client left. */
        void call(int controller, Call call, long withinMicros, Handler handler);

        /** How often a controller sent what nobody asked for. */
        long strays(int controller);
    }

    private static final long LATE =
            1_000_000; // micros past the deadline for which a late answer is still looked for

    private final Env env;
    private final Sightings sightings;
    private final List<RequestClass> classes;
    private final Scenario.Load load;
    private final List<Target> targets;
    private final double[] cumulative;
    private final Way way;
    private final SplittableRandom random;
    private final String run;
    private double rate, hotShare, scanShare, leaveShare;
    private Target hot, scanLike;
    private long sequence, turn;
    private boolean stopped;
    private int open;
    private long served, refused, failed, other;

    public Clients(
            Env env,
            Sightings sightings,
            List<RequestClass> classes,
            Scenario.Load load,
            List<Target> targets,
            double[] weights,
            Way way,
            long seed) {
        this.env = env;
        this.sightings = sightings;
        this.classes = classes;
        this.load = load;
        this.targets = targets;
        this.way = way;
        this.cumulative = weights.clone();
        for (int i = 1; i < cumulative.length; i++) {
            cumulative[i] += cumulative[i - 1];
        }
        this.random = new SplittableRandom(seed);
        this.run = "play" + Long.toHexString(seed) + "-";
        this.rate = load.ratePerSecond();
        this.leaveShare = load.leaveShare();
    }

    public void start() {
        next();
    }

    void burst(double factor) {
        rate = load.ratePerSecond() * factor;
    }

    void leaving(double share) {
        leaveShare = share > 0 ? share : load.leaveShare();
    }

    /** A share of calls goes to one function not seen before. */
    void hot(Target target, double share) {
        hot = target;
        hotShare = share;
    }

    /** A share of calls goes to functions that are wanted once. */
    void scan(Target like, double share) {
        scanLike = like;
        scanShare = share;
    }

    public void stop() {
        stopped = true;
    }

    public int open() {
        return open;
    }

    public String line() {
        return "served "
                + served
                + ", refused "
                + refused
                + ", failed "
                + failed
                + ", other "
                + other
                + ", open "
                + open;
    }

    public void finish() {
        for (int i = 0; i < way.controllers(); i++) {
            if (way.strays(i) > 0) {
                sightings.saw("client", "strays", "controller", i, "count", way.strays(i));
            }
        }
    }

    /** A call's id as an invoker is told it. */
    public static String seenId(Call call, List<RequestClass> classes) {
        return call.kserve()
                ? "kserve -1 " + call.target().function() + " " + call.id()
                : "/hooks/" + classes.get(call.target().requestClass()).name() + " " + call.id();
    }

    private void next() {
        if (stopped) {
            return;
        }
        new Tries(pick()).send();
        env.after((long) (-Math.log(1 - random.nextDouble()) / rate * 1e6), this::next);
    }

    private Target pick() {
        double draw = random.nextDouble();
        if (hot != null && draw < hotShare) {
            return hot;
        }
        if (scanLike != null && random.nextDouble() < scanShare) {
            return new Target("scan-" + sequence, scanLike.requestClass(), scanLike.workMs());
        }
        double at = random.nextDouble() * cumulative[cumulative.length - 1];
        int i = Arrays.binarySearch(cumulative, at);
        return targets.get(Math.min(targets.size() - 1, i < 0 ? -i - 1 : i));
    }

    /** A call with all its tries. */
    private final class Tries {
        final Call call;
        final RequestClass kind;
        final long leaveAfter;
        int tries, controller, unreached;

        Tries(Target target) {
            kind = classes.get(target.requestClass());
            double work = target.workMs() * (0.5 + random.nextDouble());
            call =
                    new Call(
                            run + ++sequence,
                            target,
                            random.nextDouble() < load.kserveShare(),
                            work);
            boolean leaves = random.nextDouble() < leaveShare;
            leaveAfter =
                    leaves ? (long) (kind.deadlineMicros() * (0.1 + 0.8 * random.nextDouble())) : 0;
            controller = (int) (turn++ % way.controllers());
        }

        void send() {
            int now = ++tries;
            open++;
            sightings.saw(
                    "client",
                    "sent",
                    "id",
                    seenId(call, classes),
                    "try",
                    now,
                    "controller",
                    controller,
                    "class",
                    call.target().requestClass(),
                    "deadline",
                    kind.deadlineMicros());
            way.call(
                    controller,
                    call,
                    leaveAfter > 0 ? leaveAfter : kind.deadlineMicros() + LATE,
                    new Handler() {
                        @Override
                        public void answered(int status, boolean harmless, long retryAfterMillis) {
                            open--;
                            done(now, status, harmless, retryAfterMillis);
                        }

                        @Override
                        public void broken(ExchangeFailure how) {
                            open--;
                            broke(now, how);
                        }
                    });
        }

        void saw(String what, int tryNumber, int status, boolean harmless) {
            sightings.saw(
                    "client",
                    what,
                    "id",
                    seenId(call, classes),
                    "try",
                    tryNumber,
                    "controller",
                    controller,
                    "status",
                    status,
                    "harmless",
                    harmless ? 1 : 0);
        }

        void done(int tryNumber, int status, boolean harmless, long retryAfterMillis) {
            saw("answer", tryNumber, status, harmless);
            if (status == 200) {
                served++;
            } else if (harmless) {
                refused++;
            } else {
                failed++;
            }
            boolean may =
                    status != 200 && (harmless || kind.idempotency() == Idempotency.IDEMPOTENT);
            if (may && tries < 2 && !stopped && random.nextDouble() < load.retryShare()) {
                env.after(Math.max(load.retryAfterMicros(), retryAfterMillis * 1_000), this::again);
            }
        }

        void broke(int tryNumber, ExchangeFailure how) {
            boolean unreachable =
                    how == ExchangeFailure.NO_CONNECTION
                            || how == ExchangeFailure.BEFORE_FIRST_BYTE
                            || how == ExchangeFailure.NO_ROOM;
            boolean left = how == ExchangeFailure.TIMEOUT && leaveAfter > 0;
            saw(
                    unreachable
                            ? "unreached"
                            : left ? "left" : how == ExchangeFailure.TIMEOUT ? "unanswered" : "cut",
                    tryNumber,
                    0,
                    false);
            other++;
            boolean again =
                    unreachable
                            ? ++unreached < way.controllers()
                            : !left && kind.idempotency() == Idempotency.IDEMPOTENT && tries < 2;
            if (again && !stopped) {
                controller = (controller + 1) % way.controllers();
                env.after(unreachable ? 1_000 : load.retryAfterMicros(), this::again);
            }
        }

        void again() {
            if (!stopped) {
                send();
            }
        }
    }
}
