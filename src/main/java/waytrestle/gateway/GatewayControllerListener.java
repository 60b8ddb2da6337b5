package waytrestle.gateway;

import java.util.Collection;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import waytrestle.config.GatewayConfig;
import waytrestle.controller.Controller;
import waytrestle.controller.ControllerDependencies;
import waytrestle.controller.ControllerListener;
import waytrestle.controller.FailureThreshold;
import waytrestle.metrics.Metrics;
import waytrestle.requests.AdmissionControl;
import waytrestle.requests.IdempotencyStore;
import waytrestle.requests.PendingRequests;
import waytrestle.requests.RequestHandler.FunctionHints;
import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.responses.ClassifierCommand;
import waytrestle.responses.ExchangeResult;
import waytrestle.responses.HealthTrackingClassifier;
import waytrestle.scheduler.ResponseCode;
import waytrestle.scheduler.SchedulerEvent;

/**
 * Creates the dependencies of a gateway's controller from the configuration, and records the
 * controller's events as metrics and log lines.
 *
 * <p>Not thread-safe: used by the controller's event loop, except before that starts.
 */
public final class GatewayControllerListener implements ControllerListener {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

    private final GatewayConfig config;
    private final Metrics metrics;
    private final PendingRequests pendingRequests;
    private final HealthTrackingClassifier classifier;
    private final ControllerDependencies dependencies;

    /**
     * Creates the dependencies of a controller.
     *
     * @param admissionControl decides which requests are admitted
     * @param wallSeconds wall-clock time of the start, in seconds
     */
    public GatewayControllerListener(
            GatewayConfig config,
            Controller.SchedulerFactory schedulerFactory,
            AdmissionControl admissionControl,
            Metrics metrics,
            long wallSeconds) {
        this.config = config;
        this.metrics = metrics;
        this.classifier =
                new HealthTrackingClassifier(
                        config.classifier(),
                        config.schedulerSettings().preloading(),
                        config.schedulerSettings().loadReports(),
                        config.schedulerSettings().controllerCount());
        this.pendingRequests =
                new PendingRequests(
                        config.schedulerSettings().classes(),
                        config.schedulerSettings().limits().maxInFlight(),
                        config.schedulerSettings().tickMicros(),
                        new IdempotencyStore(config.idempotencyBounds(), wallSeconds),
                        admissionControl,
                        config.schedulerSettings().limits().mayCancel());
        this.dependencies =
                new ControllerDependencies(
                        config.schedulerSettings(),
                        schedulerFactory.create(config.schedulerSettings(), config.seed()),
                        pendingRequests,
                        classifier,
                        admissionControl,
                        this::configuredHints,
                        new FailureThreshold(
                                config.failureLimit().maxFailures(),
                                config.failureLimit().windowMicros()));
    }

    /** Returns what the controller is to be created with. */
    public ControllerDependencies dependencies() {
        return dependencies;
    }

    /** Returns what the configuration declares of a function. */
    private FunctionHints configuredHints(String function) {
        GatewayConfig.DeclaredFunction declared =
                config.functions().getOrDefault(function, config.unknownFunction());
        return declared == null
                ? FunctionHints.NONE
                : new FunctionHints(
                        declared.memoryMb(),
                        declared.concurrencyPerInstance(),
                        declared.loadMicros(),
                        declared.workMicros(),
                        false);
    }

    /** Registers the metrics and their help texts; to be called once the controller is created. */
    public GatewayControllerListener registerMetrics(Controller controller) {
        metrics.setHelp(
                "waytrestle_calls_total",
                "Answers given, by class and end: served, refused (coming again is "
                        + "harmless), failed, or left by its client.");
        metrics.setHelp(
                "waytrestle_unserved_total",
                "Refused and failed calls by class and reason; a function's own "
                        + "error counts under the reason function.");
        metrics.setHelp("waytrestle_call_seconds", "Time from a call's acceptance to its answer.");
        metrics.setHelp(
                "waytrestle_attempts_total",
                "Attempts ended, by the code that the decisions heard; MOOT never " + "went out.");
        metrics.setHelp(
                "waytrestle_replies_total",
                "What came back of attempts, by invoker: a status or a word in place " + "of one.");
        metrics.setHelp("waytrestle_attempt_seconds", "Time from sending an attempt to its end.");
        metrics.setHelp("waytrestle_orders_total", "Load orders given.");
        metrics.setHelp(
                "waytrestle_failed_decisions_total",
                "Decisions that threw; each failed its call alone.");
        metrics.setHelp(
                "waytrestle_ejections_total",
                "Times that an invoker was left out for a while because it alone " + "erred.");
        metrics.setHelp("waytrestle_open_calls", "Calls accepted and not answered yet.");
        metrics.setHelp("waytrestle_invokers_ready", "Invokers that the roster calls ready.");
        metrics.setHelp(
                "waytrestle_invokers_ejected",
                "Ready invokers left out at present because they alone err.");
        metrics.setHelp(
                "waytrestle_functions_blamed",
                "Functions that fail everywhere and are answered for without a "
                        + "try, but for one probe at a time.");
        metrics.setHelp(
                "waytrestle_ids_remembered",
                "Ids in the memory that keeps repeats from running again.");
        metrics.setHelp("waytrestle_ids_bytes", "Bytes of these ids and their remembered answers.");
        metrics.setHelp("waytrestle_invoker_connections", "Open connections to all invokers.");
        metrics.registerGauge("waytrestle_open_calls", "", pendingRequests::inFlight);
        metrics.registerGauge("waytrestle_invokers_ready", "", controller::readyInvokerCount);
        metrics.registerGauge("waytrestle_invokers_ejected", "", classifier::ejectedInvokers);
        metrics.registerGauge("waytrestle_functions_blamed", "", classifier::openCircuits);
        metrics.registerGauge(
                "waytrestle_ids_remembered", "", () -> pendingRequests.idempotencyStore().size());
        metrics.registerGauge(
                "waytrestle_ids_bytes", "", () -> pendingRequests.idempotencyStore().bytes());
        metrics.registerGauge("waytrestle_invoker_connections", "", controller::openConnections);
        metrics.registerFamily(
                "waytrestle_promises_total",
                "counter",
                "Answers by which an invoker kept, broke or left untold "
                        + "what a setting promises of it.",
                out ->
                        classifier.forEachCapability(
                                (invoker, capability, unreported, confirmed, refuted) -> {
                                    String labels =
                                            "invoker=\""
                                                    + invoker
                                                    + "\",promise=\""
                                                    + capability.label()
                                                    + "\",seen=\"";
                                    out.accept(labels + "untold\"", unreported);
                                    out.accept(labels + "kept\"", confirmed);
                                    out.accept(labels + "broken\"", refuted);
                                }));
        return this;
    }

