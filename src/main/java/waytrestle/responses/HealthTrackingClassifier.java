package waytrestle.responses;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import waytrestle.responses.ClassifierCommand.AdmitRequest;
import waytrestle.responses.ClassifierCommand.CompleteAttempt;
import waytrestle.responses.ClassifierCommand.FailFunctionNotFound;
import waytrestle.responses.ClassifierCommand.ForwardAttempt;
import waytrestle.responses.ClassifierCommand.RejectFast;
import waytrestle.responses.ClassifierCommand.ReportEjection;
import waytrestle.responses.ClassifierCommand.ReportReadmission;
import waytrestle.responses.ClassifierCommand.SetTimer;
import waytrestle.responses.ClassifierCommand.Sink;
import waytrestle.responses.ClassifierCommand.UpdateEndpoints;
import waytrestle.responses.ClassifierCommand.WarnOfCapability;
import waytrestle.responses.ClassifierCommand.WithholdAttempt;
import waytrestle.responses.ClassifierEvent.AttemptCompleted;
import waytrestle.responses.ClassifierEvent.AttemptRequested;
import waytrestle.responses.ClassifierEvent.ConnectionsLost;
import waytrestle.responses.ClassifierEvent.EndpointListReceived;
import waytrestle.responses.ClassifierEvent.PreloadCompleted;
import waytrestle.responses.ClassifierEvent.RequestCompleted;
import waytrestle.responses.ClassifierEvent.RequestStarted;
import waytrestle.responses.ClassifierEvent.TimerExpired;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.InvokerEndpoint;
import waytrestle.scheduler.LoadReportSource;
import waytrestle.scheduler.ResponseCode;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;
import waytrestle.scheduler.SchedulerSettings.Preloading;
import waytrestle.scheduler.StartKind;

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
public final class HealthTrackingClassifier implements ResponseClassifier {
    /** Settings; shares of the fleet, times in micros. */
    public record Settings(
            double attemptsPerRequest,
            int failedAttempts,
            double maxEjectedShare,
            int breakerFailures,
            long breakerPauseMicros,
            long breakerMaxPauseMicros,
            int maxFunctions) {}

    private static final long SURE =
            50_000; // micros: an attempt out so long is in the invoker's hands
    private static final long AT_ONCE =
            100_000; // micros in which the calls at a process that ends break
    private static final int AGREE =
            2; // independent words before a function is held to be known nowhere

    private static final class Case {
        final RequestStarted from;
        final List<String> failedAs = new ArrayList<>(2); // what came, of attempts that count
        int failures; // all of them, suspects' too
        final Set<String> absent = new HashSet<>(2); // invokers that know nothing of the function
        boolean counts; // some failure may be held against the function
        ExchangeResult last;

        Case(RequestStarted from) {
            this.from = from;
        }
    }

    private record Out(String function, String invoker, long sentAt, int level, boolean sole) {}

    private static final class Box {
        final OutlierDetector health = new OutlierDetector();
        final Map<String, Integer> out = new HashMap<>(); // own calls out there, by function
        final Map<Long, Long> sent = new LinkedHashMap<>();
        InvokerEndpoint entry;
        int cuts; // calls that broke at once
        long cutAt;
    }

    private final Settings settings;
    private final Preloading loading;
    private final int controllers;
    private final CapabilityVerifier capabilities;
    private final AttemptBudget budget;
    private final FunctionCircuit.Breaker breaker;
    private final LinkedHashMap<String, FunctionCircuit> functions =
            new LinkedHashMap<>(64, 0.75f, true);
    private final Map<Long, Case> open = new HashMap<>();
    private final Map<Long, Out> outs = new HashMap<>();
    private final Map<String, Box> boxes = new LinkedHashMap<>();
    private long now;
    private Sink actions;

    public HealthTrackingClassifier(
            Settings settings, Preloading loading, LoadReportSource reports, int controllers) {
        this.settings = settings;
        this.loading = loading;
        this.controllers = controllers;
        this.budget = new AttemptBudget(settings.attemptsPerRequest());
        this.breaker =
                new FunctionCircuit.Breaker(
                        settings.breakerFailures(),
                        settings.breakerPauseMicros(),
                        settings.breakerMaxPauseMicros());
        this.capabilities =
                new CapabilityVerifier(
                        new CapabilityVerifier.Made(
                                loading.reportsStartKind(),
                                loading.reportsConcurrency(),
                                loading.acceptsPreloads(),
                                reports == LoadReportSource.RESPONSES,
                                loading.reportsNotLoaded(),
                                loading.keepAliveMicros()),
                        (invoker, promise, untold) ->
                                actions.add(new WarnOfCapability(invoker, promise, untold)));
    }

