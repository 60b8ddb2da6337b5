package waytrestle.emulator;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import waytrestle.Bytes;
import waytrestle.access.AccessLog;
import waytrestle.config.ConfigException;
import waytrestle.config.GatewayConfig;
import waytrestle.config.TomlFile;
import waytrestle.controller.Controller;
import waytrestle.controller.ControllerEnvironment;
import waytrestle.discovery.EndpointDirectory;
import waytrestle.discovery.PollFreshness;
import waytrestle.front.FrontEnds;
import waytrestle.gateway.GatewayControllerListener;
import waytrestle.http.ExchangeFailure;
import waytrestle.metrics.Metrics;
import waytrestle.overload.OverloadControl;
import waytrestle.play.Cast;
import waytrestle.play.Clients;
import waytrestle.play.Evidence;
import waytrestle.play.Scenario;
import waytrestle.play.Troubles;
import waytrestle.requests.AdmissionControl;
import waytrestle.requests.IdempotencyStore;
import waytrestle.requests.RequestHandler;
import waytrestle.scheduler.DiscoveryMode;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.InvokerEndpoint;
import waytrestle.scheduler.RequestScheduler;
import waytrestle.scheduler.SchedulerCommand.Sink;
import waytrestle.scheduler.SchedulerEvent;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;
import waytrestle.scheduler.SchedulerSettings;
import waytrestle.scheduler.SchedulerSettings.RequestClass;
import waytrestle.standin.InvokerBody;
import waytrestle.standin.InvokerModel;
import waytrestle.standin.Sightings;
import waytrestle.standin.StoreModel;

/**
 * Runs a scenario in simulated time, on one thread and reproducible by its seed. Controllers, desk,
 * memory, overload modules and the decisions are those of service; invokers, store and clients are
 * those of a play; the network and the roster's feed are models here. The evidence is of the same
 * form and judged by the same audit.
 */
public final class Emulation implements Troubles.Stage {
    // ---- The network, micros; set by the calibration in docs/measurements.md. ----
    private static final long NEAR = 150; // one way within a zone, sockets and loops included
    private static final long FAR = 1_000; // between zones
    private static final long START_UP = 400_000; // a controller's process until it takes calls

    private final Scenario scenario;
    private final Controller.SchedulerFactory maker;
    private final boolean overload;
    private final SimClock clock = new SimClock();
    private final Random random;
    private final SplittableRandom jitter;
    private final Sightings evidence;
    private final Runnable close;
    private final GatewayConfig[] configs;
    private final SimController[] controllers;
    private final Map<String, InvokerBody> invokers = new LinkedHashMap<>();
    private final Map<String, Scenario.Fleet> fleetOf = new HashMap<>();
    private final Map<String, EndpointDirectory.RegisteredEndpoint> listed = new LinkedHashMap<>();
    private final Map<String, InvokerModel.Function> functions = new HashMap<>();
    private final StoreModel store;
    private Clients clients;
    private long index = 1, failedDecisions, stepped;
    private Exception broken;

    /** Sees everything that is to be seen, with the micros since the day's beginning. */
    public interface Witness {
        void saw(long at, String who, String what, Object... pairs);
    }

    /** What is left when a day is over, of the controllers that are still up. */
    public record Leftovers(
            long failedDecisions, long held, String text, List<RequestScheduler> modules) {}

    /** Writes its evidence and the controllers' configurations into a directory. */
    public Emulation(
            Scenario scenario, Path dir, Controller.SchedulerFactory maker, boolean overload)
            throws IOException, ConfigException {
        this(scenario, Files.createDirectories(dir), maker, overload, null);
    }

