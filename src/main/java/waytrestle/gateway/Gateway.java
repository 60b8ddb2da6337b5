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

/**
 * A running gateway: a controller with its front ends, its source of the endpoint list, its gossip
 * and its metrics and health pages, all on one event loop.
 *
 * <p>Public methods may be called from any thread.
 */
public final class Gateway {
    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);

    /** Time at the end of a shutdown in which the last responses are sent. */
    private static final long FLUSH_MICROS = 100_000;

    /**
     * Time of a shutdown in which idle keep-alive connections are left open, so that the next
     * response can tell the client to close. A request that a client sends while its connection is
     * closed would be lost.
     */
    private static final long IDLE_LINGER_MICROS = 1_000_000;

    /** Interval at which a shutdown checks for open connections and requests in flight. */
    private static final long SHUTDOWN_CHECK_INTERVAL_MICROS = 10_000;

    private final GatewayConfig config;
    private final Loop loop;
    private final Metrics metrics = new Metrics();
    private final AtomicInteger exitCode = new AtomicInteger();
    private Controller controller;
    private Router router;
    private WebhookFrontEnd webhookFrontEnd;

    /** Null if the configuration names no access log. */
    private FileAccessLog accessLog;

    private HttpServer server, admin;
    private EndpointSource endpoints;

    /** Null if the configuration names no address for gossip. */
    private GossipSocket gossip;

    private boolean stopping;

    private Gateway(GatewayConfig config) throws IOException {
        this.config = config;
        this.loop =
                new Loop(
                        "controller-" + config.schedulerSettings().controllerIndex(),
                        e -> LOG.error("handler.failed", e));
    }

    /**
     * Starts a gateway with the wall clock of the system.
     *
     * @throws IOException if an address cannot be bound or the access log cannot be opened
     */
    public static Gateway start(GatewayConfig config, Controller.SchedulerFactory schedulerFactory)
            throws IOException {
        return start(config, schedulerFactory, System::currentTimeMillis);
    }

    /**
     * Starts a gateway on the configured addresses.
     *
     * @param wallMillis returns the wall-clock time; used only for signing times and for the start
     *     times that invokers report
     * @throws IOException if an address cannot be bound or the access log cannot be opened
     */
    public static Gateway start(
            GatewayConfig config,
            Controller.SchedulerFactory schedulerFactory,
            LongSupplier wallMillis)
            throws IOException {
        Gateway gateway = new Gateway(config);
        gateway.assemble(schedulerFactory, wallMillis);
        gateway.loop.start();
        LOG.info(
                "gateway.started controller={} controllers={} address={}:{} admin_port={}",
                config.schedulerSettings().controllerIndex(),
                config.schedulerSettings().controllerCount(),
                config.listenAddress().getAddress().getHostAddress(),
                gateway.port(),
                gateway.admin.port());
        return gateway;
    }

    /**
     * Creates and connects the parts of the gateway. Called before the loop's thread starts, so
     * that no part is used while it is created.
     */
    private void assemble(Controller.SchedulerFactory schedulerFactory, LongSupplier wallMillis)
            throws IOException {
        OverloadControl overload =
                new OverloadControl(
                        config.overload(),
                        config.schedulerSettings().limits().maxInFlight(),
                        config.schedulerSettings().tenants(),
                        config.tenantLimits(),
                        config.schedulerSettings().classes());
        AdmissionControl admissionControl =
                config.overload().enabled() ? overload : AdmissionControl.ADMIT_ALL;
        if (!config.accessLog().file().isEmpty()) {
            accessLog =
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
                        out.accept("end=\"written\"", accessLog.writtenLines());
                        out.accept("end=\"dropped\"", accessLog.droppedLines());
                    });
        }
        GatewayControllerListener controllerListener =
                new GatewayControllerListener(
                        config,
                        schedulerFactory,
                        admissionControl,
                        metrics,
                        Math.floorDiv(wallMillis.getAsLong(), 1_000));
        controller =
                new Controller(
                        new SocketTransport(loop, config, metrics),
                        controllerListener.dependencies(),
                        wallMillis,
                        controllerListener,
                        accessLog == null ? AccessLog.OFF : accessLog,
                        new ControllerEnvironment() {
                            @Override
                            public void subscribe(boolean enabled) {
                                endpoints.subscribe(enabled);
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
                                if (gossip != null) {
                                    gossip.send(peer, message);
                                }
                            }

                            @Override
                            public void schedulerFailed(String reason) {
                                LOG.error("scheduler.failed reason=\"{}\"", reason);
                                exitCode.set(3);
                                stop();
                            }
                        });
        controllerListener.registerMetrics(controller);
        endpoints = new EndpointSource(config, controller, loop, wallMillis);
        endpoints.registerMetrics(metrics);
        try {
            Predicate<String> acceptsFunction =
                    name ->
                            config.unknownFunction() != null
                                    || config.functions().containsKey(name);
            List<FrontEnd> frontEnds = new ArrayList<>();
            webhookFrontEnd =
                    new WebhookFrontEnd(
                            config.webhookEndpoints(),
                            config.schedulerSettings().classes(),
                            config.idempotencyBounds().signatureToleranceSeconds(),
                            config.transitMicros(),
                            acceptsFunction,
                            controller);
            frontEnds.add(webhookFrontEnd);
            if (!config.kserve().tenantByKeyHash().isEmpty()) {
                frontEnds.add(
                        new KserveFrontEnd(
                                config.kserve(),
                                config.schedulerSettings().classes(),
                                config.functions().keySet(),
                                config.transitMicros(),
                                acceptsFunction,
                                controller));
            }
            router = new Router(frontEnds);
            ConnectionGuard connectionGuard = new ConnectionGuard(config);
            server =
                    new HttpServer(
                            loop,
                            config.listenAddress(),
                            config.httpLimits(),
                            connectionGuard,
                            router);
            metrics.registerGauge("waytrestle_body_bytes", "", connectionGuard::reservedBodyBytes);
            metrics.registerGauge("waytrestle_bodies_waiting", "", connectionGuard::waitingBodies);
            metrics.registerGauge("waytrestle_concurrency_limit", "", overload::concurrencyLimit);
            admin =
                    new HttpServer(
                            loop, config.adminAddress(), config.httpLimits(), 64, this::servePage);
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
                        TreeMap<String, Long> countByReason = new TreeMap<>(server.turnedAway());
                        router.rejectedMessagesByReason()
                                .forEach(
                                        (reason, count) ->
                                                countByReason.merge(reason, count, Long::sum));
                        countByReason.forEach(
                                (reason, count) -> out.accept("reason=\"" + reason + "\"", count));
                    });
            metrics.registerGauge("waytrestle_connections", "", server::connections);
            metrics.registerGauge("waytrestle_timers", "", loop::timerCount);
            registerProcessMetrics();
            if (config.gossip().listenAddress() != null) {
                gossip =
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
            if (accessLog != null) {
                accessLog.close();
            }
            throw e;
        }
        loop.execute(endpoints::start);
    }

    /**
     * Registers what the process has used since its start, from which usage per request follows.
     */
    private void registerProcessMetrics() {
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
     * Starts a watchdog of the event loop.
     *
     * @param endProcess ends the process at once with the given exit code; called on the watchdog's
     *     thread when the loop is given up as stuck
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
        loop.execute(() -> registerStallMetric(watchdog));
    }

    private void registerStallMetric(LoopWatchdog watchdog) {
        metrics.setHelp(
                "waytrestle_loop_stalls", "Times that the event loop was stuck for three seconds.");
        metrics.registerGauge("waytrestle_loop_stalls", "", watchdog::stallCount);
    }

    /** Responds to a request on the admin address. */
    private void servePage(HttpServer.Exchange exchange) {
        String path = exchange.message().path();
        boolean get =
                exchange.message().method().equals("GET")
                        || exchange.message().method().equals("HEAD");
        if (!get) {
            exchange.answer(
                    405,
                    Problem.TYPE,
                    Problem.of(405, "method", "pages are only read", true).bytes(),
                    "Allow",
                    "GET");
        } else if (path.equals("/metrics")) {
            exchange.answer(
                    200, Metrics.CONTENT_TYPE, metricsPage().getBytes(StandardCharsets.UTF_8));
        } else if (path.equals("/health/live")) {
            exchange.answer(200, "text/plain", "live\n".getBytes(StandardCharsets.US_ASCII));
        } else if (path.equals("/health/ready")) {
            boolean ready = !stopping && controller.readyInvokerCount() > 0;
            exchange.answer(
                    ready ? 200 : 503,
                    "text/plain",
                    (ready ? "ready\n" : stopping ? "stopping\n" : "no invokers\n")
                            .getBytes(StandardCharsets.US_ASCII));
        } else {
            exchange.answer(
                    404,
                    Problem.TYPE,
                    Problem.of(404, "page", "pages: /metrics, /health/live, /health/ready", true)
                            .bytes());
        }
    }

    private String metricsPage() {
        return metrics.render();
    }

    /** Returns the port that clients connect to. */
    public int port() {
        return server.port();
    }

    /** Returns the port of the metrics and health pages. */
    public int adminPort() {
        return admin.port();
    }

    /**
     * Shuts the gateway down: accepts no further requests, lets those in flight end within the
     * configured grace, responds to the rest, then ends the event loop. Returns at once; see {@link
     * #join}. Further calls have no effect.
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
                    awaitRequestsInFlight(
                            Loop.nowMicros() + IDLE_LINGER_MICROS,
                            Loop.nowMicros() + config.shutdownGraceMicros());
                });
    }

    /**
     * Ends the event loop, after the grace at the latest: before it, once no request is in flight
     * and either no client connection is open or the linger time is over.
     */
    private void awaitRequestsInFlight(long idleLingerEndMicros, long graceEndMicros) {
        boolean lingering = server.connections() > 0 && Loop.nowMicros() < idleLingerEndMicros;
        if ((lingering || controller.inFlight() > 0) && Loop.nowMicros() < graceEndMicros) {
            loop.after(
                    SHUTDOWN_CHECK_INTERVAL_MICROS,
                    () -> awaitRequestsInFlight(idleLingerEndMicros, graceEndMicros));
            return;
        }
        server.closeIdle();
        controller.shutdownGraceExpired();
        loop.after(
                FLUSH_MICROS,
                () -> {
                    LOG.info("gateway.stopped");
                    admin.stopAccepting();
                    admin.closeIdle();
                    loop.stop();
                });
    }

    /**
     * Reads the secrets files again and reopens the access log by its name. If any of the files has
     * an error, nothing changes at any endpoint. Reads the files on the calling thread, since
     * reading them on the event loop would block it.
     *
     * @return false if a file has an error, which is logged
     */
    public boolean reload() {
        Map<String, List<String>> secretsByPath = new HashMap<>();
        for (GatewayConfig.WebhookEndpoint endpoint : config.webhookEndpoints()) {
            if (!endpoint.secretsFile().isEmpty()) {
                try {
                    secretsByPath.put(endpoint.path(), SecretsFile.read(endpoint.secretsFile()));
                } catch (IOException exception) {
                    LOG.error("secrets.rejected error=\"{}\"", exception.getMessage());
                    return false;
                }
            }
        }
        loop.execute(
                () -> {
                    webhookFrontEnd.replaceSecrets(secretsByPath);
                    LOG.info("secrets.reloaded endpoints={}", secretsByPath.size());
                });
        if (accessLog != null) {
            accessLog.reopen();
        }
        return true;
    }

    /** Closes all client connections without a response and ends the event loop, as in a crash. */
    public void kill() {
        loop.execute(
                () -> {
                    server.kill();
                    admin.kill();
                    loop.stop();
                });
    }

    /**
     * Waits for the event loop to end, then closes the access log.
     *
     * @param timeoutMillis longest wait; 0 for no limit
     * @return the exit code of the process: 3 after too many failed decisions or an error that
     *     ended the loop, otherwise 0
     */
    public int join(long timeoutMillis) throws InterruptedException {
        loop.join(timeoutMillis);
        if (accessLog != null) {
            accessLog.close();
        }
        return loop.failed() ? 3 : exitCode.get();
    }

    /** Runs a task on the event loop; for tests that must act between two events. */
    public void executeOnLoop(Runnable task) {
        loop.execute(task);
    }
}
