package waytrestle.controller;

import java.util.Map;
import java.util.function.LongSupplier;
import waytrestle.access.AccessLog;
import waytrestle.overload.StartupPreloadLimit;
import waytrestle.requests.PendingRequests;
import waytrestle.requests.RequestHandler;
import waytrestle.requests.SendGuard;
import waytrestle.responses.ClassifierEvent;
import waytrestle.responses.ResponseClassifier;
import waytrestle.scheduler.RequestScheduler;
import waytrestle.scheduler.SchedulerEvent;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;
import waytrestle.scheduler.SchedulerSettings;
import waytrestle.scheduler.SchedulerSettings.Preloading;

/**
 * The entry point of one controller, in service or in a simulation: connects the pending requests,
 * the response classifier and the scheduler with clients and invokers. The controller takes no
 * decision of its own. All points in time are microseconds on the clock of {@link Transport}, where
 * nothing else is said.
 *
 * <p>Not thread-safe: owned by the controller's event loop.
 */
public final class Controller implements RequestHandler {
    /** Creates the scheduler; tests and comparisons supply others. */
    public interface SchedulerFactory {
        /**
         * Creates a scheduler.
         *
         * @param seed seed of the scheduler's random choices
         */
        RequestScheduler create(SchedulerSettings settings, long seed);
    }

    private final SendGuard sendGuard = new SendGuard();
    private final WallClock wallClock;
    private final PendingRequests pendingRequests;
    private final ResponseClassifier classifier;
    private final RequestScheduler scheduler;
    private final EventDispatcher dispatcher;
    private final OpenRequests openRequests;
    private final WaitingClients waitingClients;
    private final InvokerConnections connections;
    private final EndpointListExpiry listExpiry;

    /**
     * Creates a controller without invokers; {@link #endpointsUpdated} adds them.
     *
     * @param wallMillis the wall clock, in milliseconds since the epoch
     */
    public Controller(
            Transport transport,
            ControllerDependencies dependencies,
            LongSupplier wallMillis,
            ControllerListener listener,
            AccessLog accessLog,
            ControllerEnvironment environment) {
        this.wallClock = new WallClock(wallMillis);
        this.pendingRequests = dependencies.pendingRequests();
        this.classifier = dependencies.classifier();
        this.scheduler = dependencies.scheduler();
        this.dispatcher = new EventDispatcher(transport, wallClock, dependencies);
        this.openRequests = new OpenRequests(dispatcher);
        this.listExpiry =
                new EndpointListExpiry(dependencies.settings().rules().drainGraceMicros());
        this.connections = new InvokerConnections(transport, dispatcher, listener);
        RequestAccessLogger accessLogger =
                new RequestAccessLogger(transport, wallClock, dependencies.settings(), accessLog);
        this.waitingClients =
                new WaitingClients(
                        transport, dispatcher, listener, accessLogger, responseGuard(dependencies));
        connectHandlers(transport, dependencies, listener, environment);
    }

    private ResponseGuard responseGuard(ControllerDependencies dependencies) {
        return new ResponseGuard(sendGuard, dependencies.settings().classes());
    }

    private void connectHandlers(
            Transport transport,
            ControllerDependencies dependencies,
            ControllerListener listener,
            ControllerEnvironment environment) {
        StartupPreloadLimit preloadLimit = startupPreloadLimit(transport, dependencies.settings());
        InvokerReadiness readiness = readiness(transport, dependencies, listener, environment);
        AttemptCompletionHandler completionHandler =
                completionHandler(transport, dependencies, listener, readiness);
        AttemptSender attemptSender =
                new AttemptSender(
                        transport,
                        dependencies,
                        dispatcher,
                        openRequests,
                        connections,
                        completionHandler,
                        listener);
        PendingRequestsCommandHandler pendingRequestsCommands =
                new PendingRequestsCommandHandler(
                        transport,
                        dispatcher,
                        waitingClients,
                        openRequests,
                        preloadLimit,
                        dependencies.functionHints());
        ClassifierCommandHandler classifierCommands =
                new ClassifierCommandHandler(
                        transport,
                        dispatcher,
                        openRequests,
                        attemptSender,
                        completionHandler,
                        listener);
        InvokerOperations operations =
                new InvokerOperations(
                        transport,
                        dependencies,
                        dispatcher,
                        connections,
                        preloadLimit,
                        readiness,
                        sendGuard,
                        listener);
        SchedulerCommandHandler schedulerCommands =
                new SchedulerCommandHandler(
                        transport,
                        dependencies.scheduler(),
                        dispatcher,
                        openRequests,
                        attemptSender,
                        operations,
                        listener,
                        environment);
        dispatcher.setHandlers(
                pendingRequestsCommands::execute,
                classifierCommands::execute,
                schedulerCommands::execute,
                failureHandler(transport, dependencies, listener, environment),
                connections::schedulerHandledUpdate);
    }