    /** Shows what is seen to a witness; without a directory nothing is written. */
    public Emulation(
            Scenario scenario,
            Path dir,
            Controller.SchedulerFactory maker,
            boolean overload,
            Witness witness)
            throws IOException, ConfigException {
        this.scenario = scenario;
        this.maker = maker;
        this.overload = overload;
        this.random = new Random(scenario.seed());
        this.jitter = new SplittableRandom(scenario.seed() + 1);
        if (witness == null) {
            Evidence written = new Evidence(dir, clock::now);
            this.evidence = written;
            this.close =
                    () -> {
                        try {
                            written.close();
                        } catch (IOException e) {
                            broken = e;
                        }
                    };
        } else {
            long began = clock.now();
            this.evidence =
                    (who, what, pairs) -> witness.saw(clock.now() - began, who, what, pairs);
            this.close = () -> {};
        }
        this.configs = new GatewayConfig[scenario.controllers()];
        this.controllers = new SimController[scenario.controllers()];
        this.store =
                new StoreModel(clock, scenario.store().atOnce(), scenario.store().refuseOver());
        for (int i = 0; i < configs.length; i++) {
            String text = Cast.config(scenario, i, 0, 0, 1);
            if (dir != null) {
                Files.writeString(dir.resolve("gateway-" + i + ".toml"), text);
            }
            configs[i] = TomlFile.parse(text, "gateway-" + i + ".toml", GatewayConfig::from);
        }
    }

    /** The settings that all controllers share but for their number and zone. */
    public SchedulerSettings settings() {
        return configs[0].schedulerSettings();
    }

    public double attemptsPerCall() {
        return configs[0].classifier().attemptsPerRequest();
    }

    /** What is held though all calls are over; asked after {@link #run}. */
    public Leftovers leftovers() {
        long held = 0;
        StringBuilder text = new StringBuilder();
        List<RequestScheduler> modules = new ArrayList<>();
        for (SimController c : controllers) {
            if (c.up) {
                modules.add(c.module);
                int here =
                        c.controller.retainedEntries() + c.controller.inFlight() + c.host.connect();
                held += here;
                if (here > 0 && text.length() < 200) {
                    text.append("controller ")
                            .append(c.number)
                            .append(": ")
                            .append(c.controller.retainedEntries())
                            .append(" held, ")
                            .append(c.controller.inFlight())
                            .append(" open, ")
                            .append(c.host.connect())
                            .append(" attempts; ");
                }
            }
        }
        return new Leftovers(failedDecisions, held, text.toString(), modules);
    }

    /** The work of a call as its payload tells it, in micros. */
    static long workOf(RequestHandler.IncomingRequest call) {
        String text = new String(call.payload().array(), StandardCharsets.US_ASCII);
        int at = text.indexOf("\"work_ms\":");
        return at < 0
                ? 10_000
                : (long)
                        (Double.parseDouble(text.substring(at + 10, text.indexOf('}', at)))
                                * 1_000);
    }

    private long delay(boolean far) {
        long base = far ? FAR : NEAR;
        return base / 2 + jitter.nextLong(base);
    }

    private boolean far(int controller, String invoker) {
        Scenario.Fleet f = fleetOf.get(invoker);
        return f != null
                && !f.zone()
                        .equals(
                                configs[controller]
                                        .zones()
                                        .get(configs[controller].schedulerSettings().zone()));
    }

