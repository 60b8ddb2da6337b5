package waytrestle.controller;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongSupplier;
import waytrestle.access.AccessLine;
import waytrestle.access.AccessLog;
import waytrestle.invoker.LoadMetrics;
import waytrestle.overload.StartupPreloadLimit;
import waytrestle.requests.AdmissionControl;
import waytrestle.requests.PendingRequests;
import waytrestle.requests.RequestHandler;
import waytrestle.requests.RequestOutcome;
import waytrestle.responses.Classification;
import waytrestle.responses.ClassifierCommand;
import waytrestle.responses.ClassifierEvent;
import waytrestle.responses.ExchangeResult;
import waytrestle.responses.InvokerLoadReport;
import waytrestle.responses.ResponseClassifier;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.InvokerEndpoint;
import waytrestle.scheduler.RequestScheduler;
import waytrestle.scheduler.ResponseCode;
import waytrestle.scheduler.SchedulerCommand;
import waytrestle.scheduler.SchedulerEvent;
import waytrestle.scheduler.SchedulerEvent.AttemptCompleted;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;
import waytrestle.scheduler.SchedulerEvent.HealthCheckCompleted;
import waytrestle.scheduler.SchedulerEvent.PreloadCompleted;
import waytrestle.scheduler.SchedulerSettings;
import waytrestle.scheduler.StartKind;

/**
 * One controller, on a loop or in the emulator: tells the decision module what happens and carries
 * out what it decides, and asks the {@link PendingRequests} who is owed which answer. It takes no
 * decision of its own. Everything here runs on one thread.
 */
public final class Controller implements RequestHandler {
    /** Makes the decision module; tests and comparisons put others in its place. */
    public interface SchedulerFactory {
        RequestScheduler create(SchedulerSettings settings, long seed);
    }

    private static final int KEPT_EVENTS =
            64; // last events logged with a failed decision: enough to replay it

    private final Transport host;
    private final SchedulerSettings settings;
    private final RequestScheduler module;
    private final PendingRequests desk;
    private final AdmissionControl gate;
    private final ResponseClassifier judge;
    private final Function<String, FunctionHints> functions;
    private final AccessLog access;
    private final ControllerEnvironment outside;
    private final ControllerListener watch;
    private final LongSupplier wallMillis;
    private final FailureThreshold faults;
    private final StartupPreloadLimit ration;
    private final Map<String, InvokerClient> links = new HashMap<>();
    private final Map<Long, OpenCall> calls = new HashMap<>();
    private final Map<Long, Waiting> clients = new HashMap<>();
    private final ArrayDeque<SchedulerEvent> events = new ArrayDeque<>();
    private final ArrayDeque<SchedulerEvent> lately = new ArrayDeque<>();
    private final List<SchedulerCommand> batch = new ArrayList<>();
    private boolean working;
    private long waiters;
    private int readyInvokers;

    /** A client; begun is the call that it began, null where it joined one or none was begun. */
    private record Waiting(
            ResponseListener client, IncomingRequest call, long since, OpenCall begun) {}

    /** A call that the module knows, or that still has attempts out. */
    private static final class OpenCall {
        final long id, deadline;
        final IncomingRequest call;
        final FunctionHints function;
        final ResponseListener client; // who began it
        final List<Attempt> attempts = new ArrayList<>(2);
        int out;
        boolean over, answered;

        OpenCall(
                long id,
                long deadline,
                IncomingRequest call,
                ResponseListener client,
                FunctionHints function) {
            this.client = client;
            this.function = function;
            this.id = id;
            this.deadline = deadline;
            this.call = call;
        }
    }

    public Controller(
            Transport host,
            ControllerDependencies parts,
            LongSupplier wallMillis,
            ControllerListener watch,
            AccessLog access,
            ControllerEnvironment outside) {
        this.host = host;
        this.settings = parts.settings();
        this.module = parts.scheduler();
        this.desk = parts.pendingRequests();
        this.gate = parts.admission();
        this.judge = parts.classifier();
        this.functions = parts.functionHints();
        this.faults = parts.failureThreshold();
        this.wallMillis = wallMillis;
        this.watch = watch;
        this.access = access;
        this.outside = outside;
        this.ration =
                new StartupPreloadLimit(
                        host.now(),
                        settings.preloading().preloadPeriodMicros(),
                        settings.preloading().preloadsPerRequest());
    }

