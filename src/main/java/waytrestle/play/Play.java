package waytrestle.play;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import waytrestle.ControlApi.Settings;
import waytrestle.config.ConfigError;
import waytrestle.config.GatewayConfig;
import waytrestle.config.TomlFile;
import waytrestle.net.Loop;
import waytrestle.standin.Env;
import waytrestle.standin.InvokerModel;
import waytrestle.standin.InvokerStandIn;
import waytrestle.standin.RosterStandIn;
import waytrestle.standin.StoreModel;

/**
 * Plays a scenario against real gateway processes over sockets, in real time. Invokers, roster and store run on one
 * loop, clients on another; what they see goes to the evidence, from which alone the audit judges.
 */
public final class Play {
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

    private static final long SETTLE = 1_100;  // ms: what is signed in the second of a start is refused
    private static final String SECRET = "whsec_" + Base64.getEncoder().encodeToString(new byte[32]).replace('A', 'p');

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
    private final List<InvokerStandIn> invokers = new ArrayList<>();
    private final Map<String, Scenario.Fleet> fleetOf = new HashMap<>();
    private final Map<Integer, Map<String, Long>> keysOfCell = new HashMap<>();
    private final Map<String, InvokerModel.Function> functions = new HashMap<>();
    private final List<Clients.Target> targets = new ArrayList<>();
    private final List<Double> weights = new ArrayList<>();
    private final List<Throwable> broken = Collections.synchronizedList(new ArrayList<>());
    private RosterStandIn roster;
    private StoreModel store;
    private Clients clients;
    private GatewayConfig config;
    private long rosterLag;

    public Play(Scenario scenario, Path dir, Starter starter, PrintWriter progress) throws IOException {
        this.scenario = scenario;
        this.dir = dir;
        this.starter = starter;
        this.progress = progress;
        this.evidence = new Evidence(dir);
        this.fleetLoop = new Loop("fleet", broken::add);
        this.clientLoop = new Loop("clients", broken::add);
        this.random = new Random(scenario.seed());
        this.rosterLag = scenario.rosterLagMicros();
        this.env = new Env() {
            @Override
            public long now() {
                return Loop.now();
            }

            @Override
            public void after(long micros, Runnable task) {
                fleetLoop.after(micros, task);
            }
        };
    }

    /** Plays the whole day; throws what broke in the stand-ins themselves. */
    public void run() throws IOException, InterruptedException, ConfigError {
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
            fleetLoop.execute(() -> scenario.troubles().forEach(t ->
                    fleetLoop.after(t.atMicros(), () -> inflict(t))));
            clients.start();
            long end = Loop.now() + scenario.lengthMicros();
            while (Loop.now() < end) {
                Thread.sleep(Math.max(1, Math.min(1_000, (end - Loop.now()) / 1_000)));
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
        long most = config.module().classes().stream().mapToLong(c -> c.deadlineMicros()).max().orElse(0) + 2_000_000;
        for (long until = Loop.now() + most; Loop.now() < until && clients.open() > 0;) {
            Thread.sleep(20);
        }
        onLoop(clientLoop, clients::finish);
        running.values().forEach(Running::stop);
    }

    private static void onLoop(Loop loop, Runnable task) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(() -> {
            task.run();
            done.countDown();
        });
        done.await(10, TimeUnit.SECONDS);
    }