    @Override
    public void handle(long nowMicros, ClassifierEvent event, Sink out) {
        now = nowMicros;
        actions = out;
        if (event instanceof RequestStarted e) {
            offered(e);
        } else if (event instanceof AttemptRequested e) {
            trying(e);
        } else if (event instanceof AttemptCompleted e) {
            ended(e);
        } else if (event instanceof RequestCompleted e) {
            over(e);
        } else if (event instanceof PreloadCompleted e) {
            orderDone(e);
        } else if (event instanceof EndpointListReceived e) {
            listed(e.update());
        } else if (event instanceof ConnectionsLost e) {
            lost(e.invoker());
        } else if (event instanceof TimerExpired) {
            due();
        }
    }

    // ---- For pages and tests. ----
    @Override
    public ResponseCode codeOfPreload(ExchangeResult reply) {
        ResponseCode code = ResponseKind.of(reply).code;
        return code == ResponseCode.REJECTED ? ResponseCode.ERROR : code;
    }

    /** Counts of one promise at one invoker: untold, kept, broken. */
    public interface CapabilityCounts {
        void count(String invoker, DeclaredCapability promise, long untold, long kept, long broken);
    }

    public void capabilities(CapabilityCounts to) {
        for (String invoker : boxes.keySet()) {
            capabilities
                    .of(invoker)
                    .forEach(
                            (promise, c) -> to.count(invoker, promise, c.untold, c.kept, c.broken));
        }
    }

    public long ejectedInvokers() {
        return boxes.values().stream().filter(b -> b.health.ejected()).count();
    }

    /** Functions that are answered for here at present. */
    public long openCircuits() {
        return functions.values().stream()
                .filter(f -> f.state() != FunctionCircuit.State.CLOSED)
                .count();
    }

    @Override
    public int retainedEntries() {
        return open.size()
                + outs.size()
                + boxes.values().stream().mapToInt(b -> b.out.size() + b.sent.size()).sum();
    }

