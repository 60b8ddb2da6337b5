package waytrestle.platform;

import java.io.IOException;
import java.util.function.LongSupplier;
import waytrestle.access.AccessLog;
import waytrestle.config.platform.PlatformConfig;
import waytrestle.controller.Controller;
import waytrestle.controller.ControllerDependencies;
import waytrestle.controller.FailureThreshold;
import waytrestle.discovery.watch.WatchClient;
import waytrestle.discovery.watch.WatchState;
import waytrestle.front.platform.PlatformFrontEnd;
import waytrestle.gateway.GossipSocket;
import waytrestle.http.HttpLimits;
import waytrestle.http.HttpServer;
import waytrestle.http.ServerAdmission;
import waytrestle.invoker.platform.PlatformResponseClassifier;
import waytrestle.net.Loop;
import waytrestle.requests.AdmissionControl;
import waytrestle.requests.IdempotencyStore;
import waytrestle.requests.PendingRequests;
import waytrestle.requests.RequestHandler.FunctionHints;
import waytrestle.scheduler.FinishTimeScheduler;
import waytrestle.scheduler.SchedulerSettings;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/**
 * Builds the parts of a controller, connects them and starts its event loop.
 *
 * <p>Not thread-safe: used once, by the thread that starts the controller. Everything it builds
 * belongs to the event loop as soon as that has started.
 */
final class ControllerBootstrap {
    /** Descriptors of the runtime, the listener, the watch connection and gossip. */
    private static final int RESERVED_DESCRIPTORS = 48;

    /** At least one connection of a client and one to an invoker. */
    private static final int MIN_CONNECTIONS = 2;

    /**
     * Share of the other descriptors that client connections may take: the platform's clients hold
     * a third, and the rest is headroom for their reconnects.
     */
    private static final double CLIENT_CONNECTION_SHARE = 0.55;

    /** The platform's bodies have 16 KiB at most, and its clients close after 4 s. */
    private static final HttpLimits HTTP_LIMITS =
            new HttpLimits(
                    1_024, 64, 8 * 1_024, 16 * 1_024, 2_000_000, 2_000_000, 10_000_000, 5_000_000);

    /**
     * Time from a connection to its first complete request. Guards against clients that hold a
     * connection by sending a request without end.
     */
    private static final long FIRST_REQUEST_TIMEOUT_MICROS = 2_000_000;

    /**
     * A client that sees its connection end within 50 ms of its request sends the request once
     * more, perhaps at another controller, which knows nothing of the first. Guards against a
     * second run there of a request whose connection broke here while it may have been running.
     */
    private static final long BROKEN_CLOSE_DELAY_MICROS = 60_000;

    /** Failed decisions within the window after which the scheduler counts as broken. */
    private static final int MAX_SCHEDULER_FAILURES = 10;

    private static final long SCHEDULER_FAILURE_WINDOW_MICROS = 1_000_000;

    /**
     * Part of the drain grace after which requests are served from the configuration's endpoints:
     * with a watch server that does not answer, half of the grace is left to obey what it says
     * late.
     */
    private static final int FIRST_WATCH_RESPONSE_GRACE_DIVISOR = 2;

    /**
     * Correlation ids that are remembered: several seconds of more requests than one core serves.
     * When all of them are of unsafe requests, new requests are rejected.
     */
    private static final int MAX_IDEMPOTENCY_KEYS = 16_384;

    /** Memory of these with the responses of some, beside a heap of 64 MB. */
    private static final long MAX_IDEMPOTENCY_STORE_BYTES = 6 << 20;

    private static final long MICROS_PER_SECOND = 1_000_000;

    private final PlatformConfig config;
    private final SchedulerSettings settings;
    private final LongSupplier wallMillis;
    private final PlatformLog log;
    private final StartRetry startRetry;
    private final Loop loop;
    private final int maxClientConnections;
    private final int maxInvokerConnections;

    ControllerBootstrap(PlatformConfig config, LongSupplier wallMillis, PlatformLog log)
            throws IOException {
        this.config = config;
        this.settings = config.settings();
        this.wallMillis = wallMillis;
        this.log = log;
        this.startRetry = new StartRetry(log);
        this.loop = startRetry.open("loop", this::createLoop);
        loop.faults().reportTo(log::logMessage);
        int connections = Math.max(MIN_CONNECTIONS, config.maxOpenSockets() - RESERVED_DESCRIPTORS);
        this.maxClientConnections = (int) Math.max(1, CLIENT_CONNECTION_SHARE * connections);
        this.maxInvokerConnections = connections - maxClientConnections;
    }

    private Loop createLoop() throws IOException {
        return new Loop("controller-" + settings.controllerIndex(), log::handlerFailed);
    }

