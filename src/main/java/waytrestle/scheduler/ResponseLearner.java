package waytrestle.scheduler;

import java.util.Map;
import waytrestle.scheduler.AttemptState.Guess;
import waytrestle.scheduler.SchedulerEvent.AttemptCompleted;
import waytrestle.stats.DecayingSum;

/**
 * Learns from responses: the speed, load and failures of invokers, the run and load times of
 * functions, and which instances are loaded. Times are in microseconds.
 *
 * <p>Not thread-safe: called from the controller's event loop.
 */
final class ResponseLearner {
    /** Weight of a response in an average, so that about the last ten responses count. */
    private static final double RESPONSE_WEIGHT = 0.1;

    /** Weight of a load report in an average; reports are noisy, but few. */
    private static final double REPORT_WEIGHT = 0.3;

    /** Weight of a response in averages over all functions and invokers. */
    private static final double FLEET_WEIGHT = 0.02;

    /**
     * Factor on the weight of a run that took longer than the function's average, so that run times
     * during congestion do not become the usual ones.
     */
    private static final double SLOW_FACTOR = 0.3;

    /** Usual run times added to both sides of the slowness ratio, which draws it towards 1. */
    private static final double SLOWNESS_PRIOR = 0.2;

    private final SchedulerState state;
    private final FinishTimeEstimate estimate;
    private final InvokerBackoff backoff;

    ResponseLearner(SchedulerState state, FinishTimeEstimate estimate, InvokerBackoff backoff) {
        this.state = state;
        this.estimate = estimate;
        this.backoff = backoff;
    }

    /** Returns the exponentially weighted moving average after one more sample. */
    private static double ewma(double average, double sample, double weight) {
        return average + weight * (sample - average);
    }

    /** Learns from the end of an attempt, which no longer counts as in flight. */
    void learn(RequestState request, AttemptState attempt, AttemptCompleted event) {
        InvokerState invoker = attempt.invoker;
        FunctionInstance instance = attempt.instance;
        if (event.code().isInvokerResponse()) {
            invoker.recordResponse(state.now);
            learnLoadReport(invoker, event.loadReport());
        }
        learnGuess(request.function, attempt, event);
        learnFailureShare(request, attempt, event.code());
        switch (event.code()) {
            case OK -> learnFromSuccess(request, attempt, event);
            case REJECTED -> invoker.recordUse(instance, state.now); // tells no run time
            case NOT_LOADED -> {
                if (!instance.preloadInFlight) {
                    invoker.removeInstance(instance);
                }
            }
            case FULL -> backoff.recordFullResponse(invoker, attempt.cold);
            case CONNECT_FAILED -> backoff.pause(invoker, true);
            case RESET -> backoff.recordReset(invoker);
            default -> {} // the other codes prove nothing about the invoker
        }
        boolean loadExpected = instance.inFlight > 0 || instance.preloadInFlight;
        boolean loadUnconfirmed = instance.isLoading() && !loadExpected;
        if (event.start() == StartKind.LOAD_FAILED || loadUnconfirmed) {
            invoker.removeInstance(instance); // otherwise counts as a load under way forever
        }
    }

    private void learnFromSuccess(
            RequestState request, AttemptState attempt, AttemptCompleted event) {
        InvokerState invoker = attempt.invoker;
        FunctionInstance instance = attempt.instance;
        learnTime(request.function, attempt, event);
        invoker.recordUse(instance, state.now);
        if (event.concurrentRequests() >= 0) {
            int others = Math.max(0, event.concurrentRequests() - instance.inFlight);
            instance.otherRequests = ewma(instance.otherRequests, others, REPORT_WEIGHT);
        }
        state.servedRequestsOf(invoker, FinishTimeEstimate.RATE_DECAY_MICROS).add(1, state.now);
        double weight = state.averageRunMicros == 0 ? 1 : FLEET_WEIGHT;
        double run = estimate.runMicros(request.function);
        state.averageRunMicros = ewma(state.averageRunMicros, run, weight);
    }

    private void learnFailureShare(RequestState request, AttemptState attempt, ResponseCode code) {
        boolean reset = code == ResponseCode.RESET;
        state.resetShare = ewma(state.resetShare, reset ? 1 : 0, FLEET_WEIGHT);
        boolean failure = reset || code == ResponseCode.ERROR || code == ResponseCode.FULL;
        DecayingSum share = state.failureShareOf(attempt.invoker, request.failureScope);
        double change = (failure && !attempt.cold ? 1 : 0) - share.value(state.now);
        share.add(RESPONSE_WEIGHT * change, state.now);
    }

    /**
     * Returns whether the start kind of the event can be relied on: the settings promise start
     * kinds, and the response states one. Otherwise the start kind is judged by the elapsed time.
     */
    private boolean reportsStart(AttemptCompleted event) {
        boolean promised = state.settings.preloading().reportsStartKind();
        return promised && event.start() != StartKind.UNKNOWN;
    }

