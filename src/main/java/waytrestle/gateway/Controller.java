package waytrestle.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.LongSupplier;
import waytrestle.ControlApi;
import waytrestle.ControlApi.Action;
import waytrestle.ControlApi.AttemptEnded;
import waytrestle.ControlApi.Code;
import waytrestle.ControlApi.Event;
import waytrestle.ControlApi.Invoker;
import waytrestle.ControlApi.InvokerList;
import waytrestle.ControlApi.OrderEnded;
import waytrestle.ControlApi.ProbeEnded;
import waytrestle.ControlApi.Settings;
import waytrestle.ControlApi.State;
import waytrestle.access.AccessLine;
import waytrestle.access.AccessLog;
import waytrestle.calls.Desk;
import waytrestle.calls.End;
import waytrestle.calls.Gate;
import waytrestle.calls.Intake;
import waytrestle.invoker.LoadMetrics;
import waytrestle.outcomes.Judge;
import waytrestle.outcomes.Outcomes;
import waytrestle.outcomes.Reply;
import waytrestle.outcomes.Told;
import waytrestle.outcomes.Verdict;
import waytrestle.overload.StartRation;

/**
 * One controller, on a loop or in the emulator: tells the decision module what happens and carries
 * out what it decides, and asks the {@link Desk} who is owed which answer. It takes no decision of
 * its own. Everything here runs on one thread.
 */
public final class Controller implements Intake {
    /** Makes the decision module; tests and comparisons put others in its place. */
    public interface ModuleMaker {
        ControlApi make(ControlApi.Settings settings, long seed);
    }

    /** What the controller reaches beyond invokers. */
    public interface Outside {
        void subscribe(boolean on);

        void fetchList();

        void tellPeer(int peer, byte[] message);

        /** The module has failed too often; the process should stop. */
        void broken(String why);
    }

    private static final int KEPT_EVENTS =
            64; // last events logged with a failed decision: enough to replay it

    /**
     * What a way of running puts together for its controller; functions tells what is known of one
     * where its calls do not.
     */
    public record Parts(
            Settings settings,
            ControlApi module,
            Desk desk,
            Judge judge,
            Gate gate,
            Function<String, Facts> functions,
            FaultRule faults) {}

    private final Host host;
    private final Settings settings;
    private final ControlApi module;
    private final Desk desk;
    private final Gate gate;
    private final Judge judge;
    private final Function<String, Facts> functions;
    private final AccessLog access;
    private final Outside outside;
    private final Watch watch;
    private final LongSupplier wallMillis;
    private final FaultRule faults;
    private final StartRation ration;
    private final Map<String, Host.Wire> links = new HashMap<>();
    private final Map<Long, OpenCall> calls = new HashMap<>();
    private final Map<Long, Waiting> clients = new HashMap<>();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final ArrayDeque<Event> lately = new ArrayDeque<>();
    private final List<Action> batch = new ArrayList<>();
    private boolean working;
    private long waiters;
    private int readyInvokers;

    /** A client; begun is the call that it began, null where it joined one or none was begun. */
    private record Waiting(Client client, Incoming call, long since, OpenCall begun) {}

    /** A call that the module knows, or that still has attempts out. */
    private static final class OpenCall {
        final long id, deadline;
        final Incoming call;
        final Facts function;
        final Client client; // who began it
        final List<Attempt> attempts = new ArrayList<>(2);
        int out;
        boolean over, answered;

        OpenCall(long id, long deadline, Incoming call, Client client, Facts function) {
            this.client = client;
            this.function = function;
            this.id = id;
            this.deadline = deadline;
            this.call = call;
        }
    }

