package waytrestle.controller;

import java.util.Map;
import java.util.function.Function;
import waytrestle.invoker.LoadMetrics;
import waytrestle.overload.StartupPreloadLimit;
import waytrestle.requests.RequestHandler.FunctionHints;
import waytrestle.requests.SendGuard;
import waytrestle.responses.ClassifierEvent;
import waytrestle.responses.ExchangeResult;
import waytrestle.responses.ResponseClassifier;
import waytrestle.scheduler.ResponseCode;
import waytrestle.scheduler.SchedulerCommand;
import waytrestle.scheduler.SchedulerEvent;
import waytrestle.scheduler.SchedulerEvent.HealthCheckCompleted;
import waytrestle.scheduler.SchedulerSettings;

/**
 * Carries out the commands of the scheduler to invokers that are no attempts: sends preload
 * requests, unload requests and health checks, and closes idle connections.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class InvokerOperations {
    private final Transport transport;
    private final SchedulerSettings settings;
    private final ResponseClassifier classifier;
    private final Function<String, FunctionHints> functionHints;
    private final EventDispatcher dispatcher;
    private final InvokerConnections connections;
    private final StartupPreloadLimit startupPreloadLimit;
    private final InvokerReadiness readiness;
    private final SendGuard sendGuard;
    private final ControllerListener listener;

    InvokerOperations(
            Transport transport,
            ControllerDependencies dependencies,
            EventDispatcher dispatcher,
            InvokerConnections connections,
            StartupPreloadLimit startupPreloadLimit,
            InvokerReadiness readiness,
            SendGuard sendGuard,
            ControllerListener listener) {
        this.transport = transport;
        this.settings = dependencies.settings();
        this.classifier = dependencies.classifier();
        this.functionHints = dependencies.functionHints();
        this.dispatcher = dispatcher;
        this.connections = connections;
        this.startupPreloadLimit = startupPreloadLimit;
        this.readiness = readiness;
        this.sendGuard = sendGuard;
        this.listener = listener;
    }

    /**
     * Sends a preload request, within the limit on preloads after a start. A request over the limit
     * or to an invoker without a client is not sent and ends with a code that says so.
     */
    void preload(SchedulerCommand.PreloadFunction command) {
        if (loadsInstances(command) && !startupPreloadLimit.tryAcquire(transport.nowMicros())) {
            failPreloadLater(command, ResponseCode.NOT_SENT);
            return;
        }
        listener.preloadAdmitted();
        InvokerClient client = connections.findClient(command.invoker());
        if (client == null) {
            failPreloadLater(command, ResponseCode.CONNECT_FAILED);
            return;
        }
        client.preload(
                command.function(),
                command.instances(),
                settings.preloading().preloadTimeoutMicros(),
                new PreloadListener(command));
    }

    /** Returns whether a preload request may load instances, or only asks how many are loaded. */
    private static boolean loadsInstances(SchedulerCommand.PreloadFunction command) {
        return command.instances() > 0;
    }

    private void failPreloadLater(SchedulerCommand.PreloadFunction command, ResponseCode code) {
        dispatchLater(
                new SchedulerEvent.PreloadCompleted(
                        command.invoker(), command.function(), code, 0, 0));
    }

    /** Dispatches an event to the scheduler as a task of its own, after the current event. */
    private void dispatchLater(SchedulerEvent event) {
        transport.schedule(0, () -> dispatcher.dispatchToScheduler(event));
    }

    /** Checks one preload request before it is sent, and reports its end. */
    private final class PreloadListener implements InvokerClient.OperationListener {
        private final SchedulerCommand.PreloadFunction command;
        private final long sentAtMicros = transport.nowMicros();
        private final boolean invokerWasReady;

        PreloadListener(SchedulerCommand.PreloadFunction command) {
            this.command = command;
            this.invokerWasReady = connections.isReadyToScheduler(command.invoker());
        }

        @Override
        public ExchangeResult.Kind checkBeforeSend() {
            if (!loadsInstances(command)) {
                return null; // a preload request that only asks begins no work
            }
            InvokerReadiness.Readiness current =
                    readiness.check(command.invoker(), invokerWasReady);
            if (sendGuard.checkPreload(current.stillReady(), current.recentlyConfirmed()) != null) {
                return ExchangeResult.Kind.NO_CAPACITY;
            }
            readiness.recordSent(ControllerListener.WorkKind.PRELOAD);
            return null;
        }

        @Override
        public void sendDelayed(long delayMicros) {
            listener.preloadSendDelayed(command.invoker(), command.function(), delayMicros);
        }

        /** Notifies the classifier of the end of the preload request, then the scheduler. */
        @Override
        public void completed(ExchangeResult result, int instances, LoadMetrics metrics) {
            long elapsedMicros = transport.nowMicros() - sentAtMicros;
            ResponseCode code = classifier.codeOfPreloadOrHealthCheck(result);
            listener.preloadCompleted(command.invoker(), command.function(), code);
            if (loadsInstances(command)) {
                notifyClassifier(result, metrics, elapsedMicros);
            }
            dispatcher.dispatchToScheduler(
                    new SchedulerEvent.PreloadCompleted(
                            command.invoker(), command.function(), code, elapsedMicros, instances));
        }

        private void notifyClassifier(
                ExchangeResult result, LoadMetrics metrics, long elapsedMicros) {
            dispatcher.notifyClassifier(
                    new ClassifierEvent.PreloadCompleted(
                            command.invoker(),
                            command.function(),
                            result,
                            metrics.copies(),
                            elapsedMicros,
                            functionHints.apply(command.function()).loadMicros()));
        }
    }

    /** Sends an unload request, whose outcome is not reported; does nothing without a client. */
    void unload(SchedulerCommand.UnloadFunction command) {
        InvokerClient client = connections.findClient(command.invoker());
        if (client != null) {
            client.unload(command.function(), settings.preloading().preloadTimeoutMicros());
        }
    }

    /** Sends a health check and dispatches its result to the scheduler. */
    void checkHealth(SchedulerCommand.CheckHealth command) {
        InvokerClient client = connections.findClient(command.invoker());
        long sentAtMicros = transport.nowMicros();
        if (client == null) {
            dispatchLater(
                    new HealthCheckCompleted(
                            command.invoker(), ResponseCode.CONNECT_FAILED, 0, Map.of(), 0));
            return;
        }
        client.checkHealth(
                settings.limits().connectTimeoutMicros(),
                (result, instances, metrics) -> {
                    ResponseCode code = classifier.codeOfPreloadOrHealthCheck(result);
                    listener.healthCheckCompleted(command.invoker(), code);
                    dispatcher.dispatchToScheduler(
                            new HealthCheckCompleted(
                                    command.invoker(),
                                    code,
                                    transport.nowMicros() - sentAtMicros,
                                    metrics.report(),
                                    client.connectedSinceMicros()));
                });
    }

    /** Closes the idle connections to an invoker; does nothing without a client. */
    void closeIdleConnections(SchedulerCommand.CloseIdleConnections command) {
        InvokerClient client = connections.findClient(command.invoker());
        if (client != null) {
            client.closeIdle();
        }
    }
}
