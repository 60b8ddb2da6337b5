package waytrestle.gateway;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.ThreadMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntConsumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import waytrestle.access.AccessLog;
import waytrestle.access.FileAccessLog;
import waytrestle.config.GatewayConfig;
import waytrestle.config.SecretsFile;
import waytrestle.controller.Controller;
import waytrestle.controller.ControllerEnvironment;
import waytrestle.front.FrontEnd;
import waytrestle.front.Router;
import waytrestle.front.kserve.KserveFrontEnd;
import waytrestle.front.webhook.WebhookFrontEnd;
import waytrestle.http.HttpServer;
import waytrestle.http.Problem;
import waytrestle.metrics.Metrics;
import waytrestle.net.Loop;
import waytrestle.net.LoopWatchdog;
import waytrestle.overload.OverloadControl;
import waytrestle.requests.AdmissionControl;

/** A running gateway: one loop with its controller, fronts, roster and pages. */
public final class Gateway {
    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
    private static final long FLUSH = 100_000; // micros at the end for last answers to leave
    private static final long LINGER =
            1_000_000; // micros of a stop in which kept connections are told to close by
    // their next answer: clients that call often are not cut
    private static final long LOOK =
            10_000; // micros between looks at what is still open during a stop

    private final GatewayConfig config;
    private final Loop loop;
    private final Metrics metrics = new Metrics();
    private final AtomicInteger exit = new AtomicInteger();
    private Controller controller;
    private Router router;
    private WebhookFrontEnd webhooks;
    private FileAccessLog access;
    private HttpServer server, admin;
    private EndpointSource endpoints;
    private GossipSocket peers;
    private boolean stopping;

    private Gateway(GatewayConfig config) throws IOException {
        this.config = config;
        this.loop =
                new Loop(
                        "controller-" + config.schedulerSettings().controllerIndex(),
                        e -> LOG.error("handler.failed", e));
    }

    public static Gateway start(GatewayConfig config, Controller.SchedulerFactory maker)
            throws IOException {
        return start(config, maker, System::currentTimeMillis);
    }

    /** Starts on ports as configured; the wall clock serves signing times and told starts alone. */
    public static Gateway start(
            GatewayConfig config, Controller.SchedulerFactory maker, LongSupplier wallMillis)
            throws IOException {
        Gateway made = new Gateway(config);
        made.assemble(maker, wallMillis);
        made.loop.start();
        LOG.info(
                "gateway.started controller={} controllers={} address={}:{} admin_port={}",
                config.schedulerSettings().controllerIndex(),
                config.schedulerSettings().controllerCount(),
                config.listenAddress().getAddress().getHostAddress(),
                made.port(),
                made.admin.port());
        return made;
    }