    public Controller(
            Host host,
            Parts parts,
            LongSupplier wallMillis,
            Watch watch,
            AccessLog access,
            Outside outside) {
        this.host = host;
        this.settings = parts.settings();
        this.module = parts.module();
        this.desk = parts.desk();
        this.gate = parts.gate();
        this.judge = parts.judge();
        this.functions = parts.functions();
        this.faults = parts.faults();
        this.wallMillis = wallMillis;
        this.watch = watch;
        this.access = access;
        this.outside = outside;
        this.ration =
                new StartRation(
                        host.now(),
                        settings.loading().loadPeriodMicros(),
                        settings.loading().loadRatio());
    }

    /** What is held for calls beyond their end; nothing once all attempts have ended too. */
    public int held() {
        return calls.size() + clients.size() + judge.held();
    }

    public int open() {
        return desk.open();
    }

    public int readyInvokers() {
        return readyInvokers;
    }

    @Override
    public boolean ready() {
        return readyInvokers > 0;
    }

    @Override
    public long wallSeconds() {
        return Math.floorDiv(wallMillis.getAsLong(), 1_000);
    }

    // ---- From the fronts. ----
    /** Invokers that there is a way to. */
    public int ways() {
        return links.size();
    }

    int connections() {
        return links.values().stream().mapToInt(Host.Wire::connections).sum();
    }

    @Override
    public Ticket accept(Incoming call, Client client) {
        long waiter = ++waiters;
        clients.put(waiter, new Waiting(client, call, host.now(), null));
        atDesk(
                new Desk.Arrived(
                        waiter,
                        call.requestClass(),
                        call.tenant(),
                        call.mark(),
                        call.id(),
                        call.timeLeftMicros()));
        return () -> {
            if (clients.remove(waiter) != null) {
                watch.ended(call, "left", "", 0);
                atDesk(new Desk.Left(waiter));
            }
        };
    }

    public void stopTaking() {
        atDesk(new Desk.Stopping());
    }

    public void closeAll() {
        atDesk(new Desk.CloseAll());
    }

    // ---- The desk: what clients are owed. ----
    private void atDesk(Desk.Event event) {
        tell(event);
        work();
    }

    private void carryOut(Desk.Action action) {
        if (action instanceof Desk.Answer a) {
            answer(a.waiter(), a.end());
        } else if (action instanceof Desk.Begin a) {
            begin(a);
        } else if (action instanceof Desk.Abandon a) {
            over(a.call());
            events.add(new ControlApi.RequestGone(a.call()));
        } else if (action instanceof Desk.Wake a) {
            host.after(
                    a.afterMicros(),
                    () -> {
                        if (clients.containsKey(a.waiter())) {
                            atDesk(new Desk.Due(a.waiter()));
                        }
                    });
        }
    }

    private void answer(long waiter, End end) {
        Waiting waiting = clients.remove(waiter);
        if (waiting == null) {
            return;
        }
        boolean served = end instanceof End.Served;
        String kind = served ? "served" : end instanceof End.Refused ? "refused" : "failed";
        watch.ended(waiting.call(), kind, served ? "" : reason(end), host.now() - waiting.since());
        log(waiting, kind, end);
        waiting.client().ended(end);
    }

    private static String reason(End end) {
        return end instanceof End.Refused r
                ? r.why().word()
                : end instanceof End.Failed f
                        ? f.why().word()
                        : end instanceof End.Answered ? "function" : "";
    }

    private void log(Waiting waiting, String kind, End end) {
        Incoming in = waiting.call();
        String id = in.id() == null ? "" : in.id().key();
        if (!access.takes(id)) {
            return;
        }
        OpenCall call = waiting.begun();
        List<AccessLine.Tried> tried = new ArrayList<>(call == null ? 0 : call.attempts.size());
        if (call != null) {
            for (Attempt a : call.attempts) {
                tried.add(
                        new AccessLine.Tried(
                                a.invoker,
                                a.ended ? a.said.text() : "open",
                                (a.ended ? a.endedAt : host.now()) - a.sentAt,
                                a.estimate));
            }
        }
        access.write(
                new AccessLine(
                        wallMillis.getAsLong(),
                        id,
                        in.tenant() < 0 ? "" : settings.tenants().get(in.tenant()).name(),
                        settings.classes().get(in.requestClass()).name(),
                        in.function(),
                        tried,
                        kind,
                        reason(end),
                        host.now() - waiting.since()));
    }

