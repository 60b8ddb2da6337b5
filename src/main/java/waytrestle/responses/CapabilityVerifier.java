package waytrestle.responses;

import java.util.Map;
import waytrestle.scheduler.StartKind;

/**
 * Checks the declared capabilities of invokers against their responses, and passes on only trusted
 * reports: an unreported or refuted start kind becomes UNKNOWN and a refuted load report becomes
 * empty, so that the scheduler relies on the attempts and responses of its own controller instead.
 *
 * <p>Guards against settings that are wrong for some invokers, and against invokers that report
 * wrong values.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class CapabilityVerifier {
    /**
     * Multiple of the usual run time up to which a response counts as delayed by neither a load nor
     * a queue.
     */
    private static final double UNDELAYED_LATENCY_RATIO = 1.5;

    /**
     * Share of the load time by which a latency must exceed the usual run time for the response to
     * count as having waited for a load.
     */
    private static final double MIN_WAITED_LOAD_SHARE = 0.5;

    /**
     * Load time, as a share of the run time, up to which a load cannot be told from noise in the
     * latency.
     */
    private static final double MIN_LOAD_TO_RUN_SHARE = 0.5;

    /**
     * Factor between the measured and the declared load time, either way, from which the declared
     * one counts as wrong.
     */
    private static final double WRONG_LOAD_TIME_RATIO = 2;

    /**
     * Factor between the measured and the declared run time, either way, from which the declared
     * one counts as wrong; higher than for load times, because run times vary with the request.
     */
    private static final double WRONG_WORK_TIME_RATIO = 3;

    /**
     * A warm start confirms the declared keep-alive time only if the instance was idle for longer
     * than the keep-alive time divided by this number.
     */
    private static final int MIN_IDLE_DIVISOR = 2;

    /**
     * The capabilities that the settings declare for all invokers.
     *
     * @param reportsStartKind whether responses report if the instance was loaded
     * @param reportsConcurrency whether responses report the number of concurrent requests of the
     *     function
     * @param reportsLoad whether responses carry a load report
     * @param reportsNotLoaded whether invokers respond at once, without loading, if the function is
     *     not loaded
     * @param keepAliveMicros time for which invokers keep an idle instance loaded
     */
    record DeclaredCapabilities(
            boolean reportsStartKind,
            boolean reportsConcurrency,
            boolean reportsLoad,
            boolean reportsNotLoaded,
            long keepAliveMicros) {}

    private final DeclaredCapabilities declared;
    private final CapabilityEvidenceTable evidence;
    private final LoadReportVerifier loadReportVerifier;

    CapabilityVerifier(DeclaredCapabilities declared, CapabilityEvidenceTable evidence) {
        this.declared = declared;
        this.evidence = evidence;
        this.loadReportVerifier =
                new LoadReportVerifier(
                        declared.reportsConcurrency(), declared.reportsLoad(), evidence);
    }

    /**
     * Checks the report that came with a response and returns the trusted part of it.
     *
     * @param function record of the function without this response
     */
    InvokerLoadReport verify(
            FunctionRecord function, CompletedAttempt attempt, InvokerLoadReport reported) {
        if (!attempt.kind().isInvokerResponse()) {
            return InvokerLoadReport.EMPTY;
        }
        Map<String, Double> metrics =
                loadReportVerifier.verifiedMetrics(function, attempt, reported.metrics());
        StartKind start = reported.start();
        int concurrency = InvokerLoadReport.CONCURRENCY_NOT_REPORTED;
        if (attempt.served()) {
            start = verifiedStart(function, attempt, reported.start());
            concurrency =
                    loadReportVerifier.verifiedConcurrency(
                            attempt, reported.concurrentRequests(), metrics);
        }
        if (reported.start() != StartKind.LOAD_FAILED) {
            checkNotLoadedResponses(function, attempt, start);
            checkKeepAlive(function, attempt, start);
        }
        checkWorkTime(function, attempt);
        return new InvokerLoadReport(start, concurrency, metrics);
    }

    /**
     * Checks the declared capabilities against a successful preload.
     *
     * @param elapsedMicros time from the send of the preload request to its end
     * @param declaredLoadMicros load time that the configuration declares for the function; 0 for
     *     none
     * @param loadedInstances number of loaded instances that the invoker reports; negative if not
     *     reported
     */
    void verifyPreload(
            String invoker, long elapsedMicros, long declaredLoadMicros, int loadedInstances) {
        if (loadedInstances < 0) {
            evidence.addUnreported(invoker, DeclaredCapability.INSTANCES);
        } else {
            evidence.addChecked(invoker, DeclaredCapability.INSTANCES, true);
        }
        if (declaredLoadMicros > 0) {
            double ratio = elapsedMicros / (double) declaredLoadMicros;
            boolean confirmed = isWithinFactor(ratio, WRONG_LOAD_TIME_RATIO);
            evidence.addChecked(invoker, DeclaredCapability.LOAD_TIME, confirmed);
        }
    }

    private static boolean isWithinFactor(double ratio, double factor) {
        return ratio < factor && ratio > 1 / factor;
    }

    private StartKind verifiedStart(
            FunctionRecord function, CompletedAttempt attempt, StartKind reported) {
        String invoker = attempt.invoker();
        if (reported == StartKind.UNKNOWN) {
            if (declared.reportsStartKind()) {
                evidence.addUnreported(invoker, DeclaredCapability.START);
            }
            return reported;
        }
        LatencyBaseline latency = function.latency();
        boolean checkable =
                latency.isKnown() && latency.loadMicros(attempt.declaredLoadMicros()) > 0;
        if (reported != StartKind.LOAD_FAILED && !checkable) {
            evidence.addUnchecked(invoker, DeclaredCapability.START);
            return reported;
        }
        boolean confirmed = isPossibleStart(function, attempt, reported);
        evidence.addChecked(invoker, DeclaredCapability.START, confirmed);
        boolean trusted = confirmed && evidence.isTrusted(invoker, DeclaredCapability.START);
        return trusted ? reported : StartKind.UNKNOWN;
    }

    /**
     * Returns whether the latency of a served response permits the reported start kind. A load
     * (COLD, JOINED) is refuted if the latency is too short to include one, a warm start if the
     * latency includes a load and the instance cannot have been loaded. LOAD_FAILED is always
     * refuted, since the response was served.
     */
    private boolean isPossibleStart(
            FunctionRecord function, CompletedAttempt attempt, StartKind reported) {
        double runMicros = function.latency().runMicros();
        double loadMicros = function.latency().loadMicros(attempt.declaredLoadMicros());
        double undelayedMicros = UNDELAYED_LATENCY_RATIO * runMicros;
        double minLoadWaitMicros = MIN_WAITED_LOAD_SHARE * loadMicros;
        long latencyMicros = attempt.latencyMicros();
        boolean mayBeLoaded = mayBeLoaded(function, attempt);
        return switch (reported) {
            case COLD, JOINED -> {
                boolean undelayed =
                        latencyMicros < undelayedMicros
                                && latencyMicros < runMicros + minLoadWaitMicros;
                yield !undelayed || loadMicros <= MIN_LOAD_TO_RUN_SHARE * runMicros;
            }
            case WARM -> {
                boolean delayed = latencyMicros > undelayedMicros + minLoadWaitMicros;
                yield !delayed || mayBeLoaded;
            }
            case LOAD_FAILED -> false;
            case UNKNOWN -> true;
        };
    }

    private boolean mayBeLoaded(FunctionRecord function, CompletedAttempt attempt) {
        long lastServedAtMicros = function.history().lastServedAtMicros(attempt.invoker());
        long idleMicros = attempt.sentAtMicros() - lastServedAtMicros;
        return lastServedAtMicros != 0 && idleMicros < declared.keepAliveMicros();
    }

    private void checkNotLoadedResponses(
            FunctionRecord function, CompletedAttempt attempt, StartKind start) {
        boolean loadedWhileWaiting = attempt.served() && start == StartKind.COLD;
        boolean notLoaded = attempt.kind() == ResponseKind.NOT_LOADED;
        boolean servedBefore = function.history().lastServedAtMicros(attempt.invoker()) != 0;
        if (loadedWhileWaiting || (notLoaded && servedBefore)) {
            evidence.addChecked(
                    attempt.invoker(),
                    DeclaredCapability.NOT_LOADED_RESPONSES,
                    declared.reportsNotLoaded() == notLoaded);
        }
    }

    private void checkKeepAlive(
            FunctionRecord function, CompletedAttempt attempt, StartKind start) {
        long lastServedAtMicros = function.history().lastServedAtMicros(attempt.invoker());
        long idleMicros = attempt.sentAtMicros() - lastServedAtMicros;
        if (lastServedAtMicros == 0 || idleMicros <= 0 || idleMicros > declared.keepAliveMicros()) {
            return;
        }
        boolean unloaded =
                attempt.kind() == ResponseKind.NOT_LOADED
                        || (attempt.served() && start == StartKind.COLD);
        boolean longIdle = idleMicros > declared.keepAliveMicros() / MIN_IDLE_DIVISOR;
        boolean stillLoaded = attempt.served() && start == StartKind.WARM && longIdle;
        if (unloaded || stillLoaded) {
            evidence.addChecked(attempt.invoker(), DeclaredCapability.KEEP_ALIVE, stillLoaded);
        }
    }

    private void checkWorkTime(FunctionRecord function, CompletedAttempt attempt) {
        if (attempt.served() && attempt.declaredWorkMicros() > 0 && function.latency().isKnown()) {
            double ratio = function.latency().runMicros() / attempt.declaredWorkMicros();
            boolean confirmed = isWithinFactor(ratio, WRONG_WORK_TIME_RATIO);
            evidence.addChecked(attempt.invoker(), DeclaredCapability.WORK_TIME, confirmed);
        }
    }
}