    /** Before the loop runs, so nothing here races with it. */
    private void assemble(Controller.SchedulerFactory maker, LongSupplier wallMillis)
            throws IOException {
        OverloadControl overload =
                new OverloadControl(
                        config.overload(),
                        config.schedulerSettings().limits().maxInFlight(),
                        config.schedulerSettings().tenants(),
                        config.tenantLimits(),
                        config.schedulerSettings().classes());
        AdmissionControl gate = config.overload().enabled() ? overload : AdmissionControl.ADMIT_ALL;
        if (!config.accessLog().file().isEmpty()) {
            access =
                    new FileAccessLog(
                            config.accessLog(),
                            config.seed(),
                            e -> LOG.warn("access_log.failed error=\"{}\"", e.toString()));
            metrics.registerFamily(
                    "waytrestle_access_lines_total",
                    "counter",
                    "Lines of the access log, written or dropped "
                            + "because the disk was slow or full.",
                    out -> {
                        out.accept("end=\"written\"", access.writtenLines());
                        out.accept("end=\"dropped\"", access.droppedLines());
                    });
        }
        GatewayControllerListener watch =
                new GatewayControllerListener(
                        config, maker, gate, metrics, Math.floorDiv(wallMillis.getAsLong(), 1_000));
        controller =
                new Controller(
                        new SocketTransport(loop, config),
                        watch.dependencies(),
                        wallMillis,
                        watch,
                        access == null ? AccessLog.OFF : access,
                        new ControllerEnvironment() {
                            @Override
                            public void subscribe(boolean on) {
                                endpoints.subscribe(on);
                            }

                            @Override
                            public void fetchEndpoints() {
                                endpoints.fetch();
                            }

                            @Override
                            public void pollEndpoints() {
                                endpoints.pollIfBehind();
                            }

                            @Override
                            public void sendGossip(int peer, byte[] message) {
                                if (peers != null) {
                                    peers.send(peer, message);
                                }
                            }

                            @Override
                            public void schedulerFailed(String why) {
                                LOG.error("scheduler.failed reason=\"{}\"", why);
                                exit.set(3);
                                stop();
                            }
                        });
        watch.registerMetrics(controller);
        endpoints = new EndpointSource(config, controller, loop, wallMillis);
        endpoints.registerMetrics(metrics);
        try {
            Predicate<String> known =
                    name ->
                            config.unknownFunction() != null
                                    || config.functions().containsKey(name);
            List<FrontEnd> fronts = new ArrayList<>();
            webhooks =
                    new WebhookFrontEnd(
                            config.webhookEndpoints(),
                            config.schedulerSettings().classes(),
                            config.idempotencyBounds().signatureToleranceSeconds(),
                            config.transitMicros(),
                            known,
                            controller);
            fronts.add(webhooks);
            if (!config.kserve().tenantByKeyHash().isEmpty()) {
                fronts.add(
                        new KserveFrontEnd(
                                config.kserve(),
                                config.schedulerSettings().classes(),
                                config.functions().keySet(),
                                config.transitMicros(),
                                known,
                                controller));
            }
            router = new Router(fronts);
            ConnectionGuard door = new ConnectionGuard(config);
            server =
                    new HttpServer(loop, config.listenAddress(), config.httpLimits(), door, router);
            metrics.registerGauge("waytrestle_body_bytes", "", door::reservedBodyBytes);
            metrics.registerGauge("waytrestle_bodies_waiting", "", door::waitingBodies);
            metrics.registerGauge("waytrestle_concurrency_limit", "", overload::concurrencyLimit);
            admin =
                    new HttpServer(
                            loop, config.adminAddress(), config.httpLimits(), 64, this::page);
            metrics.setHelp("waytrestle_body_bytes", "Bytes of request bodies held at present.");
            metrics.setHelp(
                    "waytrestle_bodies_waiting",
                    "Bodies not read yet because all bodies together are at their bound.");
            metrics.setHelp(
                    "waytrestle_concurrency_limit",
                    "Open calls beyond which tenants over their share give way.");
            metrics.setHelp("waytrestle_connections", "Open connections of clients.");
            metrics.setHelp("waytrestle_timers", "Timers set on the loop.");
            metrics.registerFamily(
                    "waytrestle_turned_away_total",
                    "counter",
                    "Messages or connections that never became calls.",
                    out -> {
                        TreeMap<String, Long> all = new TreeMap<>(server.turnedAway());
                        router.rejectedMessagesByReason()
                                .forEach((reason, n) -> all.merge(reason, n, Long::sum));
                        all.forEach((reason, n) -> out.accept("reason=\"" + reason + "\"", n));
                    });
            metrics.registerGauge("waytrestle_connections", "", server::connections);
            metrics.registerGauge("waytrestle_timers", "", loop::timerCount);
            process();
            if (config.gossip().listenAddress() != null) {
                peers =
                        new GossipSocket(
                                loop,
                                config.schedulerSettings().controllerIndex(),
                                config.gossip().listenAddress(),
                                config.gossip().peerAddresses(),
                                controller::gossipReceived);
            }
        } catch (IOException | RuntimeException e) {
            loop.stop();
            loop.run();
            if (access != null) {
                access.close();
            }
            throw e;
        }
        loop.execute(endpoints::start);
    }

    /** What the process has used so far, for figures a call. */
    private void process() {
        metrics.setHelp(
                "waytrestle_process_cpu_seconds",
                "Processor time of the whole process since its start.");
        metrics.setHelp(
                "waytrestle_loop_allocated_bytes",
                "Bytes that the loop's thread has allocated since its start.");
        if (ManagementFactory.getOperatingSystemMXBean() instanceof OperatingSystemMXBean os) {
            metrics.registerGauge(
                    "waytrestle_process_cpu_seconds", "", () -> os.getProcessCpuTime() / 1e9);
        }
        if (ManagementFactory.getThreadMXBean() instanceof ThreadMXBean threads) {
            metrics.registerGauge(
                    "waytrestle_loop_allocated_bytes",
                    "",
                    () -> threads.getThreadAllocatedBytes(Thread.currentThread().getId()));
        }
    }

    /**
     * Watches the event loop from now on.
     *
     * @param endProcess ends the process at once, with this exit code, when the loop is stuck for
     *     good
     */
    public void startWatchdog(IntConsumer endProcess) {
        LoopWatchdog.StallListener listener =
                new LoopWatchdog.StallListener() {
                    @Override
                    public void stalled(StackTraceElement[] stack) {
                        LOG.error("loop.stalled stack={}", Arrays.toString(stack));
                    }

                    @Override
                    public void recovered() {
                        LOG.warn("loop.recovered");
                    }

                    @Override
                    public void givenUp() {
                        LOG.error("loop.given_up exit_code={}", LoopWatchdog.EXIT_CODE);
                        endProcess.accept(LoopWatchdog.EXIT_CODE);
                    }
                };
        LoopWatchdog watchdog = new LoopWatchdog(loop, listener).start();
        loop.execute(() -> registerStalls(watchdog));
    }

