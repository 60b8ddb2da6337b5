package waytrestle.scheduler;

import waytrestle.stats.DecayingSum;

/** The estimate of when an invoker would finish a request: queue + run + load-if-cold. */
final class FinishTimeEstimate {
    private static final double INITIAL_RUN_SHARE = 0.2; // of the objective, before any response
    private static final double UNHINDERED_REQUESTS = 4; // that an invoker is thought to run
    private static final double LOAD_DELAY_SHARE = 0.2; // of a load, by each other under way there
    private static final double FAILURE_COST = 2; // objectives: another attempt and this one's time
    static final double RATE_DECAY_MICROS = 4_000_000; // rates and reports: beyond a burst

    private final SchedulerState state;

    /** Probability, for the choice at hand, that an invoker without a known instance has none. */
    double coldProbability;

    FinishTimeEstimate(SchedulerState state) {
        this.state = state;
    }

    /** Microseconds until the invoker would have answered; ranking weighs what is uncertain. */
    double finishMicros(FunctionState function, InvokerState invoker, boolean ranking) {
        return waitAndRunMicros(function, invoker) + loadMicrosAt(function, invoker, ranking);
    }

    /** The estimate without the load. */
    double waitAndRunMicros(FunctionState function, InvokerState invoker) {
        FunctionInstance instance = state.instanceAt(invoker, function);
        double run = runMicrosAt(function, invoker);
        double queued = fadeToAverage(invoker, invoker.queuedRequests, state.averageQueuedRequests);
        double queue = queued * runMicros(function) / UNHINDERED_REQUESTS;
        if (instance != null) {
            double capacity = instance.count * (double) function.concurrencyPerInstance;
            double waiting = instance.inFlight + instance.otherRequests + 1 - capacity;
            queue += Math.max(0, waiting) * run / capacity;
        }
        double unheard = state.now - invoker.silentSince - 2 * run;
        double silence = invoker.warmInFlight > 0 ? Math.max(0, unheard) : 0;
        return queue + run + silence + Math.max(0, invoker.fullUntil - state.now);
    }

    /** The part of the estimate that is a load. */
    double loadMicrosAt(FunctionState function, InvokerState invoker, boolean ranking) {
        FunctionInstance instance = state.instanceAt(invoker, function);
        double full = loadMicros(function, ranking);
        if (instance == null) {
            double probability = ranking ? coldProbability : coldProbability > 0.5 ? 1 : 0;
            return probability * full * (1 + LOAD_DELAY_SHARE * invoker.loadingFunctions);
        }
        if (!instance.isLoading()) {
            return 0;
        }
        double left = full - (state.now - instance.loadingSince);
        return instance.loadProbability * Math.max(full * LOAD_DELAY_SHARE, left);
    }

    /** Usual run time, corrected by how slow the invoker is and by its concurrent requests. */
    double runMicrosAt(FunctionState function, InvokerState invoker) {
        boolean measured = invoker.averageUsualMicros != 0;
        double usual = measured ? invoker.averageConcurrentRequests : state.averageOtherRequests;
        double hindered = concurrentRequests(invoker) + UNHINDERED_REQUESTS;
        return runMicros(function) * invoker.slowness * hindered / (usual + UNHINDERED_REQUESTS);
    }

    /** The estimate with what a choice costs beyond time, in units of the objective. */
    double costMicros(RequestState request, InvokerState invoker) {
        double objective = request.requestClass.objectiveMicros();
        boolean crosses = invoker.endpoint.zone() != state.settings.zone();
        double crossing = crosses ? state.settings.costs().crossZone() * objective : 0;
        DecayingSum failures = invoker.failureShare.get(request.failureScope);
        double retry = failures == null ? 0 : failures.value(state.now) * FAILURE_COST * objective;
        return finishMicros(request.function, invoker, true) + crossing + retry;
    }

    /** Requests at work there; those that wait for a load use no core. */
    double concurrentRequests(InvokerState invoker) {
        return invoker.warmInFlight
                + fadeToAverage(invoker, invoker.otherRequests, state.averageOtherRequests);
    }

    /** What was last reported, fading to the average of all: an unheard invoker is average. */
    double fadeToAverage(InvokerState invoker, double reported, double average) {
        double age = invoker.loadReportedAt - state.now;
        double weight = invoker.loadReportedAt == 0 ? 0 : Math.exp(age / RATE_DECAY_MICROS);
        return average + (reported - average) * weight;
    }

    /** Usual run time of a function, or a share of its objective before the first response. */
    double runMicros(FunctionState function) {
        long objective = state.settings.classes().get(function.requestClass).objectiveMicros();
        return function.runMicros > 0 ? function.runMicros : INITIAL_RUN_SHARE * objective;
    }

    /** Load time; where unknown, cold invokers rank behind warm ones and no request is rejected. */
    double loadMicros(FunctionState function, boolean ranking) {
        if (function.declaredLoadMicros > 0) {
            return Math.max(function.declaredLoadMicros, state.averageLoadMicros / 2);
        }
        if (state.averageLoadMicros > 0) {
            return state.averageLoadMicros;
        }
        return ranking ? state.settings.classes().get(function.requestClass).deadlineMicros() : 0;
    }
}
