package waytrestle.play;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import waytrestle.config.ConfigException;
import waytrestle.config.GatewayConfig;
import waytrestle.net.Loop;
import waytrestle.scheduler.SchedulerSettings;
import waytrestle.standin.Actor;
import waytrestle.standin.Env;
import waytrestle.standin.InvokerModel;
import waytrestle.standin.InvokerStandIn;
import waytrestle.standin.LoopEnv;
import waytrestle.standin.RosterStandIn;
import waytrestle.standin.StoreModel;

/**
 * Plays a scenario against real gateway processes over sockets, in real time. Invokers, roster and
 * store run on one loop, clients on another; what they see goes to the evidence, from which alone
 * the audit judges.
 */
public final class Play implements Troubles.Stage {
    /** Starts one controller by its configuration; what it returns is told to end. */
    public interface Starter {
        Running start(int number, Path config) throws IOException;
    }

    /** A controller under way. */
    public interface Running {
        void kill();

        void stop();

        boolean alive();
    }

    private static final int MOST = 16;
    private static final long SETTLE =
            1_100; // ms: what is signed in the second of a start is refused

    private final Scenario scenario;
    private final Path dir;
    private final Starter starter;
    private final PrintWriter progress;
    private final Evidence evidence;
    private final Loop fleetLoop, clientLoop;
    private final Env env;
    private final Random random;
    private final List<Path> configs = new ArrayList<>();
    private final List<SocketChannel> heldPorts = new ArrayList<>();
    private final Map<Integer, Running> running = new HashMap<>();
    private final List<Actor> invokers = new ArrayList<>();
    private final Map<String, Scenario.Fleet> fleetOf = new HashMap<>();
    private final Map<String, Map<String, Long>> keysOfGroup = new HashMap<>();
    private final Map<String, InvokerModel.Function> functions = new HashMap<>();
    private final List<Clients.Target> targets = new ArrayList<>();
    private final List<Double> weights = new ArrayList<>();
    private final List<Throwable> broken = Collections.synchronizedList(new ArrayList<>());
    private RosterStandIn roster;
    private StoreModel store;
    private Clients clients;
    private GatewayConfig config;

    public Play(Scenario scenario, Path dir, Starter starter, PrintWriter progress)
            throws IOException {
        if (scenario.controllers() > MOST) {
            throw new IOException(
                    "play.controllers: a play starts a process for each, "
                            + MOST
                            + " at most; emulate takes more");
        }
        this.scenario = scenario;
        this.dir = dir;
        this.starter = starter;
        this.progress = progress;
        this.evidence = new Evidence(dir);
        this.fleetLoop = new Loop("fleet", broken::add);
        this.clientLoop = new Loop("clients", broken::add);
        this.random = new Random(scenario.seed());
        this.env = new LoopEnv(fleetLoop);
    }

    /** Plays the whole day; throws what broke in the stand-ins themselves. */
    public void run() throws IOException, InterruptedException, ConfigException {
        try {
            List<Integer> ports = ports(2 * scenario.controllers());
            RosterStandIn made = new RosterStandIn(fleetLoop, 0, evidence);
            roster = made;
            for (int i = 0; i < scenario.controllers(); i++) {
                configs.add(write(i, ports.get(2 * i), ports.get(2 * i + 1)));
            }
            config = GatewayConfig.read(configs.get(0));
            fleet();
            fleetLoop.start();
            for (int i = 0; i < scenario.controllers(); i++) {
                running.put(i, starter.start(i, configs.get(i)));
                evidence.saw("play", "controller_up", "controller", i);
            }
            ready(ports);
            Thread.sleep(SETTLE);
            load(ports);
            clientLoop.start();
            Troubles troubles =
                    new Troubles(
                            scenario, env, random, invokers, fleetOf, targets, this, evidence,
                            progress);
            fleetLoop.execute(troubles::begin);
            clientLoop.execute(clients::start);
            long end = Loop.nowMicros() + scenario.lengthMicros();
            while (Loop.nowMicros() < end) {
                Thread.sleep(Math.max(1, Math.min(1_000, (end - Loop.nowMicros()) / 1_000)));
                progress.printf("%5.0f s  %s%n", evidence.now() / 1e6, clients.line());
            }
            finish();
        } finally {
            running.values().forEach(Running::kill);
            fleetLoop.stop();
            clientLoop.stop();
            for (SocketChannel held : heldPorts) {
                held.close();
            }
            evidence.close();
        }
        if (!broken.isEmpty()) {
            throw new IOException("a stand-in failed: " + broken.get(0), broken.get(0));
        }
    }

    private void finish() throws InterruptedException {
        clientLoop.execute(clients::stop);
        long most =
                config.schedulerSettings().classes().stream()
                                .mapToLong(c -> c.deadlineMicros())
                                .max()
                                .orElse(0)
                        + 2_000_000;
        for (long until = Loop.nowMicros() + most;
                Loop.nowMicros() < until && clients.open() > 0; ) {
            Thread.sleep(20);
        }
        onLoop(clientLoop, clients::finish);
        running.values().forEach(Running::stop);
    }