    private void registerStalls(LoopWatchdog watchdog) {
        metrics.setHelp(
                "waytrestle_loop_stalls", "Times that the event loop was stuck for three seconds.");
        metrics.registerGauge("waytrestle_loop_stalls", "", watchdog::stallCount);
    }

    private void page(HttpServer.Exchange e) {
        String path = e.message().path();
        boolean get = e.message().method().equals("GET") || e.message().method().equals("HEAD");
        if (!get) {
            e.answer(
                    405,
                    Problem.TYPE,
                    Problem.of(405, "method", "pages are only read", true).bytes(),
                    "Allow",
                    "GET");
        } else if (path.equals("/metrics")) {
            e.answer(200, Metrics.CONTENT_TYPE, metricsPage().getBytes(StandardCharsets.UTF_8));
        } else if (path.equals("/health/live")) {
            e.answer(200, "text/plain", "live\n".getBytes(StandardCharsets.US_ASCII));
        } else if (path.equals("/health/ready")) {
            boolean ready = !stopping && controller.readyInvokerCount() > 0;
            e.answer(
                    ready ? 200 : 503,
                    "text/plain",
                    (ready ? "ready\n" : stopping ? "stopping\n" : "no invokers\n")
                            .getBytes(StandardCharsets.US_ASCII));
        } else {
            e.answer(
                    404,
                    Problem.TYPE,
                    Problem.of(404, "page", "pages: /metrics, /health/live, /health/ready", true)
                            .bytes());
        }
    }

    private String metricsPage() {
        return metrics.render();
    }

    public int port() {
        return server.port();
    }

    public int adminPort() {
        return admin.port();
    }

    /**
     * Takes no more calls, lets open ones end within the grace, answers what is left, then ends the
     * loop.
     */
    public void stop() {
        loop.execute(
                () -> {
                    if (stopping) {
                        return;
                    }
                    stopping = true;
                    LOG.info("gateway.stopping in_flight={}", controller.inFlight());
                    server.stopAccepting();
                    controller.startShutdown();
                    await(
                            Loop.nowMicros() + LINGER,
                            Loop.nowMicros() + config.shutdownGraceMicros());
                });
    }

    private void await(long linger, long until) {
        boolean lingering = server.connections() > 0 && Loop.nowMicros() < linger;
        if ((lingering || controller.inFlight() > 0) && Loop.nowMicros() < until) {
            loop.after(LOOK, () -> await(linger, until));
            return;
        }
        server.closeIdle();
        controller.shutdownGraceExpired();
        loop.after(
                FLUSH,
                () -> {
                    LOG.info("gateway.stopped");
                    admin.stopAccepting();
                    admin.closeIdle();
                    loop.stop();
                });
    }

    /**
     * Reads the files of secrets again and opens the access log by its name again. A file with a
     * fault changes nothing, at no endpoint. Called from any thread: the files are read there and
     * not on the loop.
     */
    public boolean reload() {
        Map<String, List<String>> read = new HashMap<>();
        for (GatewayConfig.WebhookEndpoint e : config.webhookEndpoints()) {
            if (!e.secretsFile().isEmpty()) {
                try {
                    read.put(e.path(), SecretsFile.read(e.secretsFile()));
                } catch (IOException wrong) {
                    LOG.error("secrets.rejected error=\"{}\"", wrong.getMessage());
                    return false;
                }
            }
        }
        loop.execute(
                () -> {
                    webhooks.replaceSecrets(read);
                    LOG.info("secrets.reloaded endpoints={}", read.size());
                });
        if (access != null) {
            access.reopen();
        }
        return true;
    }

    /** Drops everything at once, as a crash does. */
    public void kill() {
        loop.execute(
                () -> {
                    server.kill();
                    admin.kill();
                    loop.stop();
                });
    }

    /** Waits for the end; the exit code is 0 after a stop, 3 after too many failed decisions. */
    public int join(long millis) throws InterruptedException {
        loop.join(millis);
        if (access != null) {
            access.close();
        }
        return loop.failed() ? 3 : exit.get();
    }

    /** Runs a task on the gateway's loop; for tests that must act between its events. */
    public void executeOnLoop(Runnable task) {
        loop.execute(task);
    }
}