    private InvokerReadiness readiness(
            Transport transport,
            ControllerDependencies dependencies,
            ControllerListener listener,
            ControllerEnvironment environment) {
        return new InvokerReadiness(
                transport,
                environment,
                connections,
                dependencies.scheduler(),
                listExpiry,
                listener);
    }

    private AttemptCompletionHandler completionHandler(
            Transport transport,
            ControllerDependencies dependencies,
            ControllerListener listener,
            InvokerReadiness readiness) {
        return new AttemptCompletionHandler(
                transport,
                dispatcher,
                openRequests,
                connections,
                dependencies,
                listener,
                sendGuard,
                readiness);
    }

    private SchedulerFailureHandler failureHandler(
            Transport transport,
            ControllerDependencies dependencies,
            ControllerListener listener,
            ControllerEnvironment environment) {
        return new SchedulerFailureHandler(
                transport,
                dispatcher,
                openRequests,
                dependencies.failureThreshold(),
                listener,
                environment);
    }

    private static StartupPreloadLimit startupPreloadLimit(
            Transport transport, SchedulerSettings settings) {
        Preloading preloading = settings.preloading();
        return new StartupPreloadLimit(
                transport.nowMicros(),
                preloading.preloadPeriodMicros(),
                preloading.preloadsPerRequest());
    }

    @Override
    public PendingResponse accept(IncomingRequest incoming, ResponseListener client) {
        return waitingClients.accept(incoming, client);
    }

    @Override
    public boolean hasReadyInvoker() {
        return connections.readyCount() > 0;
    }

    @Override
    public long wallSeconds() {
        return wallClock.seconds();
    }

    /** Begins a graceful shutdown: new requests are rejected, requests in flight go on. */
    public void startShutdown() {
        dispatcher.dispatchToPendingRequests(new PendingRequests.ShutdownStarted());
    }

    /** Ends all requests that are still in flight. */
    public void shutdownGraceExpired() {
        dispatcher.dispatchToPendingRequests(new PendingRequests.ShutdownGraceExpired());
    }

    /** Handles an endpoint list, which is a snapshot or holds changes only. */
    public void endpointsUpdated(EndpointsUpdated update) {
        connections.update(update);
        dispatcher.dispatchToClassifier(new ClassifierEvent.EndpointListReceived(update));
    }

    /**
     * Handles a message from service discovery, the loss of its connection or its return, by which
     * the endpoint list becomes more or less fresh.
     *
     * @param receivedAtMicros when every change that service discovery holds counts as received by
     *     this controller, even if unread, unless service discovery is heard from again before;
     *     {@link Long#MAX_VALUE} where there is no such time
     * @param catchingUp whether service discovery is delivering the changes that are missing here
     */
    public void listFreshnessChanged(long receivedAtMicros, boolean catchingUp) {
        listExpiry.setReceivedAt(receivedAtMicros);
        dispatcher.dispatchToScheduler(
                new SchedulerEvent.ListFreshnessChanged(receivedAtMicros, catchingUp));
    }

    /** Notifies the scheduler that the endpoint list could not be fetched. */
    public void endpointUpdateFailed() {
        dispatcher.dispatchToScheduler(new SchedulerEvent.EndpointUpdateFailed());
    }

    /**
     * Closes the client of an invoker whose address has changed, which ends all exchanges with the
     * old address. The next endpoint list with the invoker opens a client to the new address.
     */
    public void addressChanged(String invoker) {
        connections.disconnect(invoker);
    }

    /**
     * Passes a message from another controller to the scheduler.
     *
     * @param peer number of the controller that sent the message
     */
    public void gossipReceived(int peer, byte[] message) {
        dispatcher.dispatchToScheduler(new SchedulerEvent.GossipReceived(peer, message));
    }

    /**
     * Returns the number of table entries held for requests, their clients and their attempts; 0
     * once every request and every attempt has ended.
     */
    public int retainedEntries() {
        return openRequests.size() + waitingClients.size() + classifier.retainedEntries();
    }

    /** Returns the number of functions that the scheduler remembers. */
    public int rememberedFunctions() {
        return scheduler.rememberedFunctions();
    }

    /** Returns how many invokers the scheduler has examined as candidates since the start. */
    public long examinedInvokers() {
        return scheduler.examinedInvokers();
    }

    /** Returns how many sends the send guard has refused since the start, by reason. */
    public Map<SendGuard.Refusal, Long> refusedSends() {
        return sendGuard.counts();
    }

    /** Returns the number of requests in flight; a request that several clients wait for is one. */
    public int inFlight() {
        return pendingRequests.inFlight();
    }

    /** Returns the number of invokers that are listed as ready. */
    public int readyInvokerCount() {
        return connections.readyCount();
    }

    /** Returns the number of invokers that have a client. */
    public int invokerClientCount() {
        return connections.clientCount();
    }

    /** Returns the number of open connections to all invokers. */
    public int openConnections() {
        return connections.openConnections();
    }
}
