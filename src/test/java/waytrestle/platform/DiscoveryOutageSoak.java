package waytrestle.platform;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import waytrestle.platform.RepeatingClient.SentRequest;
import waytrestle.platform.SimulatedInvoker.State;
import waytrestle.platform.SimulatedWatchServer.Loss;

/**
 * Many controller processes through drawn outages of discovery, drains, ends and returns of
 * invokers, signals in series, pauses of processes and crowds of clients; judged by the platform's
 * rules. Clients use open connections until a controller that was told to end is killed, which is
 * at the earliest that the platform allows. By hand: {@code DiscoveryOutageSoak CONTROLLERS
 * FIRST_SEED SEEDS}.
 */
final class DiscoveryOutageSoak {
    /**
     * What one seed came to.
     *
     * @param caughtByStops late sends that a stop had caught between check and write
     */
    record Result(
            long seed,
            int requests,
            int served,
            int cut,
            int outages,
            int drains,
            int signals,
            int healthChecks,
            int caughtByStops,
            List<String> violations)
            implements SoakRunner.Result {}

    private static final int INVOKERS = 8;
    private static final int MIN_READY = 4;
    private static final int CLIENTS_EACH = 3;
    private static final int CROWD = 80;
    private static final int FUNCTIONS = 24;
    private static final long FIRST_FUNCTION = 0x7f3a9c21e0b4d000L;
    private static final long PLAY_MILLIS = 14_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int PERCENT = 100;

    /** New connections still come to a controller for so long after SIGTERM. */
    private static final long NEW_CONNECTIONS_MILLIS = 300;

    /** SIGKILL comes no sooner after SIGTERM: the longest deadline and 0.7 s. */
    private static final long KILL_AFTER_TERM_MILLIS = 3_700;

    private final long seed;
    private final Random random;
    private final int controllers;
    private final boolean checksHealth;
    private final boolean crowded;
    private final long graceMillis;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<SimulatedInvoker> invokers = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final List<String> violations = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger lastId = new AtomicInteger();

    /** Of all processes so far, those that have ended included. */
    private final StringBuffer logs = new StringBuffer();

    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger outages = new AtomicInteger();
    private final AtomicInteger signals = new AtomicInteger();
    private final OutageHistory history;
    private SimulatedWatchServer watchServer;
    private volatile boolean playing = true;

    DiscoveryOutageSoak(long seed, int controllers) {
        this.seed = seed;
        this.random = new Random(seed);
        this.controllers = controllers;
        this.checksHealth = random.nextInt(PERCENT) < 80;
        this.crowded = random.nextInt(PERCENT) < 40;
        this.graceMillis = random.nextBoolean() ? 1_000 : 2_000;
        this.history = new OutageHistory(graceMillis);
    }

    /** Plays seeds one after another; see {@link SoakRunner#run}. */
    public static void main(String[] args) throws Exception {
        SoakRunner.run(
                args, (seed, controllers) -> new DiscoveryOutageSoak(seed, controllers).play());
    }

    Result play() throws Exception {
        try {
            start();
            List<Future<Void>> parts = new ArrayList<>();
            parts.add(threads.submit(this::playOutages));
            parts.add(threads.submit(this::playDrains));
            for (Node node : nodes) {
                long nodeSeed = random.nextLong();
                parts.add(threads.submit(() -> node.playSignals(new Random(nodeSeed))));
                for (int i = 0; i < CLIENTS_EACH; i++) {
                    boolean keeps = i > 0;
                    parts.add(threads.submit(() -> playClient(node, keeps)));
                }
            }
            if (crowded) {
                parts.add(threads.submit(this::playCrowd));
            }
            Thread.sleep(PLAY_MILLIS);
            playing = false;
            for (Future<Void> part : parts) {
                part.get();
            }
            nodes.forEach(Node::checkLog);
            DelayedSends delayedSends = new DelayedSends(logs.toString());
            violations.addAll(history.violations(delayedSends));
            return result(delayedSends.explained());
        } finally {
            close();
        }
    }

    private Result result(int caughtByStops) {
        return new Result(
                seed,
                requests.get(),
                served.get(),
                cut.get(),
                outages.get(),
                history.drains(),
                signals.get(),
                invokers.stream().mapToInt(SimulatedInvoker::healthChecks).sum(),
                caughtByStops,
                List.copyOf(violations));
    }