    private void begin(Desk.Begin a) {
        Waiting waiting = clients.get(a.waiter());
        Incoming call = waiting.call();
        Facts f = call.facts() != null ? call.facts() : functions.apply(call.function());
        OpenCall made =
                new OpenCall(a.call(), host.now() + a.timeLeftMicros(), call, waiting.client(), f);
        calls.put(made.id, made);
        ration.taken(host.now());
        clients.put(a.waiter(), new Waiting(waiting.client(), call, waiting.since(), made));
        judge(
                new Outcomes.Offered(
                        a.call(), call.function(), f.lanes(), f.loadMicros(), f.workMicros()));
    }

    // ---- What ends say, and what is worth believing. ----
    private void judge(Outcomes.Event event) {
        List<Outcomes.Action> out =
                new ArrayList<>(2); // carried out after it, since they may lead to its next event
        judge.on(host.now(), event, out::add);
        for (int i = 0; i < out.size(); i++) {
            carryOut(out.get(i));
        }
    }

    private void carryOut(Outcomes.Action action) {
        if (action instanceof Outcomes.Let a) {
            OpenCall call = calls.get(a.call());
            Facts f = call.function;
            events.add(
                    new ControlApi.Request(
                            a.call(),
                            call.call.requestClass(),
                            call.call.tenant(),
                            call.call.function(),
                            call.deadline - host.now(),
                            f.workMicros(),
                            f.memoryMb(),
                            a.lanes(),
                            a.loadMicros(),
                            f.resent(),
                            false));
        } else if (action instanceof Outcomes.FailFast a) {
            tell(new Desk.FailedFast(a.call(), a.said().text(), a.comeBackMicros()));
            over(a.call());
        } else if (action instanceof Outcomes.Go a) {
            go(calls.get(a.call()), a.attempt());
        } else if (action instanceof Outcomes.Withhold a) {
            calls.get(a.call()).attempts.get(a.attempt()).withhold();
        } else if (action instanceof Outcomes.Judged a) {
            calls.get(a.call()).attempts.get(a.attempt()).judged(a.verdict(), a.told());
        } else if (action instanceof Outcomes.Absent a) {
            tell(new Desk.FunctionAbsent(a.call()));
            over(a.call());
            events.add(new ControlApi.RequestGone(a.call()));
        } else if (action instanceof Outcomes.Show a) {
            events.add(a.list());
        } else if (action instanceof Outcomes.Wake a) {
            host.after(
                    a.afterMicros(),
                    () -> {
                        judge(new Outcomes.Due());
                        work();
                    });
        } else if (action instanceof Outcomes.Ejected a) {
            watch.ejected(a.invoker(), a.micros());
        } else if (action instanceof Outcomes.Readmitted a) {
            watch.readmitted(a.invoker());
        } else if (action instanceof Outcomes.Warned a) {
            watch.warned(a);
        }
    }

    private void tell(Desk.Event event) {
        desk.on(host.now(), wallSeconds(), event, this::carryOut);
    }

    /** A call has ended for its clients. */
    private void over(long id) {
        OpenCall call = calls.get(id);
        if (call != null && !call.over) {
            call.over = true;
            judge(new Outcomes.Over(id, call.answered));
            if (call.out == 0) {
                calls.remove(id);
            }
        }
    }

    // ---- The module: where calls go. ----
    private void feed(Event event) {
        events.add(event);
        work();
    }

