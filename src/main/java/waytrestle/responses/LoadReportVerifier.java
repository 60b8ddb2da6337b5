package waytrestle.responses;

import java.util.List;
import java.util.Map;

/**
 * Checks whether the load and the concurrency that invokers report are plausible.
 *
 * <p>Guards against invokers that report impossible values: one report of a million requests in
 * flight would distort the average with which all other invokers are compared.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class LoadReportVerifier {
    private static final String IN_FLIGHT_METRIC = "inflight";
    private static final String QUEUE_METRIC = "queue";

    /** The metrics that the scheduler's finish time estimate uses. */
    private static final List<String> USED_METRICS = List.of(IN_FLIGHT_METRIC, QUEUE_METRIC, "x1");

    /** Highest plausible value of any metric. */
    private static final double MAX_METRIC_VALUE = 1e6;

    /** Weight of one report in {@link #meanInFlight}, which averages about the last ten reports. */
    private static final double REPORT_EWMA_WEIGHT = 0.1;

    /**
     * Number of attempts of this controller received by the invoker from which a report of too few
     * requests in flight is refuted.
     */
    private static final int MIN_OWN_ATTEMPTS = 3;

    /**
     * Lowest plausible ratio of the reported requests in flight to this controller's attempts at
     * the invoker.
     */
    private static final double MIN_REPORTED_TO_OWN_RATIO = 0.5;

    /**
     * Multiple of the average load above which no response within the usual latency is plausible.
     */
    private static final double OVERLOAD_RATIO = 8;

    /**
     * Number of requests in flight that cause no delay, as in the scheduler's finish time estimate.
     */
    private static final double UNDELAYED_REQUESTS = 4;

    /** Multiple of the usual run time up to which a response counts as not delayed. */
    private static final double UNDELAYED_LATENCY_RATIO = 1.5;

    private final boolean declaresConcurrency;
    private final boolean declaresLoadReports;
    private final CapabilityEvidenceTable evidence;

    /**
     * Average number of requests in flight per invoker, over the plausible reports of all invokers.
     */
    private double meanInFlight;

    LoadReportVerifier(
            boolean declaresConcurrency,
            boolean declaresLoadReports,
            CapabilityEvidenceTable evidence) {
        this.declaresConcurrency = declaresConcurrency;
        this.declaresLoadReports = declaresLoadReports;
        this.evidence = evidence;
    }

    /**
     * Returns the reported metrics if they are plausible and the invoker is trusted, otherwise an
     * empty map.
     */
    Map<String, Double> verifiedMetrics(
            FunctionRecord function, CompletedAttempt attempt, Map<String, Double> metrics) {
        if (metrics.isEmpty()) {
            if (declaresLoadReports) {
                evidence.addUnreported(attempt.invoker(), DeclaredCapability.LOAD_REPORTS);
            }
            return metrics;
        }
        boolean plausible = isWithinRange(metrics) && isPlausibleLoad(function, attempt, metrics);
        Double inFlight = metrics.get(IN_FLIGHT_METRIC);
        if (plausible && inFlight != null) {
            double bounded = Math.min(inFlight, overloadThreshold());
            meanInFlight += REPORT_EWMA_WEIGHT * (bounded - meanInFlight);
        }
        evidence.addChecked(attempt.invoker(), DeclaredCapability.LOAD_REPORTS, plausible);
        boolean trusted =
                plausible && evidence.isTrusted(attempt.invoker(), DeclaredCapability.LOAD_REPORTS);
        return trusted ? metrics : Map.of();
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

    /**
     * Returns whether the reported requests in flight are plausible: not far fewer than this
     * controller's own attempts at the invoker, not an overload that would have delayed the
     * response, and not fewer than the reported queue length.
     */
    private boolean isPlausibleLoad(
            FunctionRecord function, CompletedAttempt attempt, Map<String, Double> metrics) {
        Double inFlight = metrics.get(IN_FLIGHT_METRIC);
        if (inFlight == null) {
            return true;
        }
        int ownAttempts = attempt.attemptsPresumedReceived();
        boolean tooFew =
                ownAttempts >= MIN_OWN_ATTEMPTS
                        && inFlight < ownAttempts * MIN_REPORTED_TO_OWN_RATIO;
        boolean overloaded = inFlight > overloadThreshold();
        boolean tooMany =
                overloaded
                        && (!function.latency().isKnown()
                                || isServedWithoutDelay(function, attempt));
        return !tooFew && !tooMany && metrics.getOrDefault(QUEUE_METRIC, 0.0) <= inFlight;
    }

    private static boolean isServedWithoutDelay(FunctionRecord function, CompletedAttempt attempt) {
        double undelayedMicros = UNDELAYED_LATENCY_RATIO * function.latency().runMicros();
        return attempt.served() && attempt.latencyMicros() < undelayedMicros;
    }

    private double overloadThreshold() {
        return OVERLOAD_RATIO * (meanInFlight + UNDELAYED_REQUESTS);
    }

    /**
     * Returns the reported concurrent requests of the function if they are plausible, which means
     * not more than all requests at the invoker, and if the invoker is trusted; otherwise {@link
     * InvokerLoadReport#CONCURRENCY_NOT_REPORTED}.
     */
    int verifiedConcurrency(
            CompletedAttempt attempt, int reported, Map<String, Double> verifiedMetrics) {
        if (!declaresConcurrency) {
            return InvokerLoadReport.CONCURRENCY_NOT_REPORTED;
        }
        String invoker = attempt.invoker();
        if (reported < 0) {
            evidence.addUnreported(invoker, DeclaredCapability.CONCURRENCY);
            return InvokerLoadReport.CONCURRENCY_NOT_REPORTED;
        }
        double inFlight = verifiedMetrics.getOrDefault(IN_FLIGHT_METRIC, overloadThreshold());
        boolean plausible = reported <= inFlight + 1;
        evidence.addChecked(invoker, DeclaredCapability.CONCURRENCY, plausible);
        boolean trusted = plausible && evidence.isTrusted(invoker, DeclaredCapability.CONCURRENCY);
        return trusted ? reported : InvokerLoadReport.CONCURRENCY_NOT_REPORTED;
    }
}