    private void start() throws Exception {
        for (int i = 0; i < INVOKERS; i++) {
            invokers.add(new SimulatedInvoker("s-" + i, random.nextInt(2_000)));
        }
        String known = event(1, true, invokers, "Ready");
        watchServer = new SimulatedWatchServer(known);
        for (int i = 0; i < controllers; i++) {
            nodes.add(new Node(configuration(i, known)));
        }
        for (Node node : nodes) {
            node.process.awaitReady();
        }
    }

    private String configuration(int index, String known) {
        return PlatformFixture.configurationJson("256", watchServer.port(), known)
                .replace(
                        "\"me\":0,\"balancers\":1",
                        "\"me\":" + index + ",\"balancers\":" + controllers)
                .replace("8c1f30d27a5be964", "%016x".formatted(seed * PERCENT + index))
                .replace("\"may_probe\":true", "\"may_probe\":" + checksHealth)
                .replace("\"drain_grace_us\":1000000", "\"drain_grace_us\":" + graceMillis + "000");
    }

    private static String event(
            int revision, boolean snapshot, List<SimulatedInvoker> listed, String health) {
        return PlatformFixture.watchEventJson(
                revision,
                snapshot,
                listed.stream()
                        .map(each -> PlatformFixture.endpointJson(each.id(), health, each.port()))
                        .toArray(String[]::new));
    }

    private void pause(Random from, int least, int most) throws InterruptedException {
        Thread.sleep(least + from.nextInt(most - least + 1));
    }

    // ---- Discovery and invokers. ----
    private Void playOutages() throws Exception {
        Random from = new Random(seed + 1);
        Loss[] losses = {
            Loss.CLOSED, Loss.HALF_LINE, Loss.BLACK_HOLE, Loss.MUTE, Loss.SILENT, Loss.OLD_REVISION
        };
        while (playing) {
            pause(from, 200, 2_000);
            Loss loss = losses[from.nextInt(losses.length)];
            history.lost(loss);
            watchServer.lose(loss);
            outages.incrementAndGet();
            pause(from, 300, 8_000);
            watchServer.restore();
            history.restored();
        }
        return null;
    }

    private Void playDrains() throws Exception {
        Random from = new Random(seed + 2);
        List<Future<Void>> returning = new ArrayList<>();
        while (playing) {
            pause(from, 100, 1_500);
            SimulatedInvoker invoker = invokers.get(from.nextInt(INVOKERS));
            long ready = invokers.stream().filter(each -> each.state() == State.READY).count();
            if (invoker.state() == State.READY && ready > MIN_READY) {
                OutageHistory.Drain drain = history.drained(invoker);
                invoker.drain();
                publish(invoker, "Terminating");
                long returnSeed = from.nextLong();
                returning.add(threads.submit(() -> endAndReturn(drain, new Random(returnSeed))));
            }
        }
        for (Future<Void> each : returning) {
            each.get();
        }
        return null;
    }

    private Void endAndReturn(OutageHistory.Drain drain, Random from) throws Exception {
        pause(from, 1_500, 6_000);
        SimulatedInvoker invoker = drain.invoker();
        invoker.end();
        publish(invoker, "Gone");
        pause(from, 300, 1_500);
        drain.returned();
        invoker.restart();
        publish(invoker, "Ready");
        return null;
    }

    private synchronized void publish(SimulatedInvoker invoker, String health) {
        watchServer.publish(event(watchServer.nextRevision(), false, List.of(invoker), health));
    }

    // ---- Clients. ----
    private Void playClient(Node node, boolean keepsConnection) throws Exception {
        try (RepeatingClient client = new RepeatingClient(() -> portFor(node), keepsConnection)) {
            while (playing || node.isTerminating()) {
                Thread.sleep(ThreadLocalRandom.current().nextInt(60));
                long terminatedAt = node.terminatedAt;
                SentRequest sent = sendOne(client);
                boolean crossing =
                        node.isTerminating() || terminatedAt != node.terminatedAt || !playing;
                judge(sent, crossing);
            }
        }
        return null;
    }

    private SentRequest sendOne(RepeatingClient client) throws Exception {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        int number = (int) (FUNCTIONS * random.nextDouble() * random.nextDouble());
        return client.send(
                random.nextInt(3) > 0 ? "book" : "read",
                PlatformFixture.correlationId(lastId.incrementAndGet()),
                "%016x".formatted(FIRST_FUNCTION + number));
    }

