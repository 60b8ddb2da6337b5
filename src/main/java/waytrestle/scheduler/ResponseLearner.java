package waytrestle.scheduler;

import java.util.Map;
import waytrestle.scheduler.AttemptState.Guess;
import waytrestle.scheduler.SchedulerEvent.AttemptCompleted;
import waytrestle.stats.DecayingSum;

/** What a response tells of the invoker, of the function and of its instance there. */
final class ResponseLearner {
    private static final double RESPONSE_WEIGHT = 0.1; // in averages: about the last ten count
    private static final double REPORT_WEIGHT = 0.3; // of a load report: noisy, but few
    private static final double FLEET_WEIGHT = 0.02; // of a response in averages of all functions
    private static final double SLOW_FACTOR = 0.3; // of its weight: congestion must not get usual
    private static final double SLOWNESS_PRIOR = 0.2; // weight of "as usual" in slowness

    private final SchedulerState state;
    private final FinishTimeEstimate estimate;
    private final InvokerBackoff backoff;

    ResponseLearner(SchedulerState state, FinishTimeEstimate estimate, InvokerBackoff backoff) {
        this.state = state;
        this.estimate = estimate;
        this.backoff = backoff;
    }

    private static double ewma(double average, double sample, double weight) {
        return average + weight * (sample - average);
    }

    /** Learns from the end of an attempt. */
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
            case OK -> served(request, attempt, event);
            case REJECTED -> invoker.recordUse(instance, state.now); // tells nothing of a run
            case NOT_LOADED -> {
                if (!instance.preloadInFlight) {
                    invoker.removeInstance(instance);
                }
            }
            case FULL -> backoff.recordFullResponse(invoker, attempt.cold);
            case CONNECT_FAILED -> backoff.pause(invoker, true);
            case RESET -> backoff.recordReset(invoker);
            default -> {} // the others say nothing more
        }
        boolean expected = instance.inFlight > 0 || instance.preloadInFlight;
        boolean unconfirmed = instance.isLoading() && !expected;
        if (event.start() == StartKind.LOAD_FAILED || unconfirmed) {
            invoker.removeInstance(instance); // must not go on counting as a load under way
        }
    }

    private void served(RequestState request, AttemptState attempt, AttemptCompleted event) {
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

    /** A kind of start that is promised but not reported is judged by the time it took. */
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
        invoker.slowness = (invoker.averageElapsedMicros + prior) / (invoker.averageUsualMicros + prior);
        invoker.averageConcurrentRequests =
                ewma(invoker.averageConcurrentRequests, attempt.concurrentRequestsAtSend, RESPONSE_WEIGHT);
        boolean slow = elapsed > function.runMicros && function.measuredRuns > 0;
        double weight = Math.max(RESPONSE_WEIGHT, 1.0 / (function.measuredRuns + 1));
        double run = ewma(function.runMicros, elapsed, weight * (slow ? SLOW_FACTOR : 1));
        function.runMicros = function.measuredRuns == 0 ? elapsed : run;
        function.measuredRuns++;
    }

    /** Learns from a load that took so long. */
    void learnLoadTime(double micros) {
        double known = state.averageLoadMicros;
        state.averageLoadMicros = known == 0 ? micros : ewma(known, micros, RESPONSE_WEIGHT);
    }

    /**
     * How often a guess finds no instance. Invokers are tried by rank, so others' instances are
     * where this controller tries first; without this thin traffic would see nearly every request
     * as a cold start.
     */
    private void learnGuess(FunctionState function, AttemptState attempt, AttemptCompleted event) {
        boolean served = event.code() == ResponseCode.OK;
        boolean conclusive = served || event.code() == ResponseCode.NOT_LOADED;
        if (attempt.guess == Guess.NONE || !conclusive) {
            return;
        }
        double lateAfter = estimate.runMicros(function) + estimate.loadMicros(function, true) / 2;
        boolean warm = event.elapsedMicros() <= lateAfter;
        if (reportsStart(event)) {
            warm = event.start() == StartKind.WARM;
        }
        double cold = served && warm ? 0 : 1;
        if (attempt.guess == Guess.FIRST_ATTEMPT) {
            state.firstAttemptColdProbability = ewma(state.firstAttemptColdProbability, cold, RESPONSE_WEIGHT);
        } else {
            state.retryColdProbability = ewma(state.retryColdProbability, cold, RESPONSE_WEIGHT);
        }
    }

    /** Requests in flight tell the load by others; unreported, the queue less one for each load. */
    private void learnLoadReport(InvokerState invoker, Map<String, Double> report) {
        if (report.isEmpty()) {
            return;
        }
        Double inFlight = report.get(LoadMetricNames.IN_FLIGHT);
        double waiting = report.getOrDefault(LoadMetricNames.QUEUED, 0.0);
        double loads = report.getOrDefault(LoadMetricNames.LOADING, 0.0);
        boolean told = inFlight != null;
        double others = told ? Math.max(0, inFlight - waiting - invoker.warmInFlight) : 0;
        double queued = told ? 0 : Math.max(0, waiting - loads);
        double average = state.averageOtherRequests;
        double known = estimate.fadeToAverage(invoker, invoker.otherRequests, average);
        invoker.otherRequests = ewma(known, others, REPORT_WEIGHT);
        state.averageOtherRequests = ewma(average, others, RESPONSE_WEIGHT);
        average = state.averageQueuedRequests;
        known = estimate.fadeToAverage(invoker, invoker.queuedRequests, average);
        invoker.queuedRequests = ewma(known, queued, REPORT_WEIGHT);
        state.averageQueuedRequests = ewma(average, queued, RESPONSE_WEIGHT);
        invoker.loadReportedAt = state.now;
    }
}