    /** Events one at a time, each one's actions before the next event. */
    private void work() {
        if (working) {
            return;
        }
        working = true;
        try {
            for (Event event = events.poll(); event != null; event = events.poll()) {
                lately.add(event);
                if (lately.size() > KEPT_EVENTS) {
                    lately.poll();
                }
                batch.clear();
                try {
                    module.on(host.now(), event, batch::add);
                } catch (RuntimeException | StackOverflowError e) {
                    failed(event, e);
                }
                for (int i = 0; i < batch.size(); i++) {
                    perform(batch.get(i));
                }
            }
        } finally {
            working = false;
        }
    }

    /**
     * What the module did before it threw stands; the call is failed and the module told that it is
     * gone.
     */
    private void failed(Event event, Throwable e) {
        watch.decisionFailed(event, lately, e);
        long id =
                event instanceof ControlApi.Request r
                        ? r.id()
                        : event instanceof AttemptEnded a
                                ? a.id()
                                : event instanceof ControlApi.StreamBegan s ? s.id() : 0;
        if (id != 0) {
            tell(new Desk.ModuleBroke(id));
            over(id);
            events.add(new ControlApi.RequestGone(id));
        }
        if (faults.stopAfter(host.now())) {
            outside.broken("more than " + faults.text());
        }
    }

    private void perform(Action action) {
        if (action instanceof ControlApi.Send a) {
            send(a);
        } else if (action instanceof ControlApi.SetTimer a) {
            host.after(a.afterMicros(), () -> feed(new ControlApi.TimerFired(a.tag())));
        } else if (action instanceof ControlApi.Refuse a) {
            tell(new Desk.ModuleRefused(a.id(), a.comeBackAfterMicros(), module.estimateMicros()));
            over(a.id());
        } else if (action instanceof ControlApi.Fail a) {
            tell(new Desk.ModuleFailed(a.id()));
            over(a.id());
        } else if (action instanceof ControlApi.Cancel a) {
            cancel(a);
        } else if (action instanceof ControlApi.Order a) {
            order(a);
        } else if (action instanceof ControlApi.Unload a) {
            unload(a);
        } else if (action instanceof ControlApi.Probe a) {
            probe(a);
        } else if (action instanceof ControlApi.CloseIdle a) {
            Host.Wire link = links.get(a.invoker());
            if (link != null) {
                link.closeIdle();
            }
        } else if (action instanceof ControlApi.TellPeer a) {
            outside.tellPeer(a.peer(), a.message());
        } else if (action instanceof ControlApi.Subscribe a) {
            outside.subscribe(a.on());
        } else if (action instanceof ControlApi.FetchList) {
            outside.fetchList();
        } else if (action instanceof ControlApi.Log a) {
            watch.said(a.text());
        }
    }

    // ---- Attempts. ----
    private final class Attempt implements Host.Ended {
        final OpenCall call;
        final int number;
        final String invoker;
        final long sentAt = host.now(), estimate = module.estimateMicros();
        final boolean wasReady; // told so when it was decided
        Runnable cancel;
        Code code;
        boolean ended;
        long until, endedAt;
        Reply said;
        private Host.Came came;

        Attempt(OpenCall call, int number, String invoker) {
            this.call = call;
            this.number = number;
            this.invoker = invoker;
            this.wasReady = ready.contains(invoker);
        }

        void withhold() {
            host.after(0, () -> ended(Host.Came.of(Reply.How.WITHHELD)));
        }

        @Override
        public void ended(Host.Came came) {
            if (ended) {
                return;
            }
            ended = true;
            endedAt = host.now();
            said = came.reply();
            this.came = came;
            judge(
                    new Outcomes.Ended(
                            call.id,
                            number,
                            said,
                            new Told(
                                    came.told().start(),
                                    came.told().company(),
                                    came.told().report())));
            this.came = null;
            work();
        }

        /**
         * Its connection may have come up late, or the loop been busy: nothing begins for a client
         * that has gone, also where what is out may not be cancelled, nor at an invoker that has
         * been told to end meanwhile.
         */
        @Override
        public Reply.How withdrawn() {
            call.client.look();
            return call.over ? Reply.How.CANCELLED : toldToEnd(wasReady, invoker);
        }

