package waytrestle.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import waytrestle.ControlApi;
import waytrestle.ControlApi.Action;
import waytrestle.ControlApi.AttemptEnded;
import waytrestle.ControlApi.Code;
import waytrestle.ControlApi.Event;
import waytrestle.ControlApi.Invoker;
import waytrestle.ControlApi.InvokerList;
import waytrestle.ControlApi.OrderEnded;
import waytrestle.ControlApi.ProbeEnded;
import waytrestle.ControlApi.State;
import waytrestle.calls.Desk;
import waytrestle.calls.End;
import waytrestle.calls.End.Served;
import waytrestle.calls.Gate;
import waytrestle.calls.IdMemory;
import waytrestle.calls.Intake;
import waytrestle.config.GatewayConfig;
import waytrestle.invoker.LoadMetrics;
import waytrestle.metrics.Metrics;

/**
 * One controller, on a loop or in the emulator: tells the decision module what happens and carries out what it decides, and asks the
 * {@link Desk} who is owed which answer. It takes no decision of its own. Everything here runs on one thread.
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

    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
    private static final int KEPT_EVENTS = 64;  // last events logged with a failed decision: enough to replay it

    private final Host host;
    private final GatewayConfig config;
    private final ControlApi module;
    private final Desk desk;
    private final Gate gate;
    private final Outside outside;
    private final Metrics metrics;
    private final LongSupplier wallMillis;
    private final FaultRule faults;
    private final Map<String, Host.Wire> links = new HashMap<>();
    private final Map<Long, OpenCall> calls = new HashMap<>();
    private final Map<Long, Waiting> clients = new HashMap<>();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final ArrayDeque<Event> lately = new ArrayDeque<>();
    private final List<Action> batch = new ArrayList<>();
    private boolean working;
    private long waiters;
    private int readyInvokers;

    private record Waiting(Client client, Incoming call, long since) { }

    /** A call that the module knows, or that still has attempts out. */
    private static final class OpenCall {
        final long id, deadline;
        final Incoming call;
        final List<Attempt> attempts = new ArrayList<>(2);
        int out;
        boolean over;

        OpenCall(long id, long deadline, Incoming call) {
            this.id = id;
            this.deadline = deadline;
            this.call = call;
        }
    }

    public Controller(Host host, GatewayConfig config, ModuleMaker maker, LongSupplier wallMillis, Metrics metrics,
            Gate gate, Outside outside) {
        this.gate = gate;
        this.host = host;
        this.config = config;
        this.wallMillis = wallMillis;
        this.metrics = metrics;
        this.outside = outside;
        this.module = maker.make(config.module(), config.seed());
        this.desk = new Desk(config.module().classes(), config.module().limits().maxOpen(),
                config.module().tickMicros(), new IdMemory(config.ids(), wallSeconds()), gate);
        this.faults = new FaultRule(config.faults().most(), config.faults().spanMicros());
        gauges();
    }

    private void gauges() {
        metrics.help("waytrestle_calls_total", "Answers given, by class and end.");
        metrics.help("waytrestle_call_seconds", "Time from a call's acceptance to its answer.");
        metrics.help("waytrestle_attempts_total", "Attempts ended, by the module's code.");
        metrics.help("waytrestle_attempt_seconds", "Time from sending an attempt to its end.");
        metrics.gauge("waytrestle_open_calls", "", desk::open);
        metrics.gauge("waytrestle_invokers_ready", "", () -> readyInvokers);
        metrics.gauge("waytrestle_ids_remembered", "", () -> desk.memory().size());
        metrics.gauge("waytrestle_ids_bytes", "", () -> desk.memory().bytes());
        metrics.gauge("waytrestle_invoker_connections", "", () -> links.values().stream()
                .mapToInt(Host.Wire::connections).sum());
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
    @Override
    public Ticket accept(Incoming call, Client client) {
        long waiter = ++waiters;
        clients.put(waiter, new Waiting(client, call, host.now()));
        atDesk(new Desk.Arrived(waiter, call.requestClass(), call.tenant(), call.mark(), call.id(),
                call.timeLeftMicros()));
        return () -> {
            if (clients.remove(waiter) != null) {
                metrics.counter("waytrestle_calls_total", labels(call, "left")).add();
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

    private String labels(Incoming call, String end) {
        return "class=\"" + config.module().classes().get(call.requestClass()).name() + "\",end=\"" + end + "\"";
    }

    // ---- The desk: what clients are owed. ----
    private void atDesk(Desk.Event event) {
        desk.on(host.now(), wallSeconds(), event, this::carryOut);
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
            host.after(a.afterMicros(), () -> {
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
        String kind = end instanceof Served ? "served" : end instanceof End.Refused ? "refused" : "failed";
        metrics.counter("waytrestle_calls_total", labels(waiting.call(), kind)).add();
        metrics.latency("waytrestle_call_seconds", labels(waiting.call(), kind), host.now() - waiting.since());
        waiting.client().ended(end);
    }

    private void begin(Desk.Begin a) {
        Incoming call = clients.get(a.waiter()).call();
        GatewayConfig.Function f = config.functions().getOrDefault(call.function(), config.unknownFunction());
        OpenCall made = new OpenCall(a.call(), host.now() + a.timeLeftMicros(), call);
        calls.put(made.id, made);
        events.add(new ControlApi.Request(made.id, call.requestClass(), call.tenant(), call.function(),
                a.timeLeftMicros(), f == null ? 0 : f.workMicros(), f == null ? 0 : f.memoryMb(),
                f == null ? 0 : f.lanes(), f == null ? 0 : f.loadMicros(), false, false));
    }

    private void over(long id) {
        OpenCall call = calls.get(id);
        if (call != null) {
            call.over = true;
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

    /** What the module did before it threw stands; the call is failed and the module told that it is gone. */
    private void failed(Event event, Throwable e) {
        LOG.error("a decision failed; seed {}, settings {}, event {}, events before it {}", config.seed(),
                config.module(), event, lately, e);
        metrics.counter("waytrestle_failed_decisions_total", "").add();
        long id = event instanceof ControlApi.Request r ? r.id() : event instanceof AttemptEnded a ? a.id()
                : event instanceof ControlApi.StreamBegan s ? s.id() : 0;
        if (id != 0) {
            desk.on(host.now(), wallSeconds(), new Desk.ModuleBroke(id), this::carryOut);
            over(id);
            events.add(new ControlApi.RequestGone(id));
        }
        if (faults.stopAfter(host.now())) {
            outside.broken("more than " + config.faults().most() + " decisions failed within "
                    + config.faults().spanMicros() / 1_000 + " ms");
        }
    }

    private void perform(Action action) {
        if (action instanceof ControlApi.Send a) {
            send(a);
        } else if (action instanceof ControlApi.SetTimer a) {
            host.after(a.afterMicros(), () -> feed(new ControlApi.TimerFired(a.tag())));
        } else if (action instanceof ControlApi.Refuse a) {
            desk.on(host.now(), wallSeconds(), new Desk.ModuleRefused(a.id(), a.comeBackAfterMicros()), this::carryOut);
            over(a.id());
        } else if (action instanceof ControlApi.Fail a) {
            desk.on(host.now(), wallSeconds(), new Desk.ModuleFailed(a.id()), this::carryOut);
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
            LOG.info("module: {}", a.text());
        }
    }

    // ---- Attempts. ----
    private final class Attempt implements Host.Ended {
        final OpenCall call;
        final int number;
        final String invoker;
        final long sentAt = host.now();
        Runnable cancel;
        Code code;
        boolean ended;

        Attempt(OpenCall call, int number, String invoker) {
            this.call = call;
            this.number = number;
            this.invoker = invoker;
        }

        @Override
        public void ended(Code code, Served served, LoadMetrics told) {
            if (ended) {
                return;
            }
            ended = true;
            call.out--;
            long took = host.now() - sentAt;
            this.code = code;
            if (code == Code.OK && (told.start() == ControlApi.Start.WARM || told.start() == ControlApi.Start.UNKNOWN)) {
                gate.served(host.now(), call.call.function(), took);
            }
            metrics.counter("waytrestle_attempts_total", "code=\"" + code + "\"").add();
            metrics.latency("waytrestle_attempt_seconds", "code=\"" + code + "\"", took);
            if (!call.over) {
                desk.on(host.now(), wallSeconds(), new Desk.AttemptOver(call.id, number, code, served),
                        Controller.this::carryOut);
                call.over = code == Code.OK;
            }
            if (call.over && call.out == 0) {
                calls.remove(call.id);
            }
            feed(new AttemptEnded(call.id, number, invoker, code, call.over, took, told.start(), told.company(),
                    told.report()));
        }
    }

    private void send(ControlApi.Send a) {
        OpenCall call = calls.get(a.id());
        if (call == null) {
            LOG.warn("the module sent call {}, which is not open", a.id());
            return;
        }
        Attempt attempt = new Attempt(call, call.attempts.size(), a.invoker());
        call.attempts.add(attempt);
        call.out++;
        long now = host.now();
        long until = a.giveUpAtMicros() > 0 ? Math.min(a.giveUpAtMicros(), call.deadline) : call.deadline;
        Host.Wire link = links.get(a.invoker());
        boolean moot = call.over || now >= until || attempt.number >= config.module().limits().maxAttempts()
                || attempt.number > 0 && call.attempts.get(attempt.number - 1).code != Code.MISS && !gate.again(now);
        if (moot || link == null) {
            host.after(0, () -> attempt.ended(moot ? Code.MOOT : Code.CONNECT_FAILED, null, LoadMetrics.read(null)));
            return;
        }
        desk.on(now, wallSeconds(), new Desk.Sent(call.id, attempt.number), this::carryOut);
        String id = call.call.id() != null ? call.call.id().key() : "c" + config.module().me() + "-" + call.id;
        attempt.cancel = link.infer(call.call, id, attempt.number, until - now, attempt);
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
        metrics.counter("waytrestle_orders_total", "").add();
        Host.Wire link = links.get(a.invoker());
        long sentAt = host.now();
        if (link == null) {
            host.after(0, () -> feed(new OrderEnded(a.invoker(), a.function(), Code.CONNECT_FAILED, 0, 0)));
            return;
        }
        link.order(a.function(), a.copies(), config.module().loading().orderWaitMicros(), (code, copies, told) ->
                feed(new OrderEnded(a.invoker(), a.function(), code, host.now() - sentAt, copies)));
    }

    private void unload(ControlApi.Unload a) {
        Host.Wire link = links.get(a.invoker());
        if (link != null) {
            link.unload(a.function(), config.module().loading().orderWaitMicros());
        }
    }

    private void probe(ControlApi.Probe a) {
        Host.Wire link = links.get(a.invoker());
        long sentAt = host.now();
        if (link == null) {
            host.after(0, () -> feed(new ProbeEnded(a.invoker(), Code.CONNECT_FAILED, 0, Map.of())));
            return;
        }
        link.probe(config.module().limits().connectTimeoutMicros(), (code, copies, told) ->
                feed(new ProbeEnded(a.invoker(), code, host.now() - sentAt, told.report())));
    }

    // ---- The list of invokers and peers. ----
    public void invokers(InvokerList list) {
        for (Invoker each : list.entries()) {
            if (each.state() == State.GONE) {
                Host.Wire link = links.remove(each.id());
                if (link != null) {
                    link.close();
                }
            } else {
                links.computeIfAbsent(each.id(), host::open);
            }
            if (each.state() != State.READY) {
                LOG.info("invoker {} is told {}", each.id(), each.state());
            }
        }
        states(list);
        feed(list);
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
