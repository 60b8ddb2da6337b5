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
 * What a gateway's controller is made of by its configuration, and what it counts and logs of
 * itself.
 */
public final class GatewayControllerListener implements ControllerListener {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

    private final GatewayConfig config;
    private final Metrics metrics;
    private final PendingRequests desk;
    private final HealthTrackingClassifier outcomes;
    private final ControllerDependencies parts;

    public GatewayControllerListener(
            GatewayConfig config,
            Controller.SchedulerFactory maker,
            AdmissionControl gate,
            Metrics metrics,
            long wallSeconds) {
        this.config = config;
        this.metrics = metrics;
        this.outcomes =
                new HealthTrackingClassifier(
                        config.classifier(),
                        config.schedulerSettings().preloading(),
                        config.schedulerSettings().loadReports(),
                        config.schedulerSettings().controllerCount());
        this.desk =
                new PendingRequests(
                        config.schedulerSettings().classes(),
                        config.schedulerSettings().limits().maxInFlight(),
                        config.schedulerSettings().tickMicros(),
                        new IdempotencyStore(config.idempotencyBounds(), wallSeconds),
                        gate,
                        config.schedulerSettings().limits().mayCancel());
        this.parts =
                new ControllerDependencies(
                        config.schedulerSettings(),
                        maker.create(config.schedulerSettings(), config.seed()),
                        desk,
                        outcomes,
                        gate,
                        this::configured,
                        new FailureThreshold(
                                config.failureLimit().maxFailures(),
                                config.failureLimit().windowMicros()));
    }

    public ControllerDependencies dependencies() {
        return parts;
    }

    private FunctionHints configured(String function) {
        GatewayConfig.DeclaredFunction f =
                config.functions().getOrDefault(function, config.unknownFunction());
        return f == null
                ? FunctionHints.NONE
                : new FunctionHints(
                        f.memoryMb(),
                        f.concurrencyPerInstance(),
                        f.loadMicros(),
                        f.workMicros(),
                        false);
    }

    /** Names what is counted, once the controller stands. */
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
        metrics.registerGauge("waytrestle_open_calls", "", desk::inFlight);
        metrics.registerGauge("waytrestle_invokers_ready", "", controller::readyInvokerCount);
        metrics.registerGauge("waytrestle_invokers_ejected", "", outcomes::ejectedInvokers);
        metrics.registerGauge("waytrestle_functions_blamed", "", outcomes::openCircuits);
        metrics.registerGauge(
                "waytrestle_ids_remembered", "", () -> desk.idempotencyStore().size());
        metrics.registerGauge("waytrestle_ids_bytes", "", () -> desk.idempotencyStore().bytes());
        metrics.registerGauge("waytrestle_invoker_connections", "", controller::openConnections);
        metrics.registerFamily(
                "waytrestle_promises_total",
                "counter",
                "Answers by which an invoker kept, broke or left untold "
                        + "what a setting promises of it.",
                out ->
                        outcomes.forEachCapability(
                                (invoker, promise, untold, kept, broken) -> {
                                    String labels =
                                            "invoker=\""
                                                    + invoker
                                                    + "\",promise=\""
                                                    + promise.label()
                                                    + "\",seen=\"";
                                    out.accept(labels + "untold\"", untold);
                                    out.accept(labels + "kept\"", kept);
                                    out.accept(labels + "broken\"", broken);
                                }));
        return this;
    }

    private String labels(IncomingRequest call, String end) {
        return "class=\""
                + config.schedulerSettings().classes().get(call.requestClass()).name()
                + "\",end=\""
                + end
                + "\"";
    }

    @Override
    public void requestCompleted(IncomingRequest call, String end, String reason, long micros) {
        String labels = labels(call, end);
        metrics.counter("waytrestle_calls_total", labels).increment();
        if (end.equals("left")) {
            return;
        }
        if (!end.equals("served")) {
            metrics.counter("waytrestle_unserved_total", labels + ",reason=\"" + reason + "\"")
                    .increment();
        }
        metrics.recordLatency("waytrestle_call_seconds", labels, micros);
    }

    /** The code as metrics have always named it. */
    private static String label(ResponseCode code) {
        return switch (code) {
            case NOT_SENT -> "MOOT";
            case NOT_LOADED -> "MISS";
            default -> code.name();
        };
    }

    @Override
    public void attemptCompleted(
            ResponseCode code, String invoker, ExchangeResult said, long micros) {
        metrics.counter("waytrestle_attempts_total", "code=\"" + label(code) + "\"").increment();
        if (code != ResponseCode.NOT_SENT) {
            metrics.counter(
                            "waytrestle_replies_total",
                            "invoker=\"" + invoker + "\",reply=\"" + said.text() + "\"")
                    .increment();
        }
        metrics.recordLatency("waytrestle_attempt_seconds", "code=\"" + label(code) + "\"", micros);
    }

    @Override
    public void attemptSendDelayed(
            IncomingRequest request, int attempt, String invoker, long micros) {
        LOG.warn("send.delayed attempt={} invoker={} delay_us={}", attempt, invoker, micros);
    }

    @Override
    public void preloadSendDelayed(String invoker, String function, long micros) {
        LOG.warn("send.delayed preload={} invoker={} delay_us={}", function, invoker, micros);
    }

    @Override
    public void preloadAdmitted() {
        metrics.counter("waytrestle_orders_total", "").increment();
    }

    @Override
    public void invokerEjected(String invoker, long micros) {
        metrics.counter("waytrestle_ejections_total", "").increment();
        LOG.warn("invoker.ejected invoker={} duration_ms={}", invoker, micros / 1_000);
    }

    @Override
    public void invokerReadmitted(String invoker) {
        LOG.info("invoker.readmitted invoker={}", invoker);
    }

    @Override
    public void capabilityWarning(ClassifierCommand.WarnOfMissingCapability a) {
        LOG.warn(
                "capability.{} invoker={} setting={} declared=\"{}\"",
                a.unreported() ? "not_reported" : "refuted",
                a.invoker(),
                a.capability().setting(),
                a.capability().description());
    }

    @Override
    public void invokerRemoved(String invoker) {
        metrics.removeCounters("invoker=\"" + invoker + "\"");
    }

    @Override
    public void decisionFailed(
            SchedulerEvent event, Collection<SchedulerEvent> before, Throwable why) {
        LOG.error(
                "scheduler.decision_failed seed={} settings={} event={} events_before={}",
                config.seed(),
                config.schedulerSettings(),
                event,
                List.copyOf(before),
                why);
        metrics.counter("waytrestle_failed_decisions_total", "").increment();
    }

    @Override
    public void logMessage(String text) {
        LOG.info("{}", text);
    }
}