    private void learnTime(FunctionState function, AttemptState attempt, AttemptCompleted event) {
        boolean reported = reportsStart(event);
        boolean cold = reported ? event.start() != StartKind.WARM : attempt.cold;
        double elapsed = event.elapsedMicros();
        if (!cold) {
            learnRunTime(function, attempt, elapsed);
            return;
        }
        boolean beganLoad = attempt.sentAt == attempt.instance.loadingSince;
        if (reported ? event.start() == StartKind.COLD : beganLoad) {
            learnLoadTime(Math.max(1, elapsed - estimate.runMicros(function)));
        }
    }

    private void learnRunTime(FunctionState function, AttemptState attempt, double elapsed) {
        InvokerState invoker = attempt.invoker;
        double usual = estimate.runMicros(function);
        invoker.averageElapsedMicros = ewma(invoker.averageElapsedMicros, elapsed, RESPONSE_WEIGHT);
        invoker.averageUsualMicros = ewma(invoker.averageUsualMicros, usual, RESPONSE_WEIGHT);
        double prior = SLOWNESS_PRIOR * usual;
        invoker.slowness =
                (invoker.averageElapsedMicros + prior) / (invoker.averageUsualMicros + prior);
        invoker.averageConcurrentRequests =
                ewma(
                        invoker.averageConcurrentRequests,
                        attempt.concurrentRequestsAtSend,
                        RESPONSE_WEIGHT);
        boolean slow = elapsed > function.runMicros && function.measuredRuns > 0;
        double weight = Math.max(RESPONSE_WEIGHT, 1.0 / (function.measuredRuns + 1));
        double run = ewma(function.runMicros, elapsed, weight * (slow ? SLOW_FACTOR : 1));
        function.runMicros = function.measuredRuns == 0 ? elapsed : run;
        function.measuredRuns++;
    }

    /** Learns the time that a load took, in microseconds. */
    void learnLoadTime(double micros) {
        double average = state.averageLoadMicros;
        state.averageLoadMicros = average == 0 ? micros : ewma(average, micros, RESPONSE_WEIGHT);
    }

    /**
     * Learns how often an invoker without a known instance holds none. Controllers try invokers in
     * equal order, so the instances that other controllers caused to be loaded are at the invokers
     * that this one tries first. Without that probability, a controller with little traffic would
     * take nearly every request for a cold start.
     */
    private void learnGuess(FunctionState function, AttemptState attempt, AttemptCompleted event) {
        boolean served = event.code() == ResponseCode.OK;
        boolean conclusive = served || event.code() == ResponseCode.NOT_LOADED;
        if (attempt.guess == Guess.NONE || !conclusive) {
            return;
        }
        double coldAfterMicros =
                estimate.runMicros(function) + estimate.loadMicros(function, true) / 2;
        boolean warm = event.elapsedMicros() <= coldAfterMicros;
        if (reportsStart(event)) {
            warm = event.start() == StartKind.WARM;
        }
        double cold = served && warm ? 0 : 1;
        if (attempt.guess == Guess.FIRST_ATTEMPT) {
            state.firstAttemptColdProbability =
                    ewma(state.firstAttemptColdProbability, cold, RESPONSE_WEIGHT);
        } else {
            state.retryColdProbability = ewma(state.retryColdProbability, cold, RESPONSE_WEIGHT);
        }
    }

    /**
     * Learns an invoker's load from a load report. If the report states the requests in flight,
     * those neither waiting nor this controller's own warm ones are requests of other controllers.
     * Otherwise the reported queue, less one request for each load under way, is the queue.
     */
    private void learnLoadReport(InvokerState invoker, Map<String, Double> report) {
        if (report.isEmpty()) {
            return;
        }
        Double inFlight = report.get(LoadMetricNames.IN_FLIGHT);
        double waiting = report.getOrDefault(LoadMetricNames.QUEUED, 0.0);
        double loads = report.getOrDefault(LoadMetricNames.LOADING, 0.0);
        boolean statesInFlight = inFlight != null;
        double others = statesInFlight ? Math.max(0, inFlight - waiting - invoker.warmInFlight) : 0;
        double queued = statesInFlight ? 0 : Math.max(0, waiting - loads);
        double average = state.averageOtherRequests;
        double previous = estimate.fadeToAverage(invoker, invoker.otherRequests, average);
        invoker.otherRequests = ewma(previous, others, REPORT_WEIGHT);
        state.averageOtherRequests = ewma(average, others, RESPONSE_WEIGHT);
        average = state.averageQueuedRequests;
        previous = estimate.fadeToAverage(invoker, invoker.queuedRequests, average);
        invoker.queuedRequests = ewma(previous, queued, REPORT_WEIGHT);
        state.averageQueuedRequests = ewma(average, queued, RESPONSE_WEIGHT);
        invoker.loadReportedAt = state.now;
    }
}
