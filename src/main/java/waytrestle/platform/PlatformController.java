package waytrestle.platform;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import waytrestle.access.AccessLog;
import waytrestle.config.platform.PlatformConfig;
import waytrestle.controller.Controller;
import waytrestle.controller.ControllerDependencies;
import waytrestle.controller.ControllerEnvironment;
import waytrestle.controller.FailureThreshold;
import waytrestle.discovery.watch.WatchClient;
import waytrestle.discovery.watch.WatchEvent;
import waytrestle.discovery.watch.WatchState;
import waytrestle.front.platform.PlatformFrontEnd;
import waytrestle.gateway.GossipSocket;
import waytrestle.http.Doorkeeper;
import waytrestle.http.HttpLimits;
import waytrestle.http.HttpServer;
import waytrestle.invoker.platform.PlatformResponseClassifier;
import waytrestle.net.Loop;
import waytrestle.requests.AdmissionControl;
import waytrestle.requests.IdempotencyStore;
import waytrestle.requests.PendingRequests;
import waytrestle.requests.RequestHandler.FunctionHints;
import waytrestle.runtime.ProcessSignals;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.FinishTimeScheduler;
import waytrestle.scheduler.InvokerEndpoint;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;
import waytrestle.scheduler.SchedulerSettings;

/** A controller on the platform: one loop with its front, invokers, notice board and peers. */
public final class PlatformController {
    // ---- Bounds. ----
    private static final int OWN_FILES =
            48; // descriptors of the runtime, listener, board and peers
    private static final double CLIENTS =
            0.55; // of the other descriptors; the platform's clients hold a third
    private static final HttpLimits HTTP =
            new HttpLimits(
                    1_024,
                    64,
                    8 * 1_024,
                    16 * 1_024,
                    2_000_000,
                    2_000_000,
                    10_000_000,
                    5_000_000); // the platform's bodies have 16 KiB, its clients close after 4 s
    private static final long FRESH =
            2_000_000; // micros from a connection to its first whole request
    private static final long TAKING = 800_000; // micros after TERM in which calls still come
    private static final long LOOK =
            10_000; // micros between looks at what is still open after that
    private static final int FAULTS = 10; // failed decisions that are said to be many ...
    private static final long FAULTS_SPAN = 1_000_000; // ... within these micros
    private static final int READS = 10; // of a configuration that is not whole yet ...
    private static final long READ_PAUSE =
            200; // ... milliseconds apart: two seconds, half of what HUP allows
    private static final int UNANSWERED_PART =
            2; // of the grace for what is told: with a notice board that says nothing in
    // half of it, calls are served by what was known at the start
    private static final long PIECES =
            2_000_000; // micros at the end without an open call: as long as a message may take
    private static final long FLUSH = 100_000; // micros at the end for last answers to leave

    private final PlatformConfig config;
    private final PlatformLog watch;
    private final LongSupplier wallMillis;
    private final Loop loop;
    private final PlatformTransport host;
    private final Map<String, Born> born = new HashMap<>();
    private Controller controller;
    private PlatformFrontEnd front;
    private HttpServer server;
    private WatchClient board;
    private GossipSocket peers;
    private final AtomicLong reloads = new AtomicLong();
    private long reloaded; // number of the reading that counts
    private long openAt; // when a call was open last, after TERM
    private boolean serving, stopping;

    /** A told start, and the same moment on the loop's clock. */
    private record Born(long millis, long micros) {}

    private PlatformController(PlatformConfig config, PlatformLog watch, LongSupplier wallMillis)
            throws IOException {
        this.config = config;
        this.watch = watch;
        this.wallMillis = wallMillis;
        this.loop =
                new Loop(
                        "controller-" + config.settings().controllerIndex(),
                        e -> {
                            watch.message("a handler failed: " + e);
                            watch.trace(e);
                        });
        int others = Math.max(2, config.sockets() - OWN_FILES);
        int clients = (int) Math.max(1, CLIENTS * others);
        this.host =
                new PlatformTransport(
                        loop, config.settings(), config.idleMicros(), others - clients);
        assemble(clients);
    }

    public static PlatformController start(
            PlatformConfig config, LongSupplier wallMillis, PrintStream log) throws IOException {
        PlatformController made = new PlatformController(config, new PlatformLog(log), wallMillis);
        made.loop.start();
        return made;
    }

