package waytrestle.outcomes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import waytrestle.ControlApi.Code;
import waytrestle.ControlApi.Invoker;
import waytrestle.ControlApi.InvokerList;
import waytrestle.ControlApi.Loading;
import waytrestle.ControlApi.Reports;
import waytrestle.ControlApi.Start;
import waytrestle.ControlApi.State;

/**
 * What each end of an attempt says of the call, of the function and of the invoker, each apart.
 * Where calls run stays the module's: from here it hears codes, what is worth believing of reports,
 * corrected promises, and a list in which an invoker that alone errs drains for a while. Free of
 * I/O, clock and threads.
 *
 * <p>A call ends with the function's own word: a rejection at once, a failure when two invokers
 * agree, absence when two say so. A function that fails call after call everywhere is answered for
 * here until a probe finds it well.
 */
public final class Outcomes implements Judge {
    /** Settings; shares of the fleet, times in micros. */
    public record Settings(
            double attemptsPerCall,
            int failedTries,
            double ejectShare,
            int breakerCalls,
            long breakerPauseMicros,
            long breakerMostMicros,
            int functions) {}

    /** What happens. */
    public sealed interface Event {}

    /** A new call, with what the configuration tells of its function; 0 is untold. */
    public record Offered(long call, String function, int lanes, long loadMicros, long workMicros)
            implements Event {}

    /** The module wants an attempt to go out. */
    public record Trying(long call, int attempt, String invoker) implements Event {}

    /** An attempt ended. */
    public record Ended(long call, int attempt, Reply reply, Told told) implements Event {}

    /** A call has ended for its clients; served or rejected says that the function had its word. */
    public record Over(long call, boolean answered) implements Event {}

    /** A load order ended; copies below 0 were not told. */
    public record OrderDone(
            String invoker,
            String function,
            Reply reply,
            int copies,
            long tookMicros,
            long toldMicros)
            implements Event {}

    /** The roster's list, whole or changes. */
    public record Listed(InvokerList list) implements Event {}

    /** All kept connections to an invoker were closed by it, though used a moment ago. */
    public record Lost(String invoker) implements Event {}

    /** The time of an earlier Wake has come. */
    public record Due() implements Event {}

    /** What is to be done. */
    public sealed interface Action {}

    /** The call goes before the module, with what is believed of its function. */
    public record Let(long call, int lanes, long loadMicros) implements Action {}

    /**
     * The call is refused: the function fails everywhere, said so last, and is tried again after a
     * while.
     */
    public record FailFast(long call, Reply said, long comeBackMicros) implements Action {}

    public record Go(long call, int attempt) implements Action {}

    /** The attempt must not go out; its end comes as withheld. */
    public record Withhold(long call, int attempt) implements Action {}

    /** What an attempt's end comes to, and what is worth believing of what came with it. */
    public record Judged(long call, int attempt, Verdict verdict, Told told) implements Action {}

    /** An open call of a function that is known nowhere. */
    public record Absent(long call) implements Action {}

    /** The list as the module is to see it. */
    public record Show(InvokerList list) implements Action {}

    /** An invoker that alone errs gets nothing for a while. */
    public record Ejected(String invoker, long micros) implements Action {}

    public record Readmitted(String invoker) implements Action {}

    public record Warned(String invoker, Promise promise, boolean untold) implements Action {}

    /** Come back with Due. */
    public record Wake(long afterMicros) implements Action {}

    /** Takes the actions in order. */
    public interface Actions {
        void add(Action action);
    }

    private static final long SURE =
            50_000; // micros: an attempt out so long is in the invoker's hands
    private static final long AT_ONCE =
            100_000; // micros in which the calls at a process that ends break
    private static final int AGREE =
            2; // independent words before a function is held to be known nowhere