    /** Runs the whole day; the wall time that it took is in the answer. */
    public long run(PrintWriter progress) throws IOException {
        long began = System.nanoTime();
        SchedulerSettings s = configs[0].schedulerSettings();
        List<Double> weights = new ArrayList<>();
        List<Clients.Target> targets = Cast.targets(scenario, s, functions, weights);
        int number = 0;
        Map<String, Map<String, Long>> keys = new HashMap<>();
        for (Scenario.Fleet f : scenario.fleets()) {
            InvokerModel.Shape shape = Cast.shape(scenario, f, configs[0]);
            for (int i = 0; i < f.count(); i++) {
                String id =
                        "10."
                                + number / 65_536
                                + "."
                                + number / 256 % 256
                                + "."
                                + number++ % 256
                                + ":7000";
                InvokerBody body =
                        new InvokerBody(
                                id,
                                clock,
                                functions,
                                cold -> new InvokerModel(clock, store, shape, cold),
                                keys.computeIfAbsent(Cast.group(s, f), c -> new HashMap<>()),
                                Cast.window(s),
                                evidence,
                                random.nextLong()) {
                            @Override
                            public void crash() {
                                boolean was = up();
                                super.crash();
                                if (was) {
                                    for (SimController c : controllers) {
                                        c.host.broke(this.id());
                                    }
                                }
                            }
                        };
                invokers.put(id, body);
                fleetOf.put(id, f);
                evidence.saw(id, "began", "cores", f.cores(), "zone", f.zone(), "cell", f.cell());
                list(id, "passing", 0);
            }
        }
        for (int i = 0; i < controllers.length; i++) {
            controllers[i] = new SimController(i);
        }
        clients =
                new Clients(
                        clock,
                        evidence,
                        s.classes(),
                        scenario.load(),
                        targets,
                        weights.stream().mapToDouble(w -> w).toArray(),
                        new SimWay(s.classes()),
                        scenario.seed());
        Troubles troubles =
                new Troubles(
                        scenario,
                        clock,
                        random,
                        new ArrayList<>(invokers.values()),
                        fleetOf,
                        targets,
                        this,
                        evidence,
                        progress);
        clock.runUntil(clock.now() + 100_000);
        clock.after(0, troubles::begin);
        clock.after(0, clients::start);
        clock.runUntil(clock.now() + scenario.lengthMicros());
        clients.stop();
        long most =
                s.classes().stream().mapToLong(RequestClass::deadlineMicros).max().orElse(0)
                        + 2_000_000;
        clock.runUntil(clock.now() + most);
        close.run();
        if (broken != null) {
            throw new IOException("the emulation failed: " + broken, broken);
        }
        return (System.nanoTime() - began) / 1_000;
    }

    public long tasks() {
        return clock.done();
    }

    // ---- Controllers. ----
    private final class SimController {
        private final int number;
        private final Controller controller;
        private final SimHost host;
        private final EndpointDirectory book;
        private final Map<String, String> told = new HashMap<>();
        private boolean up = true, stopping, subscribed;
        private RequestScheduler module;
        private final Set<Runnable> cuts = new LinkedHashSet<>();

        private SimController(int number) {
            this.number = number;
            GatewayConfig c = configs[number];
            host = new SimHost(clock, (from, to) -> delay(far(from, to)), number, invokers::get);
            OverloadControl modules =
                    new OverloadControl(
                            c.overload(),
                            c.schedulerSettings().limits().maxInFlight(),
                            c.schedulerSettings().tenants(),
                            c.tenantLimits(),
                            c.schedulerSettings().classes());
            GatewayControllerListener watch =
                    new GatewayControllerListener(
                            c,
                            (settings, seed) -> {
                                module = maker.create(settings, seed);
                                return watched(module);
                            },
                            overload && c.overload().enabled()
                                    ? modules
                                    : AdmissionControl.ADMIT_ALL,
                            new Metrics(false),
                            (clock.now() + stepped) / 1_000_000);
            controller =
                    new Controller(
                            host,
                            watch.dependencies(),
                            () -> (clock.now() + stepped) / 1_000,
                            watch,
                            AccessLog.OFF,
                            new ControllerEnvironment() {
                                @Override
                                public void subscribe(boolean on) {
                                    subscribed = on;
                                    news();
                                }

                                @Override
                                public void fetchEndpoints() {
                                    news();
                                }

                                @Override
                                public void sendGossip(int peer, byte[] message) {}

                                @Override
                                public void schedulerFailed(String why) {
                                    Emulation.this.broken = new IllegalStateException(why);
                                }
                            });
            subscribed = c.schedulerSettings().discovery() == DiscoveryMode.PUSH;
            book =
                    new EndpointDirectory(
                            200_000, 5_000_000, !subscribed, c.seed(), PollFreshness.Limits.NONE);
            evidence.saw("play", "controller_up", "controller", number);
            if (!subscribed) { // the module subscribes once it has been told its list, empty as yet
                controller.endpointsUpdated(new EndpointsUpdated(true, true, List.of()));
            }
            news();
        }