    private void assemble(int clients) throws IOException {
        SchedulerSettings s = config.settings();
        PendingRequests desk =
                new PendingRequests(
                        s.classes(),
                        s.limits().maxInFlight(),
                        s.tickMicros(),
                        new IdempotencyStore(new IdempotencyStore.Bounds(0, 0, 0), 0),
                        AdmissionControl.ADMIT_ALL,
                        s.limits().mayCancel());
        ControllerDependencies parts =
                new ControllerDependencies(
                        s,
                        new FinishTimeScheduler(s, config.seed()),
                        desk,
                        new PlatformResponseClassifier(),
                        AdmissionControl.ADMIT_ALL,
                        function -> FunctionHints.NONE,
                        new FailureThreshold(FAULTS, FAULTS_SPAN));
        controller =
                new Controller(
                        host,
                        parts,
                        wallMillis,
                        watch,
                        AccessLog.OFF,
                        new ControllerEnvironment() {
                            @Override
                            public void subscribe(
                                    boolean on) {} // the board tells all there is, asked or not

                            @Override
                            public void fetchEndpoints() {}

                            @Override
                            public void sendGossip(int peer, byte[] message) {
                                if (peers != null) {
                                    peers.send(peer, message);
                                }
                            }

                            @Override
                            public void schedulerFailed(String why) {
                                watch.message(
                                        why); // to end would lose every open call for the sake of
                                // some
                            }
                        });
        front = new PlatformFrontEnd(s.classes(), s.preloading(), controller);
        WatchState book = new WatchState(config.lastNotice(), s.rules().drainGraceMicros());
        board =
                new WatchClient(
                        loop,
                        config.board(),
                        config.notices(),
                        book,
                        this::notice,
                        this::serve,
                        watch::message);
        if (s.limits().mayGossip() && config.peerListen() != null) {
            peers =
                    GossipSocket.plain(
                            loop,
                            s.controllerIndex(),
                            config.peerListen(),
                            config.peers(),
                            config.peersAll(),
                            controller::gossipReceived);
        }
        server =
                new HttpServer(loop, config.listen(), HTTP, Doorkeeper.upTo(clients), front)
                        .freshWithin(FRESH)
                        .yielding()
                        .oneAtATime();
        loop.execute(
                () -> {
                    board.start();
                    loop.after(s.rules().drainGraceMicros() / UNANSWERED_PART, this::serve);
                });
    }

    /**
     * Guards against sends to an invoker that was told to end while this process started: what the
     * configuration knows is as old as the start, which on part of a core is most of the grace.
     * Calls wait until the notice board has answered.
     */
    private void serve() {
        if (serving) {
            return;
        }
        serving = true;
        config.known().forEach(this::notice);
        front.ready();
    }

    private void notice(WatchEvent notice) {
        List<InvokerEndpoint> entries = new ArrayList<>(notice.endpoints().size());
        for (WatchEvent.Endpoint h : notice.endpoints()) {
            entries.add(
                    new InvokerEndpoint(
                            h.id(),
                            h.zone(),
                            h.cell(),
                            h.kind(),
                            h.state(),
                            h.weight(),
                            upSince(h)));
            if (h.state() != EndpointState.GONE && host.at(h.id(), h.address())) {
                controller.addressChanged(h.id());
            }
        }
        controller.endpointsUpdated(new EndpointsUpdated(notice.snapshot(), false, entries));
        if (notice.snapshot()) {
            Set<String> ids = new HashSet<>();
            entries.forEach(each -> ids.add(each.id()));
            host.only(ids);
            born.keySet().retainAll(ids);
        }
        for (WatchEvent.Endpoint h : notice.endpoints()) {
            if (h.state() == EndpointState.GONE) {
                host.gone(h.id());
                born.remove(h.id());
            }
        }
    }

    /** The same told start stays the same moment here, however the two clocks drift. */
    private long upSince(WatchEvent.Endpoint h) {
        if (h.startedAtUnixMillis() <= 0) {
            return 0;
        }
        Born known = born.get(h.id());
        if (known == null || known.millis() != h.startedAtUnixMillis()) {
            known =
                    new Born(
                            h.startedAtUnixMillis(),
                            Math.max(
                                    1,
                                    Loop.now()
                                            - (wallMillis.getAsLong() - h.startedAtUnixMillis())
                                                    * 1_000));
            born.put(h.id(), known);
        }
        return known.micros();
    }