    /**
     * Ports that the system chose. They stay bound here, without listening, for as long as the play lasts: the
     * controllers may listen on them, again and again, but no connection or stand-in is given one in between.
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
        java.net.http.HttpClient http = java.net.http.HttpClient.newHttpClient();
        for (int i = 0; i < scenario.controllers(); i++) {
            java.net.http.HttpRequest ask = java.net.http.HttpRequest.newBuilder(java.net.URI.create("http://127.0.0.1:"
                    + ports.get(2 * i + 1) + "/health/ready")).build();
            for (long until = Loop.now() + 20_000_000; ; Thread.sleep(50)) {
                try {
                    if (http.send(ask, java.net.http.HttpResponse.BodyHandlers.discarding()).statusCode() == 200) {
                        break;
                    }
                } catch (IOException notYet) {
                    // it is still starting
                }
                if (Loop.now() > until) {
                    throw new IOException("controller " + i + " did not become ready within 20 s; see "
                            + dir.resolve("gateway-" + i + ".log"));
                }
            }
        }
    }

    /** The configuration of one controller: the scenario's part and what only this place knows. */
    private Path write(int number, int port, int admin) throws IOException, ConfigError {
        StringBuilder out = new StringBuilder();
        String zone = scenario.fleets().get(number % scenario.fleets().size()).zone();
        List<String> zones = scenario.fleets().stream().map(Scenario.Fleet::zone).distinct().toList();
        out.append("[controller]\nnumber = ").append(number).append("\ncount = ").append(scenario.controllers())
                .append("\nzone = \"").append(zone).append("\"\nzones = [\"").append(String.join("\", \"", zones))
                .append("\"]\nseed = ").append(scenario.seed() * 1_000 + number)
                .append("\ntick_ms = 10\nweight_kind = \"none\"\nover_share_worth = 0.1\n\n[listen]\naddress = \"127.0.0.1:")
                .append(port).append("\"\nadmin = \"127.0.0.1:").append(admin).append("\"\n\n[roster]\naddress = \"127.0.0.1:")
                .append(roster.port()).append("\"\ndiscovery = \"pushed\"\nwait_ms = 5000\n\n");
        out.append(scenario.gateway()).append('\n');
        List<String> classNames = TomlFile.names(scenario.gateway(), "class");
        for (String each : classNames) {
            out.append("[[endpoint]]\npath = \"/hooks/").append(each).append("\"\nclass = \"").append(each)
                    .append("\"\nfunction_pointer = \"/function\"\nsecrets = [\"").append(SECRET).append("\"]\n\n");
        }
        if (scenario.load().kserveShare() > 0) {
            out.append("[kserve]\nclass = \"").append(classNames.get(0)).append("\"\n[[kserve.key]]\nsha256 = \"")
                    .append(sha256(Clients.BEARER)).append("\"\n\n");
        }
        for (Scenario.Functions f : scenario.functions()) {
            for (int i = 0; i < f.count(); i++) {
                out.append("[[function]]\nclass = \"").append(f.requestClass()).append("\"\nname = \"").append(f.name()).append('-').append(i).append("\"\nmemory_mb = ")
                        .append(f.memoryMb()).append("\nlanes = ").append(f.lanes()).append("\nload_ms = ")
                        .append(f.loadMicros() / 1e3).append("\n\n");
            }
        }
        Path file = dir.resolve("gateway-" + number + ".toml");
        Files.writeString(file, out);
        return file;
    }

