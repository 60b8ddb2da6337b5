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
 * Creates the components of a controller, connects them and starts the controller's event loop.
 *
 * <p>Not thread-safe: used once, by the thread that starts the controller. All components are owned
 * by the event loop once it has started.
 */
final class ControllerBootstrap {
    /**
     * File descriptors kept free of client and invoker connections: those of the Java runtime, the
     * listener, the watch connection and the gossip socket.
     */
    private static final int RESERVED_DESCRIPTORS = 48;

    /** Smallest total number of connections: one from a client and one to an invoker. */
    private static final int MIN_CONNECTIONS = 2;

    /**
     * Share of the connections that may come from clients; the others lead to invokers. The
     * platform's clients hold a third of the connections, and the rest of the share is headroom for
     * their reconnects.
     */
    private static final double CLIENT_CONNECTION_SHARE = 0.55;

    /**
     * Limits on the connections of clients, in bytes, headers and microseconds as {@link
     * HttpLimits} names them. The platform's request bodies have at most 16 KiB, and its clients
     * close a connection after 4 s.
     */
    private static final HttpLimits HTTP_LIMITS =
            new HttpLimits(
                    1_024, 64, 8 * 1_024, 16 * 1_024, 2_000_000, 2_000_000, 10_000_000, 5_000_000);

    /**
     * Longest time from the accept of a connection to the end of its first complete request. Guards
     * against clients that occupy a connection by sending a request without end.
     */
    private static final long FIRST_REQUEST_TIMEOUT_MICROS = 2_000_000;

    /**
     * Shortest time from the break of a connection with a request in flight to the close of that
     * connection. A client whose connection closes within 50 ms after it sent a request takes the
     * request for unread and sends it again, perhaps to another controller, which does not know the
     * request's correlation id. The delay guards against a second run of a request that may already
     * be running.
     */
    private static final long BROKEN_CLOSE_DELAY_MICROS = 60_000;

    /**
     * Failed decisions of the scheduler within {@link #SCHEDULER_FAILURE_WINDOW_MICROS} that are
     * tolerated; more are reported as a scheduler failure.
     */
    private static final int MAX_SCHEDULER_FAILURES = 10;

    private static final long SCHEDULER_FAILURE_WINDOW_MICROS = 1_000_000;

    /**
     * Divisor of the drain grace that yields the longest wait for the watch server's first
     * response. After that wait requests are sent to the endpoints of the configuration. The rest
     * of the drain grace, one half, is left to apply events that the watch server sends late.
     */
    private static final int FIRST_WATCH_RESPONSE_GRACE_DIVISOR = 2;

    /**
     * Largest number of correlation ids in the idempotency store, where they are the idempotency
     * keys: more than the requests that one core serves in several seconds. While all of them
     * belong to non-idempotent or keyed requests, new requests are rejected.
     */
    private static final int MAX_IDEMPOTENCY_KEYS = 16_384;

    /**
     * Largest estimated memory of the idempotency store, including stored responses, beside a heap
     * of 64 MB.
     */
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

    /**
     * Creates the controller and starts its event loop.
     *
     * @throws IOException if a socket cannot be opened, even with retries
     */
    PlatformController start() throws IOException {
        InvokerAddresses addresses = new InvokerAddresses();
        PlatformEnvironment environment = new PlatformEnvironment(log);
        Controller controller = createController(addresses, environment);
        PlatformFrontEnd frontEnd =
                new PlatformFrontEnd(settings.classes(), settings.preloading(), controller);
        ProcessStartTimes startTimes = new ProcessStartTimes(wallMillis);
        EndpointUpdater endpointUpdater = new EndpointUpdater(controller, addresses, startTimes);
        StartupGate startupGate = new StartupGate(config.knownEvents(), endpointUpdater, frontEnd);
        DiscoveryMonitor discoveryMonitor =
                new DiscoveryMonitor(log, controller::listFreshnessChanged);
        WatchClient watchClient = createWatchClient(endpointUpdater, startupGate, discoveryMonitor);
        environment.attachWatchClient(watchClient);
        GossipSocket gossip = startRetry.open("gossip", () -> openGossip(controller));
        environment.attachGossipSocket(gossip);
        HttpServer server = startRetry.open("listener", () -> openServer(frontEnd));
        loop.execute(() -> startWatching(watchClient, startupGate));
        PlatformComponents components =
                new PlatformComponents(
                        controller, frontEnd, server, watchClient, gossip, addresses, startTimes);
        loop.addEndTask(
                () ->
                        log.logSummary(
                                controller.refusedSends(),
                                controller.examinedInvokers(),
                                loop.faults().counts(),
                                discoveryMonitor.summary(),
                                TableSizes.of(components, loop)));
        PlatformController platformController = new PlatformController(loop, components, log);
        loop.start();
        return platformController;
    }

    private Controller createController(
            InvokerAddresses addresses, PlatformEnvironment environment) {
        PlatformTransport transport =
                new PlatformTransport(
                        loop,
                        settings,
                        addresses,
                        config.invokerIdleTimeoutMicros(),
                        maxInvokerConnections,
                        log::strayBytesReceived);
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
     * Returns bounds that keep a correlation id for the longest deadline of any request class after
     * its request has completed: a client repeats a correlation id only while it waits for the
     * response. Guards against a second run of a request whose response could not be delivered.
     */
    private IdempotencyStore.Bounds idempotencyStoreBounds() {
        long longestDeadlineMicros = 0;
        for (RequestClass requestClass : settings.classes()) {
            longestDeadlineMicros = Math.max(longestDeadlineMicros, requestClass.deadlineMicros());
        }
        long retentionSeconds =
                Math.max(1, (longestDeadlineMicros + MICROS_PER_SECOND - 1) / MICROS_PER_SECOND);
        return new IdempotencyStore.Bounds(
                MAX_IDEMPOTENCY_KEYS, MAX_IDEMPOTENCY_STORE_BYTES, retentionSeconds);
    }

    private WatchClient createWatchClient(
            EndpointUpdater endpointUpdater,
            StartupGate startupGate,
            DiscoveryMonitor discoveryMonitor) {
        WatchState state =
                new WatchState(config.knownRevision(), settings.rules().drainGraceMicros());
        return new WatchClient(
                loop,
                config.watchServerAddress(),
                config.eventReader(),
                state,
                endpointUpdater::apply,
                startupGate::open,
                freshness -> discoveryMonitor.freshnessChanged(freshness, state.lastRevision()),
                log::logMessage);
    }

    /**
     * Opens the gossip socket. Returns null if the settings allow no gossip or the configuration
     * has no address for it.
     */
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

    private void startWatching(WatchClient watchClient, StartupGate startupGate) {
        watchClient.start();
        long maxWaitMicros =
                settings.rules().drainGraceMicros() / FIRST_WATCH_RESPONSE_GRACE_DIVISOR;
        loop.after(maxWaitMicros, startupGate::open);
    }
}