        /** The roster's feed: the whole list, of which the book tells the changes. */
        private void news() {
            clock.after(
                    delay(true),
                    () -> {
                        if (!up || !subscribed) {
                            return;
                        }
                        Map<String, String> now = new HashMap<>();
                        listed.forEach(
                                (id, l) ->
                                        now.put(
                                                id,
                                                l.endpoint().state() == EndpointState.READY
                                                        ? "passing"
                                                        : "critical"));
                        told.keySet().forEach(id -> now.putIfAbsent(id, "gone"));
                        now.forEach(
                                (id, state) -> {
                                    EndpointDirectory.RegisteredEndpoint entry = listed.get(id);
                                    String news =
                                            state
                                                    + (entry == null
                                                            ? ""
                                                            : entry.endpoint().startedAtMicros());
                                    if (!news.equals(told.put(id, news))) {
                                        evidence.saw(
                                                "roster",
                                                "told",
                                                "controller",
                                                number,
                                                "invoker",
                                                id,
                                                "state",
                                                state);
                                    }
                                });
                        book.handle(
                                clock.now(),
                                new EndpointDirectory.SnapshotReceived(
                                        index, List.copyOf(listed.values()), clock.now()),
                                action -> {
                                    if (action instanceof EndpointDirectory.PublishUpdate tell) {
                                        controller.endpointsUpdated(tell.update());
                                    }
                                });
                    });
        }

        private void kill() {
            up = false;
            host.die();
            List.copyOf(cuts).forEach(Runnable::run);
        }
    }

    @Override
    public void list(String id, String state, long startedAt) {
        index++;
        if (state.equals("gone")) {
            listed.remove(id);
        } else {
            Scenario.Fleet f = fleetOf.get(id);
            GatewayConfig c = configs[0];
            listed.put(
                    id,
                    new EndpointDirectory.RegisteredEndpoint(
                            new InvokerEndpoint(
                                    id,
                                    Math.max(0, c.zones().indexOf(f.zone())),
                                    f.cell(),
                                    Math.max(0, c.invokerKinds().indexOf(f.kind())),
                                    state.equals("passing")
                                            ? EndpointState.READY
                                            : EndpointState.DRAINING,
                                    1,
                                    startedAt),
                            0));
        }
        for (SimController c : controllers) {
            if (c != null && c.up) {
                c.news();
            }
        }
    }

    @Override
    public void bounce(int number, long backAfter, boolean killed) {
        SimController c = controllers[number];
        if (!c.up || c.stopping) {
            return; // it is away already, and comes back but once
        }
        evidence.saw(
                "play", killed ? "controller_killed" : "controller_stopped", "controller", number);
        if (killed) {
            c.kill();
        } else {
            c.stopping = true;
            c.controller.startShutdown();
        }
        restart(number, c, backAfter + START_UP);
    }

    /** A stopping process takes nothing new and ends when nothing is open, or after its grace. */
    private void restart(int number, SimController old, long after) {
        long until = clock.now() + configs[number].shutdownGraceMicros();
        clock.after(
                after,
                () -> {
                    if (old.up && old.controller.inFlight() > 0 && clock.now() < until) {
                        restart(number, old, 50_000);
                        return;
                    }
                    if (old.up) {
                        old.controller.shutdownGraceExpired();
                        old.kill();
                    }
                    controllers[number] = new SimController(number);
                });
    }