    private String labels(IncomingRequest request, String outcome) {
        return "class=\""
                + config.schedulerSettings().classes().get(request.requestClass()).name()
                + "\",end=\""
                + outcome
                + "\"";
    }

    @Override
    public void requestCompleted(
            IncomingRequest request, String outcome, String reason, long elapsedMicros) {
        String labels = labels(request, outcome);
        metrics.counter("waytrestle_calls_total", labels).increment();
        if (outcome.equals("left")) {
            return;
        }
        if (!outcome.equals("served")) {
            metrics.counter("waytrestle_unserved_total", labels + ",reason=\"" + reason + "\"")
                    .increment();
        }
        metrics.recordLatency("waytrestle_call_seconds", labels, elapsedMicros);
    }

    /** Returns the label of a response code; two codes keep labels from before their renaming. */
    private static String label(ResponseCode code) {
        return switch (code) {
            case NOT_SENT -> "MOOT";
            case NOT_LOADED -> "MISS";
            default -> code.name();
        };
    }

    @Override
    public void attemptCompleted(
            ResponseCode code, String invoker, ExchangeResult result, long elapsedMicros) {
        metrics.counter("waytrestle_attempts_total", "code=\"" + label(code) + "\"").increment();
        if (code != ResponseCode.NOT_SENT) {
            metrics.counter(
                            "waytrestle_replies_total",
                            "invoker=\"" + invoker + "\",reply=\"" + result.text() + "\"")
                    .increment();
        }
        metrics.recordLatency(
                "waytrestle_attempt_seconds", "code=\"" + label(code) + "\"", elapsedMicros);
    }

    @Override
    public void attemptSendDelayed(
            IncomingRequest request, int attempt, String invoker, long delayMicros) {
        LOG.warn("send.delayed attempt={} invoker={} delay_us={}", attempt, invoker, delayMicros);
    }

    @Override
    public void preloadSendDelayed(String invoker, String function, long delayMicros) {
        LOG.warn("send.delayed preload={} invoker={} delay_us={}", function, invoker, delayMicros);
    }

    @Override
    public void preloadAdmitted() {
        metrics.counter("waytrestle_orders_total", "").increment();
    }

    @Override
    public void invokerEjected(String invoker, long durationMicros) {
        metrics.counter("waytrestle_ejections_total", "").increment();
        LOG.warn("invoker.ejected invoker={} duration_ms={}", invoker, durationMicros / 1_000);
    }

    @Override
    public void invokerReadmitted(String invoker) {
        LOG.info("invoker.readmitted invoker={}", invoker);
    }

    @Override
    public void capabilityWarning(ClassifierCommand.WarnOfMissingCapability warning) {
        LOG.warn(
                "capability.{} invoker={} setting={} declared=\"{}\"",
                warning.unreported() ? "not_reported" : "refuted",
                warning.invoker(),
                warning.capability().setting(),
                warning.capability().description());
    }

    @Override
    public void invokerRemoved(String invoker) {
        metrics.removeCounters("invoker=\"" + invoker + "\"");
    }

    @Override
    public void decisionFailed(
            SchedulerEvent event, Collection<SchedulerEvent> recentEvents, Throwable cause) {
        LOG.error(
                "scheduler.decision_failed seed={} settings={} event={} events_before={}",
                config.seed(),
                config.schedulerSettings(),
                event,
                List.copyOf(recentEvents),
                cause);
        metrics.counter("waytrestle_failed_decisions_total", "").increment();
    }

    @Override
    public void logMessage(String text) {
        LOG.info("{}", text);
    }
}