        /** The desk first (is anybody owed an answer?), then the module. */
        void judged(Verdict verdict, Told told) {
            call.out--;
            code = verdict.code();
            long took = endedAt - sentAt;
            boolean warm =
                    told.start() == ControlApi.Start.WARM
                            || told.start() == ControlApi.Start.UNKNOWN;
            if (code == Code.OK && warm) {
                gate.served(endedAt, call.call.function(), took);
            }
            watch.attempt(code, invoker, said, took);
            boolean ends = verdict.ends() && !call.over;
            End own =
                    came.served() != null
                            ? came.served()
                            : !verdict.own()
                                    ? null
                                    : new End.Answered(
                                            said.status(),
                                            came.type(),
                                            came.body(),
                                            true,
                                            End.Tried.NONE);
            tell(new Desk.AttemptOver(call.id, number, code, own, ends, said.text()));
            if (ends) {
                call.answered = code == Code.OK || code == Code.REJECTED;
                over(call.id);
            } else if (call.over && call.out == 0) {
                calls.remove(call.id);
            }
            events.add(
                    new AttemptEnded(
                            call.id,
                            number,
                            invoker,
                            code,
                            call.over,
                            took,
                            told.start(),
                            told.company(),
                            told.report()));
        }
    }

    private void send(ControlApi.Send a) {
        OpenCall call = calls.get(a.id());
        if (call == null) {
            watch.said("the module sent call " + a.id() + ", which is not open");
            return;
        }
        Attempt attempt = new Attempt(call, call.attempts.size(), a.invoker());
        long last =
                call.deadline
                        - settings.tickMicros(); // as the module ends it: nothing is out after that
        attempt.until = a.giveUpAtMicros() > 0 ? Math.min(a.giveUpAtMicros(), last) : last;
        call.attempts.add(attempt);
        call.out++;
        long now = host.now();
        boolean moot =
                call.over
                        || now >= attempt.until
                        || attempt.number >= settings.limits().maxAttempts()
                        || (attempt.number > 0
                                && call.attempts.get(attempt.number - 1).code != Code.MISS
                                && !gate.again(now));
        if (moot) {
            attempt.withhold();
        } else if (!links.containsKey(a.invoker())) {
            host.after(0, () -> attempt.ended(Host.Came.of(Reply.How.UNREACHED)));
        } else {
            judge(new Outcomes.Trying(call.id, attempt.number, a.invoker()));
        }
    }

    private void go(OpenCall call, int number) {
        Attempt attempt = call.attempts.get(number);
        tell(new Desk.Sent(call.id, number));
        String id =
                call.call.passedId() != null
                        ? call.call.passedId()
                        : call.call.id() != null
                                ? call.call.id().key()
                                : "c" + settings.me() + "-" + call.id;
        attempt.cancel =
                links.get(attempt.invoker)
                        .infer(call.call, id, number, attempt.until - host.now(), attempt);
    }

    private void cancel(ControlApi.Cancel a) {
        OpenCall call = calls.get(a.id());
        if (call != null && a.attempt() >= 0 && a.attempt() < call.attempts.size()) {
            Attempt attempt = call.attempts.get(a.attempt());
            if (attempt.cancel != null) {
                attempt.cancel.run();
            }
        }
    }