    private static String sha256(String text) {
        try {
            return java.util.HexFormat.of().formatHex(java.security.MessageDigest.getInstance("SHA-256")
                    .digest(text.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
        } catch (java.security.NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java lacks SHA-256", e);
        }
    }

    private void fleet() throws IOException {
        Settings s = config.module();
        for (Scenario.Functions f : scenario.functions()) {
            int at = -1;
            for (int i = 0; i < s.classes().size(); i++) {
                at = s.classes().get(i).name().equals(f.requestClass()) ? i : at;
            }
            if (at < 0) {
                throw new IOException("functions." + f.name() + ": class names none of gateway.class: "
                        + f.requestClass());
            }
            boolean keyed = s.classes().get(at).repeat() == waytrestle.ControlApi.Repeat.KEYED;
            double sum = 0;
            for (int i = 0; i < f.count(); i++) {
                sum += Math.pow(i + 1, -f.zipf());
            }
            for (int i = 0; i < f.count(); i++) {
                String name = f.name() + "-" + i;
                functions.put(name, new InvokerModel.Function(name, f.memoryMb(), f.lanes(), f.loadMicros(), keyed));
                targets.add(new Clients.Target(name, at, f.workMs()));
                weights.add(f.share() * Math.pow(i + 1, -f.zipf()) / sum);
            }
        }
        store = new StoreModel(env, scenario.store().atOnce(), scenario.store().refuseOver());
        long window = s.classes().stream().mapToLong(c -> c.windowMicros()).max().orElse(0);
        for (Scenario.Fleet f : scenario.fleets()) {
            int kind = Math.max(0, config.kinds().indexOf(f.kind()));
            InvokerModel.Shape shape = new InvokerModel.Shape(f.cores(), f.room(),
                    s.loading().memoryByKind().get(kind), f.loadsAtOnce(), scenario.store().fetchShare(),
                    s.loading().keepAliveMicros(), s.loading().missAnswers(), f.cancelStops(), s.rules().coldShare(),
                    s.rules().warmAfterMicros(), s.rules().fallMultiple(), s.rules().overloadMicros(),
                    f.reportEveryMicros());
            for (int i = 0; i < f.count(); i++) {
                InvokerStandIn made = new InvokerStandIn(fleetLoop, env, 0, functions,
                        cold -> new InvokerModel(env, store, shape, cold),
                        keysOfCell.computeIfAbsent(f.cell(), c -> new HashMap<>()), window, evidence, random.nextLong());
                invokers.add(made);
                fleetOf.put(made.id(), f);
                evidence.saw(made.id(), "began", "cores", f.cores(), "zone", f.zone(), "cell", f.cell());
                list(made, "passing", 0);
            }
        }
    }

    private void load(List<Integer> ports) {
        List<InetSocketAddress> at = new ArrayList<>();
        for (int i = 0; i < scenario.controllers(); i++) {
            at.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.get(2 * i)));
        }
        List<String> paths = config.module().classes().stream().map(c -> "/hooks/" + c.name()).toList();
        clients = new Clients(clientLoop, evidence, config.module().classes(), paths, SECRET, scenario.load(), targets,
                weights.stream().mapToDouble(w -> w).toArray(), at, scenario.seed());
    }

    // ---- Troubles. ----
    private void list(InvokerStandIn i, String state, long lag) {
        Scenario.Fleet f = fleetOf.get(i.id());
        long started = state.equals("passing") && lag >= 0 && startedMs.containsKey(i.id()) ? startedMs.get(i.id()) : 0;
        RosterStandIn.Instance entry = new RosterStandIn.Instance(i.id(), f.zone(), f.cell(), f.kind(), state, started);
        if (lag <= 0) {
            roster.set(entry);
        } else {
            fleetLoop.after(lag, () -> roster.set(entry));
        }
    }

    private final Map<String, Long> startedMs = new HashMap<>();

    private List<InvokerStandIn> some(double share) {
        List<InvokerStandIn> up = new ArrayList<>(invokers.stream().filter(InvokerStandIn::up).toList());
        Collections.shuffle(up, random);
        return up.subList(0, Math.min(up.size(), (int) Math.ceil(share * up.size())));
    }

