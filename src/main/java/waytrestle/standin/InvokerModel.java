package waytrestle.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import waytrestle.scheduler.StartKind;

/**
 * An invoker's behaviour, free of sockets: cores shared by running calls, copies with lanes, a
 * bounded line, memory from which idle copies give way, loads by a store, a cold start, and the
 * troubles that a scenario inflicts.
 */
public final class InvokerModel {
    /** What an invoker is; shares and times are those of the gateway's configuration. */
    public record Shape(
            int cores,
            int room,
            double memoryMb,
            int loadsAtOnce,
            double fetchShare,
            long keepAliveMicros,
            boolean missAnswers,
            boolean cancelStops,
            double coldShare,
            long warmAfterMicros,
            double fallMultiple,
            long overloadMicros,
            long reportEveryMicros) {}

    /** What a function is. */
    public record Function(
            String name, double memoryMb, int lanes, long loadMicros, boolean keyed) {}

    /** The status by which a call ended here, with the load report of that moment. */
    public record Result(int status, StartKind start, int company, Map<String, Double> report) {}

    public static final int SERVED = 200, MISS = 404, FULL = 503;

    private static final class Copy {
        final Function function;
        boolean loading = true;
        int busy;
        long usedAt;

        Copy(Function function) {
            this.function = function;
        }
    }

    /** A call at the invoker; cancel it by {@link #cancel}. */
    public static final class Visit {
        final Function function;
        final long work;
        final Runnable ran;
        final Consumer<Result> done;
        StartKind start;
        int company;
        Copy copy;
        boolean over;

        Visit(Function function, long work, Runnable ran, Consumer<Result> done) {
            this.function = function;
            this.work = work;
            this.ran = ran;
            this.done = done;
        }
    }

    private final Env env;
    private final StoreModel store;
    private final Shape shape;
    private final long startedAt;
    private final Map<String, List<Copy>> copies = new LinkedHashMap<>();
    private final ArrayDeque<Visit> line = new ArrayDeque<>();
    private final ArrayDeque<Runnable> loads = new ArrayDeque<>();
    private final ArrayDeque<long[]> arrivals = new ArrayDeque<>();
    private final Map<String, Integer> held = new HashMap<>();
    private int running, loading;
    private double used, slow = 1, ageingPerSecond;
    private long ageingFrom, reportEvery, reportedAt = Long.MIN_VALUE / 2;
    private Map<String, Double> report = Map.of();
    private boolean draining, hung, down, fallen;
    private double throttled;

    public InvokerModel(Env env, StoreModel store, Shape shape, boolean cold) {
        this.env = env;
        this.store = store;
        this.shape = shape;
        this.reportEvery = shape.reportEveryMicros();
        this.startedAt = cold ? env.now() : env.now() - shape.warmAfterMicros();
    }

    public void slow(double factor) {
        slow = factor;
    }

    public void age(double perSecond) {
        ageingPerSecond = perSecond;
        ageingFrom = env.now();
    }

    /** Reports go stale: they are refreshed only so often. */
    public void reportEvery(long micros) {
        reportEvery = micros;
    }

    public void drain() {
        draining = true;
    }

    public void hang(boolean on) {
        hung = on;
    }

    /** Turns away this share of functions, by name, as full. */
    public void throttle(double share) {
        throttled = share;
    }

    public void stop() {
        down = true;
        line.clear();
    }

    /** Pushed over while cold; it stays down. */
    public boolean fallen() {
        return fallen;
    }

    public boolean hung() {
        return hung;
    }

    /** Memory held by copies, MB. */
    public double usedMb() {
        return used;
    }

    private double share() {
        double age =
                Math.min(
                        1, (env.now() - startedAt) / (double) Math.max(1, shape.warmAfterMicros()));
        return shape.coldShare() + (1 - shape.coldShare()) * age;
    }