    /** Builds the controller and starts its event loop. */
    PlatformController start() throws IOException {
        InvokerAddresses addresses = new InvokerAddresses();
        PlatformEnvironment environment = new PlatformEnvironment(log);
        Controller controller = createController(addresses, environment);
        PlatformFrontEnd frontEnd =
                new PlatformFrontEnd(settings.classes(), settings.preloading(), controller);
        ProcessStartTimes startTimes = new ProcessStartTimes(wallMillis);
        EndpointUpdater endpoints = new EndpointUpdater(controller, addresses, startTimes);
        StartupGate startup = new StartupGate(config.knownEvents(), endpoints, frontEnd);
        DiscoveryMonitor discovery = new DiscoveryMonitor(log, controller::listFreshnessChanged);
        WatchClient watchClient = createWatchClient(endpoints, startup, discovery);
        environment.attachWatchClient(watchClient);
        GossipSocket gossip = startRetry.open("gossip", () -> openGossip(controller));
        environment.attachGossipSocket(gossip);
        HttpServer server = startRetry.open("listener", () -> openServer(frontEnd));
        loop.execute(() -> startWatching(watchClient, startup));
        loop.addEndTask(
                () ->
                        log.logSummary(
                                controller.refusedSends(),
                                loop.faults().counts(),
                                discovery.summary()));
        PlatformComponents components =
                new PlatformComponents(
                        controller, frontEnd, server, watchClient, gossip, addresses, startTimes);
        PlatformController started = new PlatformController(loop, components, log);
        loop.start();
        return started;
    }

    private Controller createController(
            InvokerAddresses addresses, PlatformEnvironment environment) {
        PlatformTransport transport =
                new PlatformTransport(
                        loop,
                        settings,
                        addresses,
                        config.invokerIdleTimeoutMicros(),
                        maxInvokerConnections);
        ControllerDependencies dependencies =
                new ControllerDependencies(
                        settings,
                        new FinishTimeScheduler(settings, config.seed()),
                        createPendingRequests(),
                        new PlatformResponseClassifier(),
                        AdmissionControl.ADMIT_ALL,
                        function -> FunctionHints.NONE,
                        new FailureThreshold(
                                MAX_SCHEDULER_FAILURES, SCHEDULER_FAILURE_WINDOW_MICROS));
        return new Controller(transport, dependencies, wallMillis, log, AccessLog.OFF, environment);
    }

    private PendingRequests createPendingRequests() {
        return new PendingRequests(
                settings.classes(),
                settings.limits().maxInFlight(),
                settings.tickMicros(),
                new IdempotencyStore(idempotencyStoreBounds(), 0),
                AdmissionControl.ADMIT_ALL,
                settings.limits().mayCancel());
    }

    /**
     * A client repeats an id only while it still waits for the response, so an id is remembered for
     * the longest deadline. Guards against a request that runs again because its response could not
     * be delivered.
     */
    private IdempotencyStore.Bounds idempotencyStoreBounds() {
        long longestMicros = 0;
        for (RequestClass requestClass : settings.classes()) {
            longestMicros = Math.max(longestMicros, requestClass.deadlineMicros());
        }
        long seconds = Math.max(1, (longestMicros + MICROS_PER_SECOND - 1) / MICROS_PER_SECOND);
        return new IdempotencyStore.Bounds(
                MAX_IDEMPOTENCY_KEYS, MAX_IDEMPOTENCY_STORE_BYTES, seconds);
    }

    private WatchClient createWatchClient(
            EndpointUpdater endpoints, StartupGate startup, DiscoveryMonitor discovery) {
        WatchState state =
                new WatchState(config.knownRevision(), settings.rules().drainGraceMicros());
        return new WatchClient(
                loop,
                config.watchServerAddress(),
                config.eventReader(),
                state,
                endpoints::apply,
                startup::open,
                freshness -> discovery.freshnessChanged(freshness, state.lastRevision()),
                log::logMessage);
    }

    private GossipSocket openGossip(Controller controller) throws IOException {
        if (!settings.limits().mayGossip() || config.gossipListenAddress() == null) {
            return null;
        }
        return GossipSocket.openUnframed(
                loop,
                settings.controllerIndex(),
                config.gossipListenAddress(),
                config.peerAddresses(),
                config.allPeersAddress(),
                controller::gossipReceived);
    }

    private HttpServer openServer(PlatformFrontEnd frontEnd) throws IOException {
        ServerAdmission connectionLimit = ServerAdmission.withConnectionLimit(maxClientConnections);
        return new HttpServer(loop, config.listenAddress(), HTTP_LIMITS, connectionLimit, frontEnd)
                .withFirstRequestMicros(FIRST_REQUEST_TIMEOUT_MICROS)
                .withBrokenCloseDelayMicros(BROKEN_CLOSE_DELAY_MICROS)
                .withIdleEviction()
                .withResetOnFullInput();
    }

    private void startWatching(WatchClient watchClient, StartupGate startup) {
        watchClient.start();
        long maxWaitMicros =
                settings.rules().drainGraceMicros() / FIRST_WATCH_RESPONSE_GRACE_DIVISOR;
        loop.after(maxWaitMicros, startup::open);
    }
}
