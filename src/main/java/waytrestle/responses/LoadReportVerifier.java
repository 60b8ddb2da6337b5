package waytrestle.responses;

import java.util.List;
import java.util.Map;

/**
 * Checks the load and the concurrency that invokers report.
 *
 * <p>Guards against invokers that report nonsense: one report of a million requests in flight would
 * spoil the average that all other invokers are compared with.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class LoadReportVerifier {
    private static final String IN_FLIGHT_METRIC = "inflight";
    private static final String QUEUE_METRIC = "queue";

    /** The metrics that the scheduler's estimate uses. */
    private static final List<String> USED_METRICS = List.of(IN_FLIGHT_METRIC, QUEUE_METRIC, "x1");

    /** Largest value of any metric that can be true. */
    private static final double MAX_METRIC_VALUE = 1e6;

    /** Weight of a report in the mean load: about the last ten count. */
    private static final double REPORT_EWMA_WEIGHT = 0.1;

    /** Own requests surely there before a report of fewer refutes itself. */
    private static final int MIN_OWN_REQUESTS = 3;

    /** Share of the own requests there below which a report cannot be true. */
    private static final double MIN_OWN_REQUESTS_REPORTED_SHARE = 0.5;

    /** Multiple of the usual load at which no response comes within the usual time. */
    private static final double OVERLOAD_RATIO = 8;

    /** Requests in flight that slow nobody, as the scheduler's estimate has it. */
    private static final double FREE_REQUESTS = 4;

    /** Multiple of the usual latency up to which a response waited for nothing. */
    private static final double UNDELAYED_LATENCY_RATIO = 1.5;

    private final boolean declaresConcurrency;
    private final boolean declaresLoadReports;
    private final CapabilityEvidenceTable ledger;
    private double meanInFlight;

    LoadReportVerifier(
            boolean declaresConcurrency,
            boolean declaresLoadReports,
            CapabilityEvidenceTable ledger) {
        this.declaresConcurrency = declaresConcurrency;
        this.declaresLoadReports = declaresLoadReports;
        this.ledger = ledger;
    }

    /** The reported metrics if they are to be believed, otherwise none. */
    Map<String, Double> verifiedMetrics(
            FunctionRecord function, CompletedAttempt attempt, Map<String, Double> metrics) {
        if (metrics.isEmpty()) {
            if (declaresLoadReports) {
                ledger.addUnreported(attempt.invoker(), DeclaredCapability.LOAD_REPORTS);
            }
            return metrics;
        }
        boolean plausible = isWithinRange(metrics) && isPlausibleLoad(function, attempt, metrics);
        Double inFlight = metrics.get(IN_FLIGHT_METRIC);
        if (plausible && inFlight != null) {
            double bounded = Math.min(inFlight, overloadInFlight());
            meanInFlight += REPORT_EWMA_WEIGHT * (bounded - meanInFlight);
        }
        ledger.addChecked(attempt.invoker(), DeclaredCapability.LOAD_REPORTS, plausible);
        boolean believed =
                plausible && ledger.isTrusted(attempt.invoker(), DeclaredCapability.LOAD_REPORTS);
        return believed ? metrics : Map.of();
    }

    private static boolean isWithinRange(Map<String, Double> metrics) {
        for (String name : USED_METRICS) {
            double value = metrics.getOrDefault(name, 0.0);
            boolean inRange = value >= 0 && value <= MAX_METRIC_VALUE;
            if (!inRange) {
                return false;
            }
        }
        return true;
    }

    /** Not fewer requests than this controller alone has there, and no load without delay. */
    private boolean isPlausibleLoad(
            FunctionRecord function, CompletedAttempt attempt, Map<String, Double> metrics) {
        Double inFlight = metrics.get(IN_FLIGHT_METRIC);
        if (inFlight == null) {
            return true;
        }
        int own = attempt.attemptsPresumedReceived();
        boolean tooFew =
                own >= MIN_OWN_REQUESTS && inFlight < own * MIN_OWN_REQUESTS_REPORTED_SHARE;
        boolean overloaded = inFlight > overloadInFlight();
        boolean tooMany =
                overloaded
                        && (!function.latency().isKnown() || isServedUndelayed(function, attempt));
        return !tooFew && !tooMany && metrics.getOrDefault(QUEUE_METRIC, 0.0) <= inFlight;
    }

    private static boolean isServedUndelayed(FunctionRecord function, CompletedAttempt attempt) {
        double undelayedMicros = UNDELAYED_LATENCY_RATIO * function.latency().runMicros();
        return attempt.served() && attempt.latencyMicros() < undelayedMicros;
    }

    private double overloadInFlight() {
        return OVERLOAD_RATIO * (meanInFlight + FREE_REQUESTS);
    }

    /**
     * The reported concurrent requests of the function if they are to be believed: never more than
     * all requests that are there.
     */
    int verifiedConcurrency(
            CompletedAttempt attempt, int reported, Map<String, Double> believedMetrics) {
        if (!declaresConcurrency) {
            return InvokerLoadReport.CONCURRENCY_NOT_REPORTED;
        }
        String invoker = attempt.invoker();
        if (reported < 0) {
            ledger.addUnreported(invoker, DeclaredCapability.CONCURRENCY);
            return InvokerLoadReport.CONCURRENCY_NOT_REPORTED;
        }
        double inFlight = believedMetrics.getOrDefault(IN_FLIGHT_METRIC, overloadInFlight());
        boolean plausible = reported <= inFlight + 1;
        ledger.addChecked(invoker, DeclaredCapability.CONCURRENCY, plausible);
        boolean believed = plausible && ledger.isTrusted(invoker, DeclaredCapability.CONCURRENCY);
        return believed ? reported : InvokerLoadReport.CONCURRENCY_NOT_REPORTED;
    }
}