    /** Where a new connection goes: past a controller that is being ended to another one. */
    private int portFor(Node node) {
        if (node.takesConnections()) {
            return node.process.port();
        }
        return nodes.stream().filter(Node::takesConnections).findAny().orElse(node).process.port();
    }

    /** Many clients at once, several times. */
    private Void playCrowd() throws Exception {
        Random from = new Random(seed + 3);
        while (playing) {
            pause(from, 1_000, 4_000);
            List<Future<Void>> crowd = new ArrayList<>();
            for (int i = 0; i < CROWD; i++) {
                Node node = nodes.get(from.nextInt(nodes.size()));
                crowd.add(threads.submit(() -> playOnce(node)));
            }
            for (Future<Void> each : crowd) {
                each.get();
            }
        }
        return null;
    }

    private Void playOnce(Node node) throws Exception {
        try (RepeatingClient client = new RepeatingClient(() -> portFor(node), true)) {
            for (int i = 0; i < 3; i++) {
                judge(sendOne(client), true);
            }
        }
        return null;
    }

    // ---- Judging. ----
    private void judge(SentRequest request, boolean crossing) {
        if (request.results().get(0) == RepeatingClient.REFUSED) {
            return; // no connection was made: it was never taken
        }
        requests.incrementAndGet();
        served.addAndGet(request.lastResult() == 200 ? 1 : 0);
        int runs = invokers.stream().mapToInt(each -> each.runs(request.id())).sum();
        List<String> found = RequestInvariants.violations(request, runs);
        if (RequestInvariants.wasCut(request)) {
            cut.incrementAndGet();
            if (!crossing) {
                found.add("cut: its connection was closed under it (" + request + ")");
            }
        }
        violations.addAll(found);
    }

    private void close() throws Exception {
        playing = false;
        threads.shutdownNow();
        for (Node node : nodes) {
            node.process.close();
        }
        if (watchServer != null) {
            watchServer.close();
        }
        for (SimulatedInvoker invoker : invokers) {
            invoker.close();
        }
    }

    /** One controller and what is done to its process. */
    private final class Node {
        private final ControllerProcess process = new ControllerProcess();
        private final String configuration;
        private volatile long terminatedAt;

        private Node(String configuration) throws Exception {
            this.configuration = configuration;
            process.start(configuration);
        }

        private boolean isTerminating() {
            return terminatedAt != 0;
        }

        /** Whether clients still open connections to it. */
        private boolean takesConnections() {
            long since = (System.nanoTime() - terminatedAt) / NANOS_PER_MILLI;
            return !isTerminating() || since < NEW_CONNECTIONS_MILLIS;
        }

        private Void playSignals(Random from) throws Exception {
            while (playing) {
                pause(from, 500, 4_000);
                int drawn = from.nextInt(PERCENT);
                if (drawn < 30) {
                    reloadInSeries(from);
                } else if (drawn < 50) {
                    long suspendedAt = System.nanoTime();
                    process.suspend();
                    pause(from, 50, 1_500);
                    process.resume();
                    history.suspended(suspendedAt);
                    signals.addAndGet(2);
                } else if (drawn < 75) {
                    endAndStart(from);
                }
            }
            return null;
        }

        private void reloadInSeries(Random from) throws Exception {
            int times = 1 + from.nextInt(4);
            for (int i = 0; i < times; i++) {
                process.reload();
                signals.incrementAndGet();
                pause(from, 0, 150);
            }
        }

        /** Signals in series; the kill comes at its earliest, if the process has not ended. */
        private void endAndStart(Random from) throws Exception {
            terminatedAt = System.nanoTime();
            process.terminate();
            signals.incrementAndGet();
            while (millisSinceTerm() < KILL_AFTER_TERM_MILLIS && process.isAlive()) {
                pause(from, 20, 200);
                if (process.isAlive() && from.nextInt(PERCENT) < 30) {
                    process.terminate();
                    signals.incrementAndGet();
                }
            }
            if (process.isAlive()) {
                process.kill();
            } else if (process.exitCode() != 0) {
                violations.add("crashed: exit code " + process.exitCode() + process.log());
            }
            checkLog();
            process.start(configuration).awaitReady();
            terminatedAt = 0;
        }

        private long millisSinceTerm() {
            return (System.nanoTime() - terminatedAt) / NANOS_PER_MILLI;
        }

        private void checkLog() {
            String log = process.log();
            logs.append(log);
            violations.addAll(SoakRunner.violationsIn(log));
        }
    }
}