    /**
     * A new configuration: the notice board and peers may be elsewhere. One that cannot be read
     * changes nothing and is read again a few times, for it may be half written. Called from any
     * thread: the file is read there and not on the loop. Of two readings at once the one that was
     * asked for last counts, whichever ends last.
     */
    void reload(Path file) {
        long number = reloads.incrementAndGet();
        for (int i = 0; i < READS; i++) {
            try {
                PlatformConfig read = PlatformConfig.read(file);
                loop.execute(() -> reloaded(number, read));
                return;
            } catch (PlatformConfig.Wrong e) {
                loop.execute(
                        () ->
                                watch.message(
                                        "the configuration stays as it was: " + e.getMessage()));
            }
            try {
                Thread.sleep(READ_PAUSE);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void reloaded(long number, PlatformConfig read) {
        if (number < reloaded) {
            return;
        }
        reloaded = number;
        watch.message("a new configuration: the notice board is at " + read.board());
        board.addressChanged(read.board());
        if (peers != null) {
            peers.updatePeers(read.peers(), read.peersAll());
        }
    }

    /**
     * Goes on taking calls for as long as they are sent here, ends those that are open, then ends.
     */
    void stop() {
        loop.execute(
                () -> {
                    if (stopping) {
                        return;
                    }
                    stopping = true;
                    front.stopping();
                    server.closeAfterAnswers();
                    loop.after(
                            TAKING,
                            () -> {
                                server.stopTaking();
                                server.closeIdle();
                                openAt = Loop.now();
                                await();
                            });
                });
    }

    /**
     * What has come in pieces, or is still being read by its client, is waited for too, for a
     * while.
     */
    private void await() {
        long now = Loop.now();
        openAt = controller.inFlight() > 0 ? now : openAt;
        if (controller.inFlight() > 0 || (server.busy() > 0 && now - openAt < PIECES)) {
            loop.after(LOOK, this::await);
            return;
        }
        loop.after(FLUSH, loop::stop);
    }

    int port() {
        return server.port();
    }

    /** Tells, on the loop, how many entries each table has that grows with clients or invokers. */
    void tables(Consumer<Map<String, Integer>> told) {
        loop.execute(
                () ->
                        told.accept(
                                Map.of(
                                        "calls",
                                        controller.retainedEntries(),
                                        "ids",
                                        front.open(),
                                        "addresses",
                                        host.known(),
                                        "starts",
                                        born.size(),
                                        "ways",
                                        controller.invokerClients(),
                                        "clients",
                                        server.connections(),
                                        "timers",
                                        loop.timers())));
    }

    int join(long millis) throws InterruptedException {
        loop.join(millis);
        return loop.failed() ? 3 : 0;
    }

    /** Runs the controller that the platform's environment describes, until it is told to end. */
    public static void main(String[] args) throws InterruptedException {
        String file = System.getenv("BALANCER_CONFIG");
        if (args.length != 1 || file == null || file.isEmpty()) {
            System.err.println(
                    "usage: java -jar waytrestle.jar platform, with BALANCER_CONFIG naming its"
                            + " configuration");
            System.exit(2);
        }
        CompletableFuture<PlatformController> started =
                new CompletableFuture<>(); // a signal may come before there is a node
        if (!ProcessSignals.handle(
                ProcessSignals.RELOAD, () -> started.join().reload(Path.of(file)))) {
            System.err.println(
                    "HUP is ignored by whoever started this, so no new configuration will be read");
        }
        ProcessSignals.handle(ProcessSignals.SHUTDOWN, () -> started.join().stop());
        PlatformController node = null;
        try {
            node = start(PlatformConfig.read(Path.of(file)), System::currentTimeMillis, System.err);
        } catch (PlatformConfig.Wrong | IOException e) {
            System.err.println("waytrestle: " + e.getMessage());
            System.exit(2);
        }
        started.complete(node);
        Runtime.getRuntime().halt(node.join(0));
    }
}