    /** What is held for calls beyond their end; nothing once all attempts have ended too. */
    public int retainedEntries() {
        return calls.size() + clients.size() + judge.retainedEntries();
    }

    public int inFlight() {
        return desk.inFlight();
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
    public int invokerClients() {
        return links.size();
    }

    /** Open connections to all invokers. */
    public int connections() {
        return links.values().stream().mapToInt(InvokerClient::connections).sum();
    }

    @Override
    public PendingResponse accept(IncomingRequest call, ResponseListener client) {
        long waiter = ++waiters;
        clients.put(waiter, new Waiting(client, call, host.now(), null));
        atDesk(
                new PendingRequests.RequestArrived(
                        waiter,
                        call.requestClass(),
                        call.tenant(),
                        call.retryMark(),
                        call.idempotencyKey(),
                        call.timeLeftMicros()));
        return () -> {
            if (clients.remove(waiter) != null) {
                watch.requestCompleted(call, "left", "", 0);
                atDesk(new PendingRequests.ClientDisconnected(waiter));
            }
        };
    }

    public void startShutdown() {
        atDesk(new PendingRequests.ShutdownStarted());
    }

    public void shutdownGraceExpired() {
        atDesk(new PendingRequests.ShutdownGraceExpired());
    }

    // ---- The desk: what clients are owed. ----
    private void atDesk(PendingRequests.Event event) {
        tell(event);
        work();
    }

    private void carryOut(PendingRequests.Command action) {
        if (action instanceof PendingRequests.RespondToClient a) {
            answer(a.clientId(), a.outcome());
        } else if (action instanceof PendingRequests.StartRequest a) {
            begin(a);
        } else if (action instanceof PendingRequests.AbandonRequest a) {
            over(a.requestId());
            events.add(new SchedulerEvent.RequestAbandoned(a.requestId()));
        } else if (action instanceof PendingRequests.SetDeadlineTimer a) {
            host.schedule(
                    a.afterMicros(),
                    () -> {
                        if (clients.containsKey(a.clientId())) {
                            atDesk(new PendingRequests.DeadlineExpired(a.clientId()));
                        }
                    });
        }
    }

    private void answer(long waiter, RequestOutcome end) {
        Waiting waiting = clients.remove(waiter);
        if (waiting == null) {
            return;
        }
        boolean served = end instanceof RequestOutcome.Served;
        String kind =
                served ? "served" : end instanceof RequestOutcome.Rejected ? "refused" : "failed";
        watch.requestCompleted(
                waiting.call(), kind, served ? "" : reason(end), host.now() - waiting.since());
        log(waiting, kind, end);
        waiting.client().completed(end);
    }

    private static String reason(RequestOutcome end) {
        return end instanceof RequestOutcome.Rejected r
                ? r.reason().code()
                : end instanceof RequestOutcome.Failed f
                        ? f.reason().code()
                        : end instanceof RequestOutcome.FunctionError ? "function" : "";
    }

    private void log(Waiting waiting, String kind, RequestOutcome end) {
        IncomingRequest in = waiting.call();
        String id = in.idempotencyKey() == null ? "" : in.idempotencyKey().key();
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

    private void begin(PendingRequests.StartRequest a) {
        Waiting waiting = clients.get(a.clientId());
        IncomingRequest call = waiting.call();
        FunctionHints f = call.hints() != null ? call.hints() : functions.apply(call.function());
        OpenCall made =
                new OpenCall(
                        a.requestId(), host.now() + a.timeLeftMicros(), call, waiting.client(), f);
        calls.put(made.id, made);
        ration.requestAccepted(host.now());
        clients.put(a.clientId(), new Waiting(waiting.client(), call, waiting.since(), made));
        judge(
                new ClassifierEvent.RequestStarted(
                        a.requestId(),
                        call.function(),
                        f.concurrencyPerInstance(),
                        f.loadMicros(),
                        f.workMicros()));
    }

    // ---- What ends say, and what is worth believing. ----
    private void judge(ClassifierEvent event) {
        List<ClassifierCommand> out =
                new ArrayList<>(2); // carried out after it, since they may lead to its next event
        judge.handle(host.now(), event, out::add);
        for (int i = 0; i < out.size(); i++) {
            carryOut(out.get(i));
        }
    }

    private void carryOut(ClassifierCommand action) {
        if (action instanceof ClassifierCommand.AdmitRequest a) {
            OpenCall call = calls.get(a.requestId());
            FunctionHints f = call.function;
            events.add(
                    new SchedulerEvent.RequestReceived(
                            a.requestId(),
                            call.call.requestClass(),
                            call.call.tenant(),
                            call.call.function(),
                            call.deadline - host.now(),
                            f.workMicros(),
                            f.memoryMb(),
                            a.concurrencyPerInstance(),
                            a.loadMicros(),
                            f.retry(),
                            false));
        } else if (action instanceof ClassifierCommand.RejectFast a) {
            tell(
                    new PendingRequests.CircuitRejectedRequest(
                            a.requestId(), a.lastResult().text(), a.retryAfterMicros()));
            over(a.requestId());
        } else if (action instanceof ClassifierCommand.ForwardAttempt a) {
            go(calls.get(a.requestId()), a.attempt());
        } else if (action instanceof ClassifierCommand.WithholdAttempt a) {
            calls.get(a.requestId()).attempts.get(a.attempt()).withhold();
        } else if (action instanceof ClassifierCommand.CompleteAttempt a) {
            calls.get(a.requestId())
                    .attempts
                    .get(a.attempt())
                    .judged(a.classification(), a.loadReport());
        } else if (action instanceof ClassifierCommand.FailFunctionNotFound a) {
            tell(new PendingRequests.FunctionNotFound(a.requestId()));
            over(a.requestId());
            events.add(new SchedulerEvent.RequestAbandoned(a.requestId()));
        } else if (action instanceof ClassifierCommand.UpdateEndpoints a) {
            events.add(a.update());
        } else if (action instanceof ClassifierCommand.SetTimer a) {
            host.schedule(
                    a.afterMicros(),
                    () -> {
                        judge(new ClassifierEvent.TimerExpired());
                        work();
                    });
        } else if (action instanceof ClassifierCommand.ReportEjection a) {
            watch.invokerEjected(a.invoker(), a.durationMicros());
        } else if (action instanceof ClassifierCommand.ReportReadmission a) {
            watch.invokerReadmitted(a.invoker());
        } else if (action instanceof ClassifierCommand.WarnOfCapability a) {
            watch.capabilityWarning(a);
        }
    }

    private void tell(PendingRequests.Event event) {
        desk.handle(host.now(), wallSeconds(), event, this::carryOut);
    }

    /** A call has ended for its clients. */
    private void over(long id) {
        OpenCall call = calls.get(id);
        if (call != null && !call.over) {
            call.over = true;
            judge(new ClassifierEvent.RequestCompleted(id, call.answered));
            if (call.out == 0) {
                calls.remove(id);
            }
        }
    }

    // ---- The module: where calls go. ----
    private void feed(SchedulerEvent event) {
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
            for (SchedulerEvent event = events.poll(); event != null; event = events.poll()) {
                lately.add(event);
                if (lately.size() > KEPT_EVENTS) {
                    lately.poll();
                }
                batch.clear();
                try {
                    module.handle(host.now(), event, batch::add);
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
    private void failed(SchedulerEvent event, Throwable e) {
        watch.decisionFailed(event, lately, e);
        long id =
                event instanceof SchedulerEvent.RequestReceived r
                        ? r.id()
                        : event instanceof AttemptCompleted a
                                ? a.id()
                                : event instanceof SchedulerEvent.StreamStarted s ? s.id() : 0;
        if (id != 0) {
            tell(new PendingRequests.SchedulerThrew(id));
            over(id);
            events.add(new SchedulerEvent.RequestAbandoned(id));
        }
        if (faults.exceededBy(host.now())) {
            outside.schedulerFailed("more than " + faults.description());
        }
    }

    private void perform(SchedulerCommand action) {
        if (action instanceof SchedulerCommand.ForwardAttempt a) {
            send(a);
        } else if (action instanceof SchedulerCommand.SetTimer a) {
            host.schedule(a.afterMicros(), () -> feed(new SchedulerEvent.TimerExpired(a.timer())));
        } else if (action instanceof SchedulerCommand.RejectRequest a) {
            tell(
                    new PendingRequests.SchedulerRejectedRequest(
                            a.id(), a.retryAfterMicros(), module.estimateMicros()));
            over(a.id());
        } else if (action instanceof SchedulerCommand.FailRequest a) {
            tell(new PendingRequests.SchedulerFailedRequest(a.id()));
            over(a.id());
        } else if (action instanceof SchedulerCommand.CancelAttempt a) {
            cancel(a);
        } else if (action instanceof SchedulerCommand.PreloadFunction a) {
            order(a);
        } else if (action instanceof SchedulerCommand.UnloadFunction a) {
            unload(a);
        } else if (action instanceof SchedulerCommand.CheckHealth a) {
            probe(a);
        } else if (action instanceof SchedulerCommand.CloseIdleConnections a) {
            InvokerClient link = links.get(a.invoker());
            if (link != null) {
                link.closeIdle();
            }
        } else if (action instanceof SchedulerCommand.SendGossip a) {
            outside.sendGossip(a.peer(), a.message());
        } else if (action instanceof SchedulerCommand.SubscribeToEndpoints a) {
            outside.subscribe(a.enabled());
        } else if (action instanceof SchedulerCommand.FetchEndpoints) {
            outside.fetchEndpoints();
        } else if (action instanceof SchedulerCommand.LogMessage a) {
            watch.message(a.text());
        }
    }

    // ---- Attempts. ----
    private final class Attempt implements InvokerClient.AttemptListener {
        final OpenCall call;
        final int number;
        final String invoker;
        final long sentAt = host.now(), estimate = module.estimateMicros();
        final boolean wasReady; // told so when it was decided
        Runnable cancel;
        ResponseCode code;
        boolean ended;
        long until, endedAt;
        ExchangeResult said;
        private AttemptResult came;

        Attempt(OpenCall call, int number, String invoker) {
            this.call = call;
            this.number = number;
            this.invoker = invoker;
            this.wasReady = ready.contains(invoker);
        }

        void withhold() {
            host.schedule(0, () -> completed(AttemptResult.of(ExchangeResult.Kind.WITHHELD)));
        }

        @Override
        public void completed(AttemptResult came) {
            if (ended) {
                return;
            }
            ended = true;
            endedAt = host.now();
            said = came.result();
            this.came = came;
            judge(
                    new ClassifierEvent.AttemptCompleted(
                            call.id,
                            number,
                            said,
                            new InvokerLoadReport(
                                    came.metrics().start(),
                                    came.metrics().company(),
                                    came.metrics().report())));
            this.came = null;
            work();
        }

        /**
         * Its connection may have come up late, or the loop been busy: nothing begins for a client
         * that has gone, also where what is out may not be cancelled, nor at an invoker that has
         * been told to end meanwhile.
         */
        @Override
        public ExchangeResult.Kind withdrawal() {
            call.client.checkConnected();
            return call.over ? ExchangeResult.Kind.CANCELLED : toldToEnd(wasReady, invoker);
        }

        /** The desk first (is anybody owed an answer?), then the module. */
        void judged(Classification verdict, InvokerLoadReport told) {
            call.out--;
            code = verdict.code();
            long took = endedAt - sentAt;
            boolean warm = told.start() == StartKind.WARM || told.start() == StartKind.UNKNOWN;
            if (code == ResponseCode.OK && warm) {
                gate.warmResponseServed(endedAt, call.call.function(), took);
            }
            watch.attemptCompleted(code, invoker, said, took);
            boolean ends = verdict.endsRequest() && !call.over;
            RequestOutcome own =
                    came.served() != null
                            ? came.served()
                            : !verdict.functionError()
                                    ? null
                                    : new RequestOutcome.FunctionError(
                                            said.status(),
                                            came.contentType(),
                                            came.body(),
                                            true,
                                            RequestOutcome.AttemptSummary.NONE);
            tell(
                    new PendingRequests.AttemptCompleted(
                            call.id, number, code, own, ends, said.text()));
            if (ends) {
                call.answered = code == ResponseCode.OK || code == ResponseCode.REJECTED;
                over(call.id);
            } else if (call.over && call.out == 0) {
                calls.remove(call.id);
            }
            events.add(
                    new AttemptCompleted(
                            call.id,
                            number,
                            invoker,
                            code,
                            call.over,
                            took,
                            told.start(),
                            told.concurrentRequests(),
                            told.metrics()));
        }
    }

    private void send(SchedulerCommand.ForwardAttempt a) {
        OpenCall call = calls.get(a.id());
        if (call == null) {
            watch.message("the module sent call " + a.id() + ", which is not open");
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
                                && call.attempts.get(attempt.number - 1).code
                                        != ResponseCode.NOT_LOADED
                                && !gate.admitsRetry(now));
        if (moot) {
            attempt.withhold();
        } else if (!links.containsKey(a.invoker())) {
            host.schedule(
                    0,
                    () -> attempt.completed(AttemptResult.of(ExchangeResult.Kind.NOT_CONNECTED)));
        } else {
            judge(new ClassifierEvent.AttemptRequested(call.id, attempt.number, a.invoker()));
        }
    }

    private void go(OpenCall call, int number) {
        Attempt attempt = call.attempts.get(number);
        tell(new PendingRequests.AttemptForwarded(call.id, number));
        String id =
                call.call.forwardedId() != null
                        ? call.call.forwardedId()
                        : call.call.idempotencyKey() != null
                                ? call.call.idempotencyKey().key()
                                : "c" + settings.controllerIndex() + "-" + call.id;
        attempt.cancel =
                links.get(attempt.invoker)
                        .sendAttempt(call.call, id, number, attempt.until - host.now(), attempt);
    }

    private void cancel(SchedulerCommand.CancelAttempt a) {
        OpenCall call = calls.get(a.id());
        if (call != null && a.attempt() >= 0 && a.attempt() < call.attempts.size()) {
            Attempt attempt = call.attempts.get(a.attempt());
            if (attempt.cancel != null) {
                attempt.cancel.run();
            }
        }
    }

    // ---- Orders and probes. ----
    private void order(SchedulerCommand.PreloadFunction a) {
        if (a.instances() > 0 && !ration.tryAcquire(host.now())) {
            host.schedule(
                    0,
                    () ->
                            feed(
                                    new PreloadCompleted(
                                            a.invoker(),
                                            a.function(),
                                            ResponseCode.NOT_SENT,
                                            0,
                                            0)));
            return;
        }
        watch.preloadSent();
        InvokerClient link = links.get(a.invoker());
        long sentAt = host.now();
        if (link == null) {
            host.schedule(
                    0,
                    () ->
                            feed(
                                    new PreloadCompleted(
                                            a.invoker(),
                                            a.function(),
                                            ResponseCode.CONNECT_FAILED,
                                            0,
                                            0)));
            return;
        }
        boolean wasReady = ready.contains(a.invoker());
        link.preload(
                a.function(),
                a.instances(),
                settings.preloading().preloadTimeoutMicros(),
                new InvokerClient.OperationListener() {
                    @Override
                    public ExchangeResult.Kind withdrawal() {
                        return toldToEnd(wasReady, a.invoker());
                    }

                    @Override
                    public void completed(ExchangeResult reply, int copies, LoadMetrics told) {
                        long took = host.now() - sentAt;
                        if (a.instances() > 0) {
                            judge(
                                    new ClassifierEvent.PreloadCompleted(
                                            a.invoker(),
                                            a.function(),
                                            reply,
                                            told.copies(),
                                            took,
                                            functions.apply(a.function()).loadMicros()));
                        }
                        feed(
                                new PreloadCompleted(
                                        a.invoker(),
                                        a.function(),
                                        judge.codeOfPreload(reply),
                                        took,
                                        copies));
                    }
                });
    }

    /**
     * How what has not been sent to an invoker ends that was told to end since that was decided:
     * nothing ran.
     */
    private ExchangeResult.Kind toldToEnd(boolean wasReady, String invoker) {
        return wasReady && !ready.contains(invoker) ? ExchangeResult.Kind.NO_CAPACITY : null;
    }

    private void unload(SchedulerCommand.UnloadFunction a) {
        InvokerClient link = links.get(a.invoker());
        if (link != null) {
            link.unload(a.function(), settings.preloading().preloadTimeoutMicros());
        }
    }

    private void probe(SchedulerCommand.CheckHealth a) {
        InvokerClient link = links.get(a.invoker());
        long sentAt = host.now();
        if (link == null) {
            host.schedule(
                    0,
                    () ->
                            feed(
                                    new HealthCheckCompleted(
                                            a.invoker(),
                                            ResponseCode.CONNECT_FAILED,
                                            0,
                                            Map.of())));
            return;
        }
        link.checkHealth(
                settings.limits().connectTimeoutMicros(),
                (reply, copies, told) ->
                        feed(
                                new HealthCheckCompleted(
                                        a.invoker(),
                                        judge.codeOfPreload(reply),
                                        host.now() - sentAt,
                                        told.report())));
    }

    // ---- The list of invokers and peers. ----
    public void endpointsUpdated(EndpointsUpdated list) {
        if (list.snapshot()) { // what a whole list leaves out is gone, its connections with it
            Set<String> listed = new HashSet<>();
            list.entries().forEach(each -> listed.add(each.id()));
            links.entrySet()
                    .removeIf(
                            each -> {
                                boolean gone = !listed.contains(each.getKey());
                                if (gone) {
                                    each.getValue().close();
                                    watch.invokerRemoved(each.getKey());
                                }
                                return gone;
                            });
        }
        for (InvokerEndpoint each : list.entries()) {
            if (each.state() == EndpointState.GONE) {
                InvokerClient link = links.remove(each.id());
                if (link != null) {
                    link.close();
                }
                watch.invokerRemoved(each.id());
            } else {
                links.computeIfAbsent(
                        each.id(),
                        id ->
                                host.connect(
                                        id,
                                        () -> {
                                            judge(new ClassifierEvent.ConnectionsLost(id));
                                            work();
                                        }));
            }
            if (each.state() != EndpointState.READY) {
                watch.message("invoker " + each.id() + " is told " + each.state());
            }
        }
        states(list);
        judge(new ClassifierEvent.EndpointListReceived(list));
        work();
    }

    /**
     * An invoker is at another address now: its next list entry opens a way there, what is out at
     * the old one ends.
     */
    public void addressChanged(String invoker) {
        InvokerClient link = links.remove(invoker);
        if (link != null) {
            link.close();
        }
    }

    private final HashSet<String> ready = new HashSet<>();

    private void states(EndpointsUpdated list) {
        if (list.snapshot()) {
            ready.clear();
        }
        for (InvokerEndpoint each : list.entries()) {
            if (each.state() == EndpointState.READY) {
                ready.add(each.id());
            } else {
                ready.remove(each.id());
            }
        }
        readyInvokers = ready.size();
    }

    public void endpointUpdateFailed() {
        feed(new SchedulerEvent.EndpointUpdateFailed());
    }

    public void gossipReceived(int peer, byte[] message) {
        feed(new SchedulerEvent.GossipReceived(peer, message));
    }
}