    private static final class Case {
        final Offered from;
        final List<String> failedAs = new ArrayList<>(2); // what came, of attempts that count
        int failures; // all of them, suspects' too
        final Set<String> absent = new HashSet<>(2); // invokers that know nothing of the function
        boolean counts; // some failure may be held against the function
        Reply last;

        Case(Offered from) {
            this.from = from;
        }
    }

    private record Out(String function, String invoker, long sentAt, int level, boolean sole) {}

    private static final class Box {
        final InvokerHealth health = new InvokerHealth();
        final Map<String, Integer> out = new HashMap<>(); // own calls out there, by function
        final Map<Long, Long> sent = new LinkedHashMap<>();
        Invoker entry;
        int cuts; // calls that broke at once
        long cutAt;
    }

    private final Settings settings;
    private final Loading loading;
    private final int controllers;
    private final Promises promises;
    private final TryBudget budget;
    private final FunctionHealth.Breaker breaker;
    private final LinkedHashMap<String, FunctionHealth> functions =
            new LinkedHashMap<>(64, 0.75f, true);
    private final Map<Long, Case> open = new HashMap<>();
    private final Map<Long, Out> outs = new HashMap<>();
    private final Map<String, Box> boxes = new LinkedHashMap<>();
    private long now;
    private Actions actions;

    public Outcomes(Settings settings, Loading loading, Reports reports, int controllers) {
        this.settings = settings;
        this.loading = loading;
        this.controllers = controllers;
        this.budget = new TryBudget(settings.attemptsPerCall());
        this.breaker =
                new FunctionHealth.Breaker(
                        settings.breakerCalls(),
                        settings.breakerPauseMicros(),
                        settings.breakerMostMicros());
        this.promises =
                new Promises(
                        new Promises.Made(
                                loading.tellsStart(),
                                loading.tellsCompany(),
                                loading.orders(),
                                reports == Reports.ANSWERS,
                                loading.missAnswers(),
                                loading.keepAliveMicros()),
                        (invoker, promise, untold) ->
                                actions.add(new Warned(invoker, promise, untold)));
    }

    @Override
    public void on(long nowMicros, Event event, Actions out) {
        now = nowMicros;
        actions = out;
        if (event instanceof Offered e) {
            offered(e);
        } else if (event instanceof Trying e) {
            trying(e);
        } else if (event instanceof Ended e) {
            ended(e);
        } else if (event instanceof Over e) {
            over(e);
        } else if (event instanceof OrderDone e) {
            orderDone(e);
        } else if (event instanceof Listed e) {
            listed(e.list());
        } else if (event instanceof Lost e) {
            lost(e.invoker());
        } else if (event instanceof Due) {
            due();
        }
    }

    // ---- For pages and tests. ----
    @Override
    public Code codeOfOrder(Reply reply) {
        Code code = Sense.of(reply).code;
        return code == Code.REJECTED ? Code.ERROR : code;
    }

    /** Counts of one promise at one invoker: untold, kept, broken. */
    public interface PromiseCounts {
        void count(String invoker, Promise promise, long untold, long kept, long broken);
    }

    public void promises(PromiseCounts to) {
        for (String invoker : boxes.keySet()) {
            promises.of(invoker)
                    .forEach(
                            (promise, c) -> to.count(invoker, promise, c.untold, c.kept, c.broken));
        }
    }

    public long ejected() {
        return boxes.values().stream().filter(b -> b.health.ejected()).count();
    }

    /** Functions that are answered for here at present. */
    public long blamed() {
        return functions.values().stream()
                .filter(f -> f.state() != FunctionHealth.State.CLOSED)
                .count();
    }

    @Override
    public int held() {
        return open.size()
                + outs.size()
                + boxes.values().stream().mapToInt(b -> b.out.size() + b.sent.size()).sum();
    }