    // ---- A call's path. ----
    private FunctionCircuit function(String name) {
        FunctionCircuit f = functions.computeIfAbsent(name, n -> new FunctionCircuit(breaker));
        if (functions.size() > settings.maxFunctions()) {
            Iterator<String> oldest = functions.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        return f;
    }

    private void offered(RequestStarted e) {
        FunctionCircuit f = function(e.function());
        if (!f.lets(e.requestId(), now)) {
            actions.add(new RejectFast(e.requestId(), f.said(), f.comeBack(now)));
            return;
        }
        budget.paid(now);
        open.put(e.requestId(), new Case(e));
        actions.add(
                new AdmitRequest(
                        e.requestId(), f.lanes.believed(e.concurrencyPerInstance()), load(f, e)));
    }

    /** A told load time holds until loads have shown another. */
    private static long load(FunctionCircuit f, RequestStarted e) {
        double measured = f.usual.load(e.loadMicros());
        boolean wrong =
                e.loadMicros() > 0
                        && f.usual.loads() >= FunctionCircuit.SEEN
                        && (measured > 2 * e.loadMicros() || measured < e.loadMicros() / 2.0);
        return wrong ? (long) measured : e.loadMicros();
    }

    private void trying(AttemptRequested e) {
        Case c = open.get(e.requestId());
        if (c == null || !budget.take(e.attempt() == 0)) {
            actions.add(new WithholdAttempt(e.requestId(), e.attempt()));
            return;
        }
        Box box = box(e.invoker());
        int level = box.out.merge(c.from.function(), 1, Integer::sum);
        box.sent.put(key(e.requestId(), e.attempt()), now);
        outs.put(
                key(e.requestId(), e.attempt()),
                new Out(
                        c.from.function(),
                        e.invoker(),
                        now,
                        level,
                        controllers == 1 && box.sent.size() == level));
        actions.add(new ForwardAttempt(e.requestId(), e.attempt()));
    }

    private static long key(long call, int attempt) {
        return call << 7
                | attempt; // at most 100 attempts a call, as limits.max_attempts is checked
    }

    private Box box(String invoker) {
        return boxes.computeIfAbsent(invoker, i -> new Box());
    }

    private void ended(AttemptCompleted e) {
        Out out = outs.remove(key(e.requestId(), e.attempt()));
        if (out == null) {
            actions.add(
                    new CompleteAttempt(
                            e.requestId(),
                            e.attempt(),
                            new Classification(
                                    ResponseKind.of(e.result()).code, false, false, false),
                            InvokerLoadReport.EMPTY));
            return;
        }
        ResponseKind sense = ResponseKind.of(e.result());
        boolean loadFailed =
                e.loadReport().start()
                        == StartKind.LOAD_FAILED; // the store's trouble: nobody's absence
        FunctionCircuit f = function(out.function());
        Box box = box(out.invoker());
        int there = 0;
        for (long sentAt : box.sent.values()) {
            there += sentAt < now - SURE ? 1 : 0;
        }
        Case c = open.get(e.requestId());
        InvokerLoadReport told =
                capabilities.weigh(
                        f,
                        new CapabilityVerifier.Seen(
                                out.invoker(),
                                out.sentAt(),
                                now - out.sentAt(),
                                there,
                                c == null ? 0 : c.from.loadMicros(),
                                c == null ? 0 : c.from.workMicros()),
                        sense,
                        e.loadReport(),
                        now);
        box.sent.remove(key(e.requestId(), e.attempt()));
        box.out.computeIfPresent(out.function(), (name, n) -> n > 1 ? n - 1 : null);
        if (sense == ResponseKind.SERVED) {
            f.usual.answered(now - out.sentAt());
            if (told.start() == StartKind.WARM || told.start() == StartKind.UNKNOWN) {
                f.lanes.answered(out.level(), now - out.sentAt(), out.sole());
            }
        }
        if (sense == ResponseKind.CONNECTION_LOST) {
            box.cuts = now - box.cutAt < AT_ONCE ? box.cuts + 1 : 1;
            box.cutAt = now;
        }
        boolean suspect = box.health.suspect(now) || box.health.ejected();
        if (!loadFailed) {
            evidence(f, out.invoker(), box, sense, suspect);
        }
        Classification verdict =
                c == null || (loadFailed && sense == ResponseKind.NOT_LOADED)
                        ? new Classification(sense.code, false, false, false)
                        : judge(c, f, out.invoker(), sense, e.result(), suspect);
        actions.add(new CompleteAttempt(e.requestId(), e.attempt(), verdict, told));
        if (!box.health.ejected() && box.health.suspect(now)) {
            eject(out.invoker(), box);
        }
    }

    /** Who is it held against? */
    private void evidence(
            FunctionCircuit f, String invoker, Box box, ResponseKind sense, boolean suspect) {
        boolean lacks =
                sense == ResponseKind.NOT_LOADED && !loading.reportsNotLoaded() && f.vouched(now);
        boolean failure = sense.isFailure() || lacks;
        if (!failure && sense != ResponseKind.SERVED && sense != ResponseKind.REJECTED) {
            return;
        }
        double elsewhere = f.elsewhere(invoker, false, now);
        if (sense == ResponseKind.REJECTED) {
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

    private Classification judge(
            Case c,
            FunctionCircuit f,
            String invoker,
            ResponseKind sense,
            ExchangeResult reply,
            boolean suspect) {
        if (sense == ResponseKind.SERVED) {
            return new Classification(ResponseCode.OK, true, false, false);
        }
        c.last = reply;
        if (sense == ResponseKind.REJECTED && !suspect) {
            return new Classification(ResponseCode.REJECTED, true, true, false);
        }
        if (sense == ResponseKind.NOT_LOADED) {
            // A miss is no word on the function, unless no load can mend it or a load has stood
            // there before it.
            boolean loads = loading.reportsNotLoaded() && loading.acceptsPreloads();
            if (!loads || f.servedAt(invoker) != 0) {
                c.absent.add(invoker);
            }
            int needed = loading.reportsNotLoaded() && !loads ? ready() : Math.min(AGREE, ready());
            boolean knownNowhere = !f.vouched(now) && c.absent.size() >= Math.max(1, needed);
            if (knownNowhere) {
                f.agrees(invoker);
                c.counts = true;
            }
            return new Classification(ResponseCode.NOT_LOADED, knownNowhere, false, knownNowhere);
        }
        boolean own = sense == ResponseKind.ERROR || sense == ResponseKind.REJECTED;
        if (!own && !sense.isFailure()) {
            return new Classification(sense.code, false, false, false);
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
        boolean ends = agree >= settings.failedAttempts() || c.failures > settings.failedAttempts();
        return new Classification(
                sense == ResponseKind.REJECTED ? ResponseCode.ERROR : sense.code, ends, own, false);
    }

    private void over(RequestCompleted e) {
        Case c = open.remove(e.requestId());
        if (c == null) {
            return;
        }
        FunctionCircuit f = function(c.from.function());
        if (!e.functionResponded() && c.counts) {
            f.callFailed(e.requestId(), c.last, ready(), now);
        }
        f.over(e.requestId());
    }

    /** A load refused as unknown is a word on the function, as an absence is. */
    private void orderDone(PreloadCompleted e) {
        FunctionCircuit f = function(e.function());
        ExchangeResult.Kind how = e.result().kind();
        if (how == ExchangeResult.Kind.RESPONSE && e.instances() != 0) {
            f.usual.loaded(e.elapsedMicros());
            f.stands(e.invoker(), now);
            capabilities.loaded(
                    e.invoker(), e.elapsedMicros(), e.declaredLoadMicros(), e.instances());
        }
        boolean unknown =
                how == ExchangeResult.Kind.STATUS
                        && (e.result().status() == 404 || e.result().status() == 400);
        if (!unknown || f.vouched(now)) {
            return;
        }
        f.agrees(e.invoker());
        List<Long> absent = new ArrayList<>();
        open.forEach(
                (id, c) -> {
                    if (c.from.function().equals(e.function())
                            && c.last != null
                            && ResponseKind.of(c.last) == ResponseKind.NOT_LOADED) {
                        c.counts = true;
                        absent.add(id);
                    }
                });
        absent.forEach(id -> actions.add(new FailFunctionNotFound(id)));
    }

    // ---- The list. ----
    private int ready() {
        int ready = 0;
        for (Box box : boxes.values()) {
            ready += box.entry != null && box.entry.state() == EndpointState.READY ? 1 : 0;
        }
        return ready;
    }

    private void listed(EndpointsUpdated list) {
        if (list.snapshot()) {
            boxes.values().forEach(b -> b.entry = null);
        }
        List<InvokerEndpoint> shown = new ArrayList<>(list.entries().size());
        for (InvokerEndpoint entry : list.entries()) {
            Box box = box(entry.id());
            boolean fresh =
                    box.entry != null && entry.startedAtMicros() > box.entry.startedAtMicros();
            if (fresh && box.health.ejected()) { // another process: it has done nothing wrong yet
                box.health.readmit(now);
                actions.add(new ReportReadmission(entry.id()));
            }
            box.entry = entry.state() == EndpointState.GONE ? null : entry;
            shown.add(shown(box, entry));
        }
        boxes.entrySet()
                .removeIf(
                        b -> {
                            boolean gone =
                                    b.getValue().entry == null && b.getValue().sent.isEmpty();
                            if (gone) {
                                capabilities.gone(b.getKey());
                            }
                            return gone;
                        });
        actions.add(
                new UpdateEndpoints(new EndpointsUpdated(list.snapshot(), list.cached(), shown)));
    }

    private static InvokerEndpoint shown(Box box, InvokerEndpoint e) {
        return !box.health.ejected() || e.state() != EndpointState.READY
                ? e
                : new InvokerEndpoint(
                        e.id(),
                        e.zone(),
                        e.cell(),
                        e.kind(),
                        EndpointState.DRAINING,
                        e.weight(),
                        e.startedAtMicros());
    }

    /**
     * Guards a process that was started again before the roster said so: its connections told of
     * the end of the one before, and from now on it counts as fresh. It can hurt where a server
     * closes connections that are in use.
     */
    private void lost(String invoker) {
        Box box = boxes.get(invoker);
        if (box == null || box.entry == null || box.entry.state() != EndpointState.READY) {
            return;
        }
        int cuts = now - box.cutAt < AT_ONCE ? box.cuts : 0;
        if (box.sent.size() + cuts >= 2) {
            return; // the module hears of two broken calls: it pauses the invoker and spares it
            // after that
        }
        InvokerEndpoint e = box.entry;
        box.entry =
                new InvokerEndpoint(
                        e.id(), e.zone(), e.cell(), e.kind(), e.state(), e.weight(), now);
        actions.add(
                new UpdateEndpoints(
                        new EndpointsUpdated(false, false, List.of(shown(box, box.entry)))));
    }

    /** A bounded share of the fleet, and never the last one. */
    private void eject(String invoker, Box box) {
        int ready = ready();
        long away = ejectedInvokers();
        boolean may =
                away < Math.max(1, (int) (settings.maxEjectedShare() * ready)) && ready - away >= 2;
        if (!may || box.entry == null || box.entry.state() != EndpointState.READY) {
            return;
        }
        long span = box.health.eject(now);
        actions.add(new ReportEjection(invoker, span));
        actions.add(
                new UpdateEndpoints(
                        new EndpointsUpdated(false, false, List.of(shown(box, box.entry)))));
        actions.add(new SetTimer(span));
    }

    private void due() {
        boxes.forEach(
                (id, box) -> {
                    if (box.health.ejected() && now >= box.health.until()) {
                        box.health.readmit(now);
                        actions.add(new ReportReadmission(id));
                        if (box.entry != null) {
                            actions.add(
                                    new UpdateEndpoints(
                                            new EndpointsUpdated(
                                                    false, false, List.of(box.entry))));
                        }
                    }
                });
    }
}