    private static void onLoop(Loop loop, Runnable task) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(
                () -> {
                    task.run();
                    done.countDown();
                });
        done.await(10, TimeUnit.SECONDS);
    }

    /**
     * Ports that the system chose. They stay bound here, without listening, for as long as the play
     * lasts: the controllers may listen on them, again and again, but no connection or stand-in is
     * given one in between.
     */
    private List<Integer> ports(int n) throws IOException {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            SocketChannel held = SocketChannel.open();
            heldPorts.add(held);
            held.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            held.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            all.add(((InetSocketAddress) held.getLocalAddress()).getPort());
        }
        return all;
    }

    /** Waits until each controller says that it is ready. */
    private void ready(List<Integer> ports) throws IOException, InterruptedException {
        HttpClient http = HttpClient.newHttpClient();
        for (int i = 0; i < scenario.controllers(); i++) {
            HttpRequest ask =
                    HttpRequest.newBuilder(
                                    URI.create(
                                            "http://127.0.0.1:"
                                                    + ports.get(2 * i + 1)
                                                    + "/health/ready"))
                            .build();
            for (long until = Loop.nowMicros() + 20_000_000; ; Thread.sleep(50)) {
                try {
                    if (http.send(ask, HttpResponse.BodyHandlers.discarding()).statusCode()
                            == 200) {
                        break;
                    }
                } catch (IOException notYet) {
                    // it is still starting
                }
                if (Loop.nowMicros() > until) {
                    throw new IOException(
                            "controller "
                                    + i
                                    + " did not become ready within 20 s; see "
                                    + dir.resolve("gateway-" + i + ".log"));
                }
            }
        }
    }

    private Path write(int number, int port, int admin) throws IOException {
        Path file = dir.resolve("gateway-" + number + ".toml");
        Files.writeString(file, Cast.config(scenario, number, port, admin, roster.port()));
        return file;
    }

    private void fleet() throws IOException {
        SchedulerSettings s = config.schedulerSettings();
        targets.addAll(Cast.targets(scenario, s, functions, weights));
        store = new StoreModel(env, scenario.store().atOnce(), scenario.store().refuseOver());
        for (Scenario.Fleet f : scenario.fleets()) {
            InvokerModel.Shape shape = Cast.shape(scenario, f, config);
            for (int i = 0; i < f.count(); i++) {
                InvokerStandIn made =
                        new InvokerStandIn(
                                fleetLoop,
                                env,
                                0,
                                functions,
                                cold -> new InvokerModel(env, store, shape, cold),
                                keysOfGroup.computeIfAbsent(Cast.group(s, f), c -> new HashMap<>()),
                                Cast.window(s),
                                evidence,
                                random.nextLong());
                invokers.add(made);
                fleetOf.put(made.id(), f);
                evidence.saw(
                        made.id(), "began", "cores", f.cores(), "zone", f.zone(), "cell", f.cell());
                list(made.id(), "passing", 0);
            }
        }
    }

    private void load(List<Integer> ports) {
        List<InetSocketAddress> at = new ArrayList<>();
        for (int i = 0; i < scenario.controllers(); i++) {
            at.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.get(2 * i)));
        }
        clients =
                new Clients(
                        new LoopEnv(clientLoop),
                        evidence,
                        config.schedulerSettings().classes(),
                        scenario.load(),
                        targets,
                        weights.stream().mapToDouble(w -> w).toArray(),
                        new HttpWay(clientLoop, at, config.schedulerSettings().classes()),
                        scenario.seed());
    }

    // ---- What troubles act on. ----
    @Override
    public void list(String id, String state, long startedAt) {
        if (state.equals("gone")) {
            roster.remove(id);
            return;
        }
        Scenario.Fleet f = fleetOf.get(id);
        long ms =
                startedAt == 0
                        ? 0
                        : System.currentTimeMillis() - (Loop.nowMicros() - startedAt) / 1_000;
        roster.set(new RosterStandIn.Instance(id, f.zone(), f.cell(), f.kind(), state, ms));
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
        clientLoop.execute(task);
    }

    @Override
    public void broken(Exception e) {
        broken.add(e);
    }

    @Override
    public void bounce(int number, long backAfter, boolean killed) {
        Running one = running.get(number);
        evidence.saw(
                "play", killed ? "controller_killed" : "controller_stopped", "controller", number);
        if (killed) {
            one.kill();
        } else {
            one.stop();
        }
        startAgain(number, one, backAfter);
    }

    /** Once the old process has ended: it holds its ports until then. */
    private void startAgain(int number, Running old, long backAfter) {
        fleetLoop.after(
                backAfter,
                () -> {
                    if (old.alive()) {
                        startAgain(number, old, 50_000);
                        return;
                    }
                    try {
                        running.put(number, starter.start(number, configs.get(number)));
                        evidence.saw("play", "controller_up", "controller", number);
                    } catch (IOException e) {
                        broken.add(e);
                    }
                });
    }
}