    // ---- A call's path. ----
    private FunctionHealth function(String name) {
        FunctionHealth f = functions.computeIfAbsent(name, n -> new FunctionHealth(breaker));
        if (functions.size() > settings.functions()) {
            Iterator<String> oldest = functions.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        return f;
    }

    private void offered(Offered e) {
        FunctionHealth f = function(e.function());
        if (!f.lets(e.call(), now)) {
            actions.add(new FailFast(e.call(), f.said(), f.comeBack(now)));
            return;
        }
        budget.paid(now);
        open.put(e.call(), new Case(e));
        actions.add(new Let(e.call(), f.lanes.believed(e.lanes()), load(f, e)));
    }

    /** A told load time holds until loads have shown another. */
    private static long load(FunctionHealth f, Offered e) {
        double measured = f.usual.load(e.loadMicros());
        boolean wrong =
                e.loadMicros() > 0
                        && f.usual.loads() >= FunctionHealth.SEEN
                        && (measured > 2 * e.loadMicros() || measured < e.loadMicros() / 2.0);
        return wrong ? (long) measured : e.loadMicros();
    }

    private void trying(Trying e) {
        Case c = open.get(e.call());
        if (c == null || !budget.take(e.attempt() == 0)) {
            actions.add(new Withhold(e.call(), e.attempt()));
            return;
        }
        Box box = box(e.invoker());
        int level = box.out.merge(c.from.function(), 1, Integer::sum);
        box.sent.put(key(e.call(), e.attempt()), now);
        outs.put(
                key(e.call(), e.attempt()),
                new Out(
                        c.from.function(),
                        e.invoker(),
                        now,
                        level,
                        controllers == 1 && box.sent.size() == level));
        actions.add(new Go(e.call(), e.attempt()));
    }

    private static long key(long call, int attempt) {
        return call << 7
                | attempt; // at most 100 attempts a call, as limits.max_attempts is checked
    }

    private Box box(String invoker) {
        return boxes.computeIfAbsent(invoker, i -> new Box());
    }

    private void ended(Ended e) {
        Out out = outs.remove(key(e.call(), e.attempt()));
        if (out == null) {
            actions.add(
                    new Judged(
                            e.call(),
                            e.attempt(),
                            new Verdict(Sense.of(e.reply()).code, false, false, false),
                            Told.NOTHING));
            return;
        }
        Sense sense = Sense.of(e.reply());
        boolean loadFailed =
                e.told().start() == Start.LOAD_FAILED; // the store's trouble: nobody's absence
        FunctionHealth f = function(out.function());
        Box box = box(out.invoker());
        int there = 0;
        for (long sentAt : box.sent.values()) {
            there += sentAt < now - SURE ? 1 : 0;
        }
        Case c = open.get(e.call());
        Told told =
                promises.weigh(
                        f,
                        new Promises.Seen(
                                out.invoker(),
                                out.sentAt(),
                                now - out.sentAt(),
                                there,
                                c == null ? 0 : c.from.loadMicros(),
                                c == null ? 0 : c.from.workMicros()),
                        sense,
                        e.told(),
                        now);
        box.sent.remove(key(e.call(), e.attempt()));
        box.out.computeIfPresent(out.function(), (name, n) -> n > 1 ? n - 1 : null);
        if (sense == Sense.SERVED) {
            f.usual.answered(now - out.sentAt());
            if (told.start() == Start.WARM || told.start() == Start.UNKNOWN) {
                f.lanes.answered(out.level(), now - out.sentAt(), out.sole());
            }
        }
        if (sense == Sense.LOST) {
            box.cuts = now - box.cutAt < AT_ONCE ? box.cuts + 1 : 1;
            box.cutAt = now;
        }
        boolean suspect = box.health.suspect(now) || box.health.ejected();
        if (!loadFailed) {
            evidence(f, out.invoker(), box, sense, suspect);
        }
        Verdict verdict =
                c == null || (loadFailed && sense == Sense.ABSENT)
                        ? new Verdict(sense.code, false, false, false)
                        : judge(c, f, out.invoker(), sense, e.reply(), suspect);
        actions.add(new Judged(e.call(), e.attempt(), verdict, told));
        if (!box.health.ejected() && box.health.suspect(now)) {
            eject(out.invoker(), box);
        }
    }

    /** Who is it held against? */
    private void evidence(FunctionHealth f, String invoker, Box box, Sense sense, boolean suspect) {
        boolean lacks = sense == Sense.ABSENT && !loading.missAnswers() && f.vouched(now);
        boolean failure = sense.failed() || lacks;
        if (!failure && sense != Sense.SERVED && sense != Sense.REJECTED) {
            return;
        }
        double elsewhere = f.elsewhere(invoker, false, now);
        if (sense == Sense.REJECTED) {
            box.health.rejects(f.elsewhere(invoker, true, now), now);
        }
        box.health.ended(failure, elsewhere, now);
        if (!failure) {
            f.explains(invoker)
                    .forEach(
                            (other, failures) -> {
                                Box theirs = boxes.get(other);
                                if (theirs != null) {
                                    theirs.health.unexplained(
                                            failures, f.elsewhere(other, false, now), now);
                                    if (!theirs.health.ejected() && theirs.health.suspect(now)) {
                                        eject(other, theirs);
                                    }
                                }
                            });
        }
        f.ended(invoker, sense, now);
        if (failure && !suspect) {
            f.agrees(invoker);
        }
    }

    private Verdict judge(
            Case c, FunctionHealth f, String invoker, Sense sense, Reply reply, boolean suspect) {
        if (sense == Sense.SERVED) {
            return new Verdict(Code.OK, true, false, false);
        }
        c.last = reply;
        if (sense == Sense.REJECTED && !suspect) {
            return new Verdict(Code.REJECTED, true, true, false);
        }
        if (sense == Sense.ABSENT) {
            // A miss is no word on the function, unless no load can mend it or a load has stood
            // there before it.
            boolean loads = loading.missAnswers() && loading.orders();
            if (!loads || f.servedAt(invoker) != 0) {
                c.absent.add(invoker);
            }
            int needed = loading.missAnswers() && !loads ? ready() : Math.min(AGREE, ready());
            boolean knownNowhere = !f.vouched(now) && c.absent.size() >= Math.max(1, needed);
            if (knownNowhere) {
                f.agrees(invoker);
                c.counts = true;
            }
            return new Verdict(Code.MISS, knownNowhere, false, knownNowhere);
        }
        boolean own = sense == Sense.ERRED || sense == Sense.REJECTED;
        if (!own && !sense.failed()) {
            return new Verdict(sense.code, false, false, false);
        }
        c.failures++;
        if (!suspect) {
            c.counts = true;
            c.failedAs.add(reply.text());
        }
        int agree = 0;
        for (String each : c.failedAs) {
            agree += each.equals(reply.text()) ? 1 : 0;
        }
        boolean ends = agree >= settings.failedTries() || c.failures > settings.failedTries();
        return new Verdict(sense == Sense.REJECTED ? Code.ERROR : sense.code, ends, own, false);
    }

    private void over(Over e) {
        Case c = open.remove(e.call());
        if (c == null) {
            return;
        }
        FunctionHealth f = function(c.from.function());
        if (!e.answered() && c.counts) {
            f.callFailed(e.call(), c.last, ready(), now);
        }
        f.over(e.call());
    }

    /** A load refused as unknown is a word on the function, as an absence is. */
    private void orderDone(OrderDone e) {
        FunctionHealth f = function(e.function());
        Reply.How how = e.reply().how();
        if (how == Reply.How.ANSWER && e.copies() != 0) {
            f.usual.loaded(e.tookMicros());
            f.stands(e.invoker(), now);
            promises.loaded(e.invoker(), e.tookMicros(), e.toldMicros(), e.copies());
        }
        boolean unknown =
                how == Reply.How.STATUS && (e.reply().status() == 404 || e.reply().status() == 400);
        if (!unknown || f.vouched(now)) {
            return;
        }
        f.agrees(e.invoker());
        List<Long> absent = new ArrayList<>();
        open.forEach(
                (id, c) -> {
                    if (c.from.function().equals(e.function())
                            && c.last != null
                            && Sense.of(c.last) == Sense.ABSENT) {
                        c.counts = true;
                        absent.add(id);
                    }
                });
        absent.forEach(id -> actions.add(new Absent(id)));
    }

    // ---- The list. ----
    private int ready() {
        int ready = 0;
        for (Box box : boxes.values()) {
            ready += box.entry != null && box.entry.state() == State.READY ? 1 : 0;
        }
        return ready;
    }

    private void listed(InvokerList list) {
        if (list.whole()) {
            boxes.values().forEach(b -> b.entry = null);
        }
        List<Invoker> shown = new ArrayList<>(list.entries().size());
        for (Invoker entry : list.entries()) {
            Box box = box(entry.id());
            boolean fresh = box.entry != null && entry.upSinceMicros() > box.entry.upSinceMicros();
            if (fresh && box.health.ejected()) { // another process: it has done nothing wrong yet
                box.health.readmit(now);
                actions.add(new Readmitted(entry.id()));
            }
            box.entry = entry.state() == State.GONE ? null : entry;
            shown.add(shown(box, entry));
        }
        boxes.entrySet()
                .removeIf(
                        b -> {
                            boolean gone =
                                    b.getValue().entry == null && b.getValue().sent.isEmpty();
                            if (gone) {
                                promises.gone(b.getKey());
                            }
                            return gone;
                        });
        actions.add(new Show(new InvokerList(list.whole(), list.cached(), shown)));
    }

    private static Invoker shown(Box box, Invoker e) {
        return !box.health.ejected() || e.state() != State.READY
                ? e
                : new Invoker(
                        e.id(),
                        e.zone(),
                        e.cell(),
                        e.kind(),
                        State.DRAINING,
                        e.weight(),
                        e.upSinceMicros());
    }

    /**
     * Guards a process that was started again before the roster said so: its connections told of
     * the end of the one before, and from now on it counts as fresh. It can hurt where a server
     * closes connections that are in use.
     */
    private void lost(String invoker) {
        Box box = boxes.get(invoker);
        if (box == null || box.entry == null || box.entry.state() != State.READY) {
            return;
        }
        int cuts = now - box.cutAt < AT_ONCE ? box.cuts : 0;
        if (box.sent.size() + cuts >= 2) {
            return; // the module hears of two broken calls: it pauses the invoker and spares it
            // after that
        }
        Invoker e = box.entry;
        box.entry = new Invoker(e.id(), e.zone(), e.cell(), e.kind(), e.state(), e.weight(), now);
        actions.add(new Show(new InvokerList(false, false, List.of(shown(box, box.entry)))));
    }

    /** A bounded share of the fleet, and never the last one. */
    private void eject(String invoker, Box box) {
        int ready = ready();
        long away = ejected();
        boolean may =
                away < Math.max(1, (int) (settings.ejectShare() * ready)) && ready - away >= 2;
        if (!may || box.entry == null || box.entry.state() != State.READY) {
            return;
        }
        long span = box.health.eject(now);
        actions.add(new Ejected(invoker, span));
        actions.add(new Show(new InvokerList(false, false, List.of(shown(box, box.entry)))));
        actions.add(new Wake(span));
    }

    private void due() {
        boxes.forEach(
                (id, box) -> {
                    if (box.health.ejected() && now >= box.health.until()) {
                        box.health.readmit(now);
                        actions.add(new Readmitted(id));
                        if (box.entry != null) {
                            actions.add(
                                    new Show(new InvokerList(false, false, List.of(box.entry))));
                        }
                    }
                });
    }
}