    /** A call; ran is told when its work begins. Null: it was answered already. */
    public Visit call(Function f, long work, Runnable ran, Consumer<Result> done) {
        weigh(work);
        Visit visit = new Visit(f, work, ran, done);
        visit.company = held.getOrDefault(f.name(), 0);
        boolean turned = throttled > 0 && (f.name().hashCode() & 1023) < throttled * 1024;
        if (draining || turned || running + line.size() >= shape.room()) {
            answer(visit, FULL, StartKind.UNKNOWN);
            return null;
        }
        expire();
        List<Copy> own = copies.getOrDefault(f.name(), List.of());
        if (own.isEmpty() && shape.missAnswers()) {
            answer(visit, MISS, StartKind.UNKNOWN);
            return null;
        }
        visit.start =
                own.isEmpty()
                        ? StartKind.COLD
                        : own.stream().allMatch(c -> c.loading) ? StartKind.JOINED : StartKind.WARM;
        if (own.isEmpty() && !load(f, x -> {})) {
            answer(visit, FULL, StartKind.UNKNOWN);
            return null;
        }
        held.merge(f.name(), 1, Integer::sum);
        line.add(visit);
        serve();
        return visit;
    }

    /**
     * The rule of a cold invoker, as its own body keeps it: work sent within the window against its
     * capacity.
     */
    private void weigh(long work) {
        long now = env.now();
        arrivals.add(new long[] {now, work});
        while (arrivals.peek()[0] < now - shape.overloadMicros()) {
            arrivals.poll();
        }
        if (share() >= 1) {
            return;
        }
        long sent = arrivals.stream().mapToLong(a -> a[1]).sum();
        if (sent > shape.fallMultiple() * share() * shape.cores() * shape.overloadMicros()) {
            fallen = true;
            stop();
        }
    }

    private void serve() {
        for (Iterator<Visit> i = line.iterator(); i.hasNext(); ) {
            Visit visit = i.next();
            for (Copy copy : copies.getOrDefault(visit.function.name(), List.of())) {
                if (!copy.loading && copy.busy < copy.function.lanes()) {
                    i.remove();
                    run(visit, copy);
                    break;
                }
            }
        }
    }

    private void run(Visit visit, Copy copy) {
        visit.copy = copy;
        copy.busy++;
        running++;
        visit.ran.run();
        double crowd = Math.max(1, running / (shape.cores() * share()));
        double aged =
                1 + ageingPerSecond * (ageingPerSecond > 0 ? (env.now() - ageingFrom) / 1e6 : 0);
        env.after(
                (long) (visit.work * crowd * slow * aged),
                () -> {
                    if (!visit.over) {
                        finish(visit);
                        if (!down) {
                            answer(visit, SERVED, visit.start);
                        }
                    }
                });
    }

    private void finish(Visit visit) {
        visit.over = true;
        held.merge(visit.function.name(), -1, Integer::sum);
        running--;
        visit.copy.busy--;
        visit.copy.usedAt = env.now();
        serve();
    }

    private void answer(Visit visit, int status, StartKind start) {
        visit.done.accept(new Result(status, start, visit.company, report()));
    }

    /** The caller left: a waiting call is dropped, a running one stops where the shape says so. */
    public void cancel(Visit visit) {
        if (visit.over) {
            return;
        }
        if (line.remove(visit)) {
            visit.over = true;
            held.merge(visit.function.name(), -1, Integer::sum);
        } else if (visit.copy != null && shape.cancelStops()) {
            finish(visit);
        }
    }

    /**
     * Holds at least so many copies; told how many stand once that is clear, or -1 when they did
     * not fit.
     */
    public void order(Function f, int count, Consumer<Integer> done) {
        expire();
        List<Copy> own = copies.getOrDefault(f.name(), List.of());
        own.forEach(c -> c.usedAt = env.now());
        int more = count - own.size();
        if (draining || down) {
            done.accept(-1);
            return;
        }
        if (more <= 0 && own.stream().noneMatch(c -> c.loading)) {
            done.accept(own.size());
            return;
        }
        int[] waiting = {Math.max(1, more)};
        Consumer<Boolean> one =
                ok -> {
                    if (--waiting[0] == 0) {
                        done.accept(ok ? standing(f.name()) : -1);
                    }
                };
        for (int i = 0; i < Math.max(1, more); i++) {
            boolean begun = more > 0 ? load(f, one) : whenLoaded(f, one);
            if (!begun) {
                done.accept(-1);
                return;
            }
        }
    }