    private void inflict(Scenario.Trouble t) {
        evidence.saw("play", "trouble", "kind", Scenario.word(t.kind()), "for", t.forMicros());
        progress.printf("%5.0f s  trouble: %s%n", evidence.now() / 1e6, Scenario.word(t.kind()));
        switch (t.kind()) {
            case CRASH -> some(t.share()).forEach(i -> crash(i, t.forMicros()));
            case DEPLOY -> deploy(t);
            case PREEMPT -> some(t.share()).forEach(i -> replace(i, (long) (t.factor() * 1e6), t.forMicros()));
            case CONTROLLER_CRASH -> bounce((int) (random.nextInt(scenario.controllers())), t.forMicros(), true);
            case CONTROLLER_ROLL -> {
                for (int i = 0; i < scenario.controllers(); i++) {
                    int number = i;
                    fleetLoop.after(i * t.forMicros() / scenario.controllers(), () -> bounce(number, 500_000, false));
                }
            }
            case STALE_ROSTER -> during(t, () -> rosterLag = (long) (t.factor() * 1e6),
                    () -> rosterLag = scenario.rosterLagMicros());
            case SLOW_STORE -> during(t, () -> store.slow(t.factor()), () -> store.slow(1));
            case LATE_REPORTS -> strike(t, i -> i.model().reportEvery((long) (t.factor() * 1e6)),
                    i -> i.model().reportEvery(fleetOf.get(i.id()).reportEveryMicros()));
            case SLOW -> strike(t, i -> i.model().slow(t.factor()), i -> i.model().slow(1));
            case AGEING -> strike(t, i -> i.model().age(t.factor()), i -> crash(i, 3_000_000));
            case THROTTLE -> strike(t, i -> i.model().throttle(t.factor()), i -> i.model().throttle(0));
            case HANG -> strike(t, i -> i.model().hang(true), i -> i.model().hang(false));
            case LOST_ANSWERS -> strike(t, i -> i.spoil(t.factor(), 0), i -> i.spoil(0, 0));
            case GARBAGE -> strike(t, i -> i.spoil(0, t.factor()), i -> i.spoil(0, 0));
            case ZONE_CUT -> {
                String zone = scenario.fleets().get(0).zone();
                List<InvokerStandIn> behind = invokers.stream().filter(i -> fleetOf.get(i.id()).zone().equals(zone))
                        .toList();
                int fleets = scenario.fleets().size();
                during(t, () -> behind.forEach(i -> i.cutOff(c -> c >= 0
                        && !scenario.fleets().get(c % fleets).zone().equals(zone))),
                        () -> behind.forEach(i -> i.cutOff(c -> false)));
            }
            case BURST -> onClients(t, () -> clients.burst(t.factor()), () -> clients.burst(1));
            case GIVE_UP -> onClients(t, () -> clients.leaving(t.share()), () -> clients.leaving(0));
            case SCAN -> onClients(t, () -> clients.scan(targets.get(0), t.share()), () -> clients.scan(null, 0));
            case HOT_FUNCTION -> onClients(t, () -> clients.hot(new Clients.Target("hot-" + t.atMicros(),
                    targets.get(0).requestClass(), targets.get(0).workMs()), t.share()), () -> clients.hot(null, 0));
        }
    }

    private void during(Scenario.Trouble t, Runnable from, Runnable to) {
        from.run();
        fleetLoop.after(t.forMicros(), to);
    }

    private void onClients(Scenario.Trouble t, Runnable from, Runnable to) {
        clientLoop.execute(from);
        fleetLoop.after(t.forMicros(), () -> clientLoop.execute(to));
    }

    private void strike(Scenario.Trouble t, java.util.function.Consumer<InvokerStandIn> from,
            java.util.function.Consumer<InvokerStandIn> to) {
        List<InvokerStandIn> struck = some(t.share());
        during(t, () -> struck.forEach(from), () -> struck.forEach(to));
    }

    /** Dies at once; the roster learns of it after its lag, and of its return likewise. */
    private void crash(InvokerStandIn i, long backAfter) {
        i.crash();
        fleetLoop.after(rosterLag, () -> {
            if (!i.up()) {
                roster.remove(i.id());
            }
        });
        if (backAfter > 0) {
            fleetLoop.after(backAfter, () -> restart(i));
        }
    }

    private void restart(InvokerStandIn i) {
        try {
            i.restart();
            startedMs.put(i.id(), System.currentTimeMillis());
            list(i, "passing", rosterLag);
        } catch (IOException e) {
            broken.add(e);
        }
    }

    /** Told to drain, given a while, then gone and back cold. */
    private void replace(InvokerStandIn i, long drainFor, long backAfter) {
        list(i, "critical", rosterLag);
        fleetLoop.after(drainFor, () -> crash(i, backAfter));
    }

    private void deploy(Scenario.Trouble t) {
        List<InvokerStandIn> all = some(t.share());
        for (int n = 0; n < all.size(); n++) {
            InvokerStandIn i = all.get(n);
            fleetLoop.after(n * t.forMicros() / all.size(), () -> replace(i, (long) (t.factor() * 1e6), 1_000_000));
        }
    }

    private void bounce(int number, long backAfter, boolean killed) {
        Running one = running.get(number);
        evidence.saw("play", killed ? "controller_killed" : "controller_stopped", "controller", number);
        if (killed) {
            one.kill();
        } else {
            one.stop();
        }
        startAgain(number, one, backAfter);
    }

    /** Once the old process has ended: it holds its ports until then. */
    private void startAgain(int number, Running old, long backAfter) {
        fleetLoop.after(backAfter, () -> {
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
