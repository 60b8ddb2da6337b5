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
 * the response classifier and the scheduler with clients and invokers. It takes no decision of its
 * own.
 *
 * <p>Not thread-safe: owned by the controller's event loop.
 */
public final class Controller implements RequestHandler {
    /** Creates the scheduler; tests and comparisons supply others. */
    public interface SchedulerFactory {
        /**
         * Creates a scheduler.
         *
         * @param seed of its random choices
         */
        RequestScheduler create(SchedulerSettings settings, long seed);
    }

    private final SendGuard sendGuard = new SendGuard();
    private final WallClock wallClock;
    private final PendingRequests pendingRequests;
    private final ResponseClassifier classifier;
    private final EventDispatcher dispatcher;
    private final OpenRequests openRequests;
    private final WaitingClients waitingClients;
    private final InvokerConnections connections;
    private final EndpointListExpiry listExpiry;

    /**
     * Creates a controller without invokers; it gets them by {@link #endpointsUpdated}.
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

    /** Begins a graceful shutdown: new requests are rejected, those in flight go on. */
    public void startShutdown() {
        dispatcher.dispatchToPendingRequests(new PendingRequests.ShutdownStarted());
    }

    /** Ends all requests that are still in flight. */
    public void shutdownGraceExpired() {
        dispatcher.dispatchToPendingRequests(new PendingRequests.ShutdownGraceExpired());
    }

    /** Takes an endpoint list, a snapshot or changes only. */
    public void endpointsUpdated(EndpointsUpdated update) {
        connections.update(update);
        dispatcher.dispatchToClassifier(new ClassifierEvent.EndpointListReceived(update));
    }

    /**
     * Service discovery was heard from, went out of reach or came back.
     *
     * @param receivedAtMicros from when on all that discovery holds counts as received here, unless
     *     it is heard from again; {@link Long#MAX_VALUE} where that is not limited
     * @param catchingUp whether what is missing is being delivered
     */
    public void listFreshnessChanged(long receivedAtMicros, boolean catchingUp) {
        listExpiry.setReceivedAt(receivedAtMicros);
        dispatcher.dispatchToScheduler(
                new SchedulerEvent.ListFreshnessChanged(receivedAtMicros, catchingUp));
    }

    /** The endpoint list could not be fetched. */
    public void endpointUpdateFailed() {
        dispatcher.dispatchToScheduler(new SchedulerEvent.EndpointUpdateFailed());
    }

    /**
     * An invoker has a new address: its next entry in an endpoint list opens a client there, and
     * what is outstanding at the old address ends.
     */
    public void addressChanged(String invoker) {
        connections.disconnect(invoker);
    }

    /** Another controller sent a message. */
    public void gossipReceived(int peer, byte[] message) {
        dispatcher.dispatchToScheduler(new SchedulerEvent.GossipReceived(peer, message));
    }

    /** Entries kept beyond the ends of requests; 0 once all attempts have ended too. */
    public int retainedEntries() {
        return openRequests.size() + waitingClients.size() + classifier.retainedEntries();
    }

    /** What the guard of all sends has held back, by reason. */
    public Map<SendGuard.Refusal, Long> refusedSends() {
        return sendGuard.counts();
    }

    /** Requests in flight, each counted once however many clients wait for it. */
    public int inFlight() {
        return pendingRequests.inFlight();
    }

    /** Invokers that are listed as ready. */
    public int readyInvokerCount() {
        return connections.readyCount();
    }

    /** Invokers that there is a client for. */
    public int invokerClientCount() {
        return connections.clientCount();
    }

    /** Open connections to all invokers. */
    public int openConnections() {
        return connections.openConnections();
    }
}