    private boolean whenLoaded(Function f, Consumer<Boolean> done) {
        env.after(
                20_000,
                () -> {
                    List<Copy> own = copies.getOrDefault(f.name(), List.of());
                    if (own.isEmpty() || own.stream().anyMatch(c -> !c.loading)) {
                        done.accept(!own.isEmpty());
                    } else {
                        whenLoaded(f, done);
                    }
                });
        return true;
    }

    public int standing(String function) {
        return (int)
                copies.getOrDefault(function, List.of()).stream().filter(c -> !c.loading).count();
    }

    /** Loaded functions and how many copies of each stand. */
    public Map<String, Integer> index() {
        Map<String, Integer> all = new LinkedHashMap<>();
        copies.keySet().forEach(name -> all.put(name, standing(name)));
        return all;
    }

    public void unload(String function) {
        List<Copy> own = copies.getOrDefault(function, new ArrayList<>());
        own.removeIf(c -> !c.loading && c.busy == 0 && free(c));
        copies.values().removeIf(List::isEmpty);
    }

    private boolean free(Copy copy) {
        used -= copy.function.memoryMb();
        return true;
    }

    private void expire() {
        long now = env.now();
        copies.values()
                .forEach(
                        own ->
                                own.removeIf(
                                        c ->
                                                !c.loading
                                                        && c.busy == 0
                                                        && now - c.usedAt > shape.keepAliveMicros()
                                                        && free(c)));
        copies.values().removeIf(List::isEmpty);
    }

    private boolean load(Function f, Consumer<Boolean> done) {
        while (used + f.memoryMb() > shape.memoryMb()) {
            Copy oldest = null;
            for (List<Copy> own : copies.values()) {
                for (Copy c : own) {
                    if (!c.loading && c.busy == 0 && (oldest == null || c.usedAt < oldest.usedAt)) {
                        oldest = c;
                    }
                }
            }
            if (oldest == null) {
                return false;
            }
            copies.get(oldest.function.name()).remove(oldest);
            free(oldest);
            copies.values().removeIf(List::isEmpty);
        }
        used += f.memoryMb();
        Copy copy = new Copy(f);
        copies.computeIfAbsent(f.name(), n -> new ArrayList<>()).add(copy);
        loads.add(
                () ->
                        store.fetch(
                                (long) (f.loadMicros() * shape.fetchShare()),
                                fetched -> {
                                    if (!fetched) {
                                        loaded(copy, false, done);
                                        return;
                                    }
                                    env.after(
                                            (long) (f.loadMicros() * (1 - shape.fetchShare())),
                                            () -> loaded(copy, true, done));
                                }));
        nextLoad();
        return true;
    }

    private void nextLoad() {
        if (loading < shape.loadsAtOnce() && !loads.isEmpty()) {
            loading++;
            loads.poll().run();
        }
    }

    private void loaded(Copy copy, boolean ok, Consumer<Boolean> done) {
        loading--;
        if (ok) {
            copy.loading = false;
            copy.usedAt = env.now();
        } else {
            free(copy);
            List<Copy> own = copies.getOrDefault(copy.function.name(), new ArrayList<>());
            own.remove(copy);
            copies.values().removeIf(List::isEmpty);
            if (own.isEmpty()) {
                failWaiting(copy.function.name());
            }
        }
        done.accept(ok);
        serve();
        nextLoad();
    }

    private void failWaiting(String function) {
        for (Visit visit : List.copyOf(line)) {
            if (visit.function.name().equals(function)) {
                line.remove(visit);
                visit.over = true;
                held.merge(function, -1, Integer::sum);
                answer(visit, MISS, StartKind.LOAD_FAILED);
            }
        }
    }

    /** The load report, refreshed only so often. */
    public Map<String, Double> report() {
        if (env.now() - reportedAt >= reportEvery) {
            reportedAt = env.now();
            int waiting = line.size();
            report =
                    Map.of(
                            "inflight",
                            (double) running + waiting,
                            "queue",
                            (double) waiting,
                            "x1",
                            (double) loading + loads.size(),
                            "util",
                            Math.min(1, running / (double) shape.cores()));
        }
        return report;
    }
}