    // ---- Orders and probes. ----
    private void order(ControlApi.Order a) {
        if (a.copies() > 0 && !ration.take(host.now())) {
            host.after(0, () -> feed(new OrderEnded(a.invoker(), a.function(), Code.MOOT, 0, 0)));
            return;
        }
        watch.ordered();
        Host.Wire link = links.get(a.invoker());
        long sentAt = host.now();
        if (link == null) {
            host.after(
                    0,
                    () ->
                            feed(
                                    new OrderEnded(
                                            a.invoker(), a.function(), Code.CONNECT_FAILED, 0, 0)));
            return;
        }
        boolean wasReady = ready.contains(a.invoker());
        link.order(
                a.function(),
                a.copies(),
                settings.loading().orderWaitMicros(),
                new Host.Told() {
                    @Override
                    public Reply.How withdrawn() {
                        return toldToEnd(wasReady, a.invoker());
                    }

                    @Override
                    public void told(Reply reply, int copies, LoadMetrics told) {
                        long took = host.now() - sentAt;
                        if (a.copies() > 0) {
                            judge(
                                    new Outcomes.OrderDone(
                                            a.invoker(),
                                            a.function(),
                                            reply,
                                            told.copies(),
                                            took,
                                            functions.apply(a.function()).loadMicros()));
                        }
                        feed(
                                new OrderEnded(
                                        a.invoker(),
                                        a.function(),
                                        judge.codeOfOrder(reply),
                                        took,
                                        copies));
                    }
                });
    }

    /**
     * How what has not been sent to an invoker ends that was told to end since that was decided:
     * nothing ran.
     */
    private Reply.How toldToEnd(boolean wasReady, String invoker) {
        return wasReady && !ready.contains(invoker) ? Reply.How.NO_ROOM : null;
    }

    private void unload(ControlApi.Unload a) {
        Host.Wire link = links.get(a.invoker());
        if (link != null) {
            link.unload(a.function(), settings.loading().orderWaitMicros());
        }
    }

    private void probe(ControlApi.Probe a) {
        Host.Wire link = links.get(a.invoker());
        long sentAt = host.now();
        if (link == null) {
            host.after(
                    0, () -> feed(new ProbeEnded(a.invoker(), Code.CONNECT_FAILED, 0, Map.of())));
            return;
        }
        link.probe(
                settings.limits().connectTimeoutMicros(),
                (reply, copies, told) ->
                        feed(
                                new ProbeEnded(
                                        a.invoker(),
                                        judge.codeOfOrder(reply),
                                        host.now() - sentAt,
                                        told.report())));
    }

    // ---- The list of invokers and peers. ----
    public void invokers(InvokerList list) {
        if (list.whole()) { // what a whole list leaves out is gone, its connections with it
            java.util.Set<String> listed = new java.util.HashSet<>();
            list.entries().forEach(each -> listed.add(each.id()));
            links.entrySet()
                    .removeIf(
                            each -> {
                                boolean gone = !listed.contains(each.getKey());
                                if (gone) {
                                    each.getValue().close();
                                    watch.forgotten(each.getKey());
                                }
                                return gone;
                            });
        }
        for (Invoker each : list.entries()) {
            if (each.state() == State.GONE) {
                Host.Wire link = links.remove(each.id());
                if (link != null) {
                    link.close();
                }
                watch.forgotten(each.id());
            } else {
                links.computeIfAbsent(
                        each.id(),
                        id ->
                                host.open(
                                        id,
                                        () -> {
                                            judge(new Outcomes.Lost(id));
                                            work();
                                        }));
            }
            if (each.state() != State.READY) {
                watch.said("invoker " + each.id() + " is told " + each.state());
            }
        }
        states(list);
        judge(new Outcomes.Listed(list));
        work();
    }

    /**
     * An invoker is at another address now: its next list entry opens a way there, what is out at
     * the old one ends.
     */
    public void moved(String invoker) {
        Host.Wire link = links.remove(invoker);
        if (link != null) {
            link.close();
        }
    }

    private final java.util.HashSet<String> ready = new java.util.HashSet<>();

    private void states(InvokerList list) {
        if (list.whole()) {
            ready.clear();
        }
        for (Invoker each : list.entries()) {
            if (each.state() == State.READY) {
                ready.add(each.id());
            } else {
                ready.remove(each.id());
            }
        }
        readyInvokers = ready.size();
    }

    public void listFailed() {
        feed(new ControlApi.InvokerListFailed());
    }

    public void peerSaid(int peer, byte[] message) {
        feed(new ControlApi.PeerSaid(peer, message));
    }
}