    /** Counts decisions that threw; the controller survives them as in service. */
    private RequestScheduler watched(RequestScheduler module) {
        return new RequestScheduler() {
            @Override
            public void handle(long now, SchedulerEvent event, Sink out) {
                try {
                    module.handle(now, event, out);
                } catch (RuntimeException | StackOverflowError e) {
                    failedDecisions++;
                    throw e;
                }
            }

            @Override
            public long estimateMicros() {
                return module.estimateMicros();
            }
        };
    }

    @Override
    public void stepClock(long micros) {
        stepped += micros;
    }

    @Override
    public StoreModel store() {
        return store;
    }

    @Override
    public Clients clients() {
        return clients;
    }

    @Override
    public void onClients(Runnable task) {
        task.run();
    }

    @Override
    public void broken(Exception e) {
        broken = e;
    }

    // ---- Clients. ----
    private final class SimWay implements Clients.Way {
        private final List<RequestClass> classes;

        private SimWay(List<RequestClass> classes) {
            this.classes = classes;
        }

        @Override
        public int controllers() {
            return controllers.length;
        }

        @Override
        public long strays(int controller) {
            return 0;
        }

        @Override
        public void call(int number, Clients.Call call, long within, Clients.Handler handler) {
            boolean[] over = {false};
            RequestHandler.PendingResponse[] ticket = {null};
            RequestClass kind = classes.get(call.target().requestClass());
            clock.after(
                    delay(false),
                    () -> {
                        SimController c = controllers[number];
                        if (over[0]) {
                            return;
                        }
                        if (!c.up || c.stopping) {
                            clock.after(
                                    delay(false),
                                    () ->
                                            end(
                                                    over,
                                                    () ->
                                                            handler.broken(
                                                                    ExchangeFailure
                                                                            .NO_CONNECTION)));
                            return;
                        }
                        Runnable cut =
                                () ->
                                        end(
                                                over,
                                                () ->
                                                        handler.broken(
                                                                ExchangeFailure.AFTER_FIRST_BYTE));
                        c.cuts.add(cut);
                        byte[] payload =
                                ("{\"work_ms\":" + call.workMs() + "}")
                                        .getBytes(StandardCharsets.US_ASCII);
                        String key = Clients.seenId(call, classes);
                        ticket[0] =
                                c.controller.accept(
                                        new RequestHandler.IncomingRequest(
                                                call.target().requestClass(),
                                                -1,
                                                call.target().function(),
                                                new IdempotencyStore.KeyedRequest(
                                                        key,
                                                        kind.idempotency(),
                                                        kind.deduplicationWindowMicros(),
                                                        c.controller.wallSeconds() + 1,
                                                        1),
                                                key.hashCode() | 1L << 40,
                                                kind.deadlineMicros()
                                                        - configs[number].transitMicros(),
                                                "application/json",
                                                Bytes.of(payload),
                                                -1),
                                        e -> {
                                            c.cuts.remove(cut);
                                            clock.after(
                                                    delay(false),
                                                    () ->
                                                            end(
                                                                    over,
                                                                    () ->
                                                                            handler.answered(
                                                                                    FrontEnds
                                                                                            .httpStatus(
                                                                                                    e),
                                                                                    FrontEnds
                                                                                                            .httpStatus(
                                                                                                                    e)
                                                                                                    != 200
                                                                                            && FrontEnds
                                                                                                    .isRetryHarmless(
                                                                                                            e),
                                                                                    FrontEnds
                                                                                            .retryAfterMillis(
                                                                                                    e))));
                                        });
                    });
            clock.after(
                    within,
                    () ->
                            end(
                                    over,
                                    () -> {
                                        if (ticket[0] != null) {
                                            ticket[0].clientDisconnected();
                                        }
                                        handler.broken(ExchangeFailure.TIMEOUT);
                                    }));
        }

        private void end(boolean[] over, Runnable told) {
            if (!over[0]) {
                over[0] = true;
                told.run();
            }
        }
    }
}
