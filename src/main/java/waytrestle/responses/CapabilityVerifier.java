package waytrestle.responses;

import java.util.Map;
import waytrestle.scheduler.StartKind;

/**
 * Checks what invokers are declared to report and do against their responses, and passes on only
 * what is to be believed: an unreported or refuted start is UNKNOWN and a refuted load report is
 * empty, so that the scheduler goes by its own sends and responses there.
 *
 * <p>Guards against settings that are wrong of some invokers, and against invokers whose reports
 * are wrong.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class CapabilityVerifier {
    /** Multiple of the usual latency up to which a response waited for nothing. */
    private static final double UNDELAYED_LATENCY_RATIO = 1.5;

    /** Share of a load that a response must have taken to have waited for one. */
    private static final double MIN_WAITED_LOAD_SHARE = 0.5;

    /** Share of the run time below which a load is too short to be told from noise. */
    private static final double MIN_LOAD_TO_RUN_SHARE = 0.5;

    /** Factor, either way, by which a declared load time must be off to be wrong. */
    private static final double WRONG_LOAD_TIME_RATIO = 2;

    /** The same of run times, which vary by what is asked. */
    private static final double WRONG_WORK_TIME_RATIO = 3;

    /** Idle for longer than the keep-alive time over this, a loaded instance shows it is kept. */
    private static final int MIN_IDLE_DIVISOR = 2;

    /**
     * What the settings declare of all invokers.
     *
     * @param reportsStartKind that they report whether the instance stood loaded
     * @param reportsConcurrency that they report how many requests of the function were there
     * @param reportsLoad that they report their load with each response
     * @param reportsNotLoaded that they respond at once where the function is not loaded
     * @param keepAliveMicros how long they keep an idle instance
     */
    record DeclaredCapabilities(
            boolean reportsStartKind,
            boolean reportsConcurrency,
            boolean reportsLoad,
            boolean reportsNotLoaded,
            long keepAliveMicros) {}

    private final DeclaredCapabilities declared;
    private final CapabilityEvidenceTable ledger;
    private final LoadReportVerifier loadReports;

    CapabilityVerifier(DeclaredCapabilities declared, CapabilityEvidenceTable ledger) {
        this.declared = declared;
        this.ledger = ledger;
        this.loadReports =
                new LoadReportVerifier(
                        declared.reportsConcurrency(), declared.reportsLoad(), ledger);
    }

    /**
     * Checks what came with a response and returns what of it is to be believed.
     *
     * @param function what was known of the function before the response
     */
    InvokerLoadReport verify(
            FunctionRecord function, CompletedAttempt attempt, InvokerLoadReport reported) {
        if (!attempt.kind().isInvokerResponse()) {
            return InvokerLoadReport.EMPTY;
        }
        Map<String, Double> metrics =
                loadReports.verifiedMetrics(function, attempt, reported.metrics());
        StartKind start = reported.start();
        int concurrency = InvokerLoadReport.CONCURRENCY_NOT_REPORTED;
        if (attempt.served()) {
            start = believedStart(function, attempt, reported.start());
            concurrency =
                    loadReports.verifiedConcurrency(
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
     * A preload succeeded.
     *
     * @param instances loaded instances that the invoker reports; below 0 if it reports none
     */
    void verifyPreload(String invoker, long elapsedMicros, long declaredLoadMicros, int instances) {
        if (instances < 0) {
            ledger.addUnreported(invoker, DeclaredCapability.INSTANCES);
        } else {
            ledger.addChecked(invoker, DeclaredCapability.INSTANCES, true);
        }
        if (declaredLoadMicros > 0) {
            double ratio = elapsedMicros / (double) declaredLoadMicros;
            boolean held = isWithinFactor(ratio, WRONG_LOAD_TIME_RATIO);
            ledger.addChecked(invoker, DeclaredCapability.LOAD_TIME, held);
        }
    }

    private static boolean isWithinFactor(double ratio, double factor) {
        return ratio < factor && ratio > 1 / factor;
    }

    private StartKind believedStart(
            FunctionRecord function, CompletedAttempt attempt, StartKind reported) {
        String invoker = attempt.invoker();
        if (reported == StartKind.UNKNOWN) {
            if (declared.reportsStartKind()) {
                ledger.addUnreported(invoker, DeclaredCapability.START);
            }
            return reported;
        }
        LatencyBaseline latency = function.latency();
        boolean checkable =
                latency.isKnown() && latency.loadMicros(attempt.declaredLoadMicros()) > 0;
        if (reported != StartKind.LOAD_FAILED && !checkable) {
            ledger.addUnchecked(invoker, DeclaredCapability.START);
            return reported;
        }
        boolean held = isPossibleStart(function, attempt, reported);
        ledger.addChecked(invoker, DeclaredCapability.START, held);
        boolean believed = held && ledger.isTrusted(invoker, DeclaredCapability.START);
        return believed ? reported : StartKind.UNKNOWN;
    }

    /**
     * Impossible are a load that the latency has no room for, a loaded instance where the latency
     * is a load's, and a failed load with a served response.
     */
    private boolean isPossibleStart(
            FunctionRecord function, CompletedAttempt attempt, StartKind reported) {
        double runMicros = function.latency().runMicros();
        double loadMicros = function.latency().loadMicros(attempt.declaredLoadMicros());
        double undelayedMicros = UNDELAYED_LATENCY_RATIO * runMicros;
        double waitedMicros = MIN_WAITED_LOAD_SHARE * loadMicros;
        long latencyMicros = attempt.latencyMicros();
        boolean mayStandLoaded = mayStandLoaded(function, attempt);
        return switch (reported) {
            case COLD, JOINED -> {
                boolean undelayed =
                        latencyMicros < undelayedMicros && latencyMicros < runMicros + waitedMicros;
                yield !undelayed || loadMicros <= MIN_LOAD_TO_RUN_SHARE * runMicros;
            }
            case WARM -> {
                boolean delayed = latencyMicros > undelayedMicros + waitedMicros;
                yield !delayed || mayStandLoaded;
            }
            case LOAD_FAILED -> false;
            case UNKNOWN -> true;
        };
    }

    private boolean mayStandLoaded(FunctionRecord function, CompletedAttempt attempt) {
        long servedAtMicros = function.history().lastServedAtMicros(attempt.invoker());
        long idleMicros = attempt.sentAtMicros() - servedAtMicros;
        return servedAtMicros != 0 && idleMicros < declared.keepAliveMicros();
    }

    private void checkNotLoadedResponses(
            FunctionRecord function, CompletedAttempt attempt, StartKind start) {
        boolean loadedWhileWaiting = attempt.served() && start == StartKind.COLD;
        boolean notLoaded = attempt.kind() == ResponseKind.NOT_LOADED;
        boolean servedBefore = function.history().lastServedAtMicros(attempt.invoker()) != 0;
        if (loadedWhileWaiting || (notLoaded && servedBefore)) {
            ledger.addChecked(
                    attempt.invoker(),
                    DeclaredCapability.NOT_LOADED_RESPONSES,
                    declared.reportsNotLoaded() == notLoaded);
        }
    }

    private void checkKeepAlive(
            FunctionRecord function, CompletedAttempt attempt, StartKind start) {
        long servedAtMicros = function.history().lastServedAtMicros(attempt.invoker());
        long idleMicros = attempt.sentAtMicros() - servedAtMicros;
        if (servedAtMicros == 0 || idleMicros <= 0 || idleMicros > declared.keepAliveMicros()) {
            return;
        }
        boolean unloaded =
                attempt.kind() == ResponseKind.NOT_LOADED
                        || (attempt.served() && start == StartKind.COLD);
        boolean longIdle = idleMicros > declared.keepAliveMicros() / MIN_IDLE_DIVISOR;
        boolean stillLoaded = attempt.served() && start == StartKind.WARM && longIdle;
        if (unloaded || stillLoaded) {
            ledger.addChecked(attempt.invoker(), DeclaredCapability.KEEP_ALIVE, stillLoaded);
        }
    }

    private void checkWorkTime(FunctionRecord function, CompletedAttempt attempt) {
        if (attempt.served() && attempt.declaredWorkMicros() > 0 && function.latency().isKnown()) {
            double ratio = function.latency().runMicros() / attempt.declaredWorkMicros();
            boolean held = isWithinFactor(ratio, WRONG_WORK_TIME_RATIO);
            ledger.addChecked(attempt.invoker(), DeclaredCapability.WORK_TIME, held);
        }
    }
}
