package waytrestle.scheduler;

import waytrestle.stats.DecayingSum;

/**
 * Estimates when an invoker would finish a request: time in its queue, run time, and load time if
 * the function is not loaded there. All estimates are durations in microseconds.
 *
 * <p>Not thread-safe: called from the controller's event loop.
 */
final class FinishTimeEstimate {
    /** Share of the latency objective that a function's run takes, before its first response. */
    private static final double INITIAL_RUN_SHARE = 0.2;

    /** Requests that an invoker is assumed to run in parallel. */
    private static final double PARALLEL_REQUESTS = 4;

    /**
     * Share of a load's time by which each other load under way at the invoker delays it; also the
     * least share of its time that a load under way is assumed to need still.
     */
    private static final double LOAD_DELAY_SHARE = 0.2;

    /** Latency objectives that a failed attempt costs: its own time and that of another attempt. */
    private static final double FAILURE_COST_OBJECTIVES = 2;

    /** Time after which rates and load reports weigh 1/e; longer than a burst of requests. */
    static final double RATE_DECAY_MICROS = 4_000_000;

    private final SchedulerState state;

    /** Stands for the invokers of which nothing is known but their entry in the endpoint list. */
    private final InvokerState unusedInvoker = new InvokerState("unused");

    /**
     * Probability that an invoker without a known instance of the function holds none. Set for each
     * request before its invokers are compared.
     */
    double coldProbability;

    FinishTimeEstimate(SchedulerState state) {
        this.state = state;
    }

    /**
     * Estimates the time until the invoker would answer a request for the function.
     *
     * @param ranking true to compare invokers: at an invoker without a known instance a load then
     *     counts by its probability, and an unknown load time counts as the deadline; false to
     *     decide on a rejection: such a load then counts fully if it is likelier than not and
     *     otherwise not at all, and an unknown load time counts as 0
     */
    double finishMicros(FunctionState function, InvokerState invoker, boolean ranking) {
        return waitAndRunMicros(function, invoker) + loadMicrosAt(function, invoker, ranking);
    }

    /**
     * What a request's costs at all its candidates have in common, computed once for all of them.
     *
     * @param runMicros usual run time of the request's function
     * @param loadMicros load time of the function for ranking
     * @param crossZoneMicros cost of crossing zones
     * @param failureMicros cost of a certain failure
     * @param unusedMicros finish-time estimate at each invoker of which nothing is known but its
     *     entry in the endpoint list
     */
    record CostTerms(
            RequestState request,
            double runMicros,
            double loadMicros,
            double crossZoneMicros,
            double failureMicros,
            double unusedMicros) {}

    /** Returns what the request's costs at all its candidates have in common. */
    CostTerms costTerms(RequestState request) {
        double runMicros = runMicros(request.function);
        double loadMicros = loadMicros(request.function, true);
        double objectiveMicros = request.requestClass.objectiveMicros();
        return new CostTerms(
                request,
                runMicros,
                loadMicros,
                state.settings.costs().crossZone() * objectiveMicros,
                FAILURE_COST_OBJECTIVES * objectiveMicros,
                rankingMicros(request.function, runMicros, loadMicros, unusedInvoker, null));
    }

    private double rankingMicros(
            FunctionState function,
            double runMicros,
            double loadMicros,
            InvokerState invoker,
            FunctionInstance instance) {
        return waitAndRunMicros(function, runMicros, invoker, instance)
                + loadMicrosAt(invoker, instance, loadMicros, coldProbability);
    }

    /**
     * Estimates the time that a request would spend in the invoker's queues and running, without a
     * load. Silence of the invoker for longer than two runs, and the rest of its backoff after a
     * full response, count as waiting.
     */
    double waitAndRunMicros(FunctionState function, InvokerState invoker) {
        FunctionInstance instance = state.instanceAt(invoker, function);
        return waitAndRunMicros(function, runMicros(function), invoker, instance);
    }

    private double waitAndRunMicros(
            FunctionState function,
            double runMicros,
            InvokerState invoker,
            FunctionInstance instance) {
        double run = runMicrosAt(invoker, runMicros);
        double queued = fadeToAverage(invoker, invoker.queuedRequests, state.averageQueuedRequests);
        double queue = queued * runMicros / PARALLEL_REQUESTS;
        if (instance != null) {
            double capacity = instance.count * (double) function.concurrencyPerInstance;
            double queuedForInstance = instance.inFlight + instance.otherRequests + 1 - capacity;
            queue += Math.max(0, queuedForInstance) * run / capacity;
        }
        double silentBeyondRun = state.now - invoker.silentSince - 2 * run;
        double silence = invoker.warmInFlight > 0 ? Math.max(0, silentBeyondRun) : 0;
        return queue + run + silence + Math.max(0, invoker.fullUntil - state.now);
    }

    /**
     * Estimates the time that a request would wait for the function to be loaded at the invoker.
     *
     * @param ranking as for {@link #finishMicros}
     */
    double loadMicrosAt(FunctionState function, InvokerState invoker, boolean ranking) {
        FunctionInstance instance = state.instanceAt(invoker, function);
        double probability = ranking ? coldProbability : coldProbability > 0.5 ? 1 : 0;
        return loadMicrosAt(invoker, instance, loadMicros(function, ranking), probability);
    }

    private double loadMicrosAt(
            InvokerState invoker,
            FunctionInstance instance,
            double loadMicros,
            double probability) {
        if (instance == null) {
            return probability * loadMicros * (1 + LOAD_DELAY_SHARE * invoker.loadingFunctions);
        }
        if (!instance.isLoading()) {
            return 0;
        }
        double remaining = loadMicros - (state.now - instance.loadingSince);
        return instance.loadProbability * Math.max(loadMicros * LOAD_DELAY_SHARE, remaining);
    }

    /**
     * Estimates the run time of the function at the invoker: its usual run time, corrected by the
     * invoker's slowness and by its concurrent requests.
     */
    double runMicrosAt(FunctionState function, InvokerState invoker) {
        return runMicrosAt(invoker, runMicros(function));
    }

    private double runMicrosAt(InvokerState invoker, double runMicros) {
        boolean hasResponses = invoker.averageUsualMicros != 0;
        double usual =
                hasResponses ? invoker.averageConcurrentRequests : state.averageOtherRequests;
        double runningRequests = concurrentRequests(invoker) + PARALLEL_REQUESTS;
        return runMicros * invoker.slowness * runningRequests / (usual + PARALLEL_REQUESTS);
    }

    /**
     * Returns the cost by which the candidates for a request are compared, in microseconds: the
     * finish-time estimate, the cost of crossing zones, and the expected cost of a failed attempt.
     * The settings state the cost of crossing zones as a multiple of the latency objective.
     */
    double costMicros(RequestState request, InvokerState invoker) {
        FunctionInstance instance = state.instanceAt(invoker, request.function);
        return costMicros(costTerms(request), invoker, instance);
    }

    /**
     * Returns the cost of one candidate, as {@link #costMicros(RequestState, InvokerState)}.
     *
     * @param instance the instance of the request's function at the invoker; null if none is known
     */
    double costMicros(CostTerms terms, InvokerState invoker, FunctionInstance instance) {
        boolean crossesZones = invoker.endpoint.zone() != state.settings.zone();
        double crossZoneCost = crossesZones ? terms.crossZoneMicros : 0;
        if (instance == null && invoker.isUnused(state.now)) {
            return terms.unusedMicros + crossZoneCost;
        }
        double finish =
                rankingMicros(
                        terms.request.function,
                        terms.runMicros,
                        terms.loadMicros,
                        invoker,
                        instance);
        DecayingSum failures = invoker.failureShare.get(terms.request.failureScope);
        double failureCost = failures == null ? 0 : failures.value(state.now) * terms.failureMicros;
        return finish + crossZoneCost + failureCost;
    }

    /**
     * Returns the estimated number of requests that the invoker is running. Requests that wait for
     * a load are left out, because they use no core.
     */
    double concurrentRequests(InvokerState invoker) {
        return invoker.warmInFlight
                + fadeToAverage(invoker, invoker.otherRequests, state.averageOtherRequests);
    }

    /**
     * Returns a value from the invoker's last load report, moved towards the average of all
     * invokers as the report ages. An invoker without a report counts as average.
     */
    double fadeToAverage(InvokerState invoker, double reported, double average) {
        double age = invoker.loadReportedAt - state.now;
        double weight = invoker.loadReportedAt == 0 ? 0 : Math.exp(age / RATE_DECAY_MICROS);
        return average + (reported - average) * weight;
    }

    /**
     * Returns the usual run time of the function in microseconds; before its first response, a
     * share of the latency objective of its request class.
     */
    double runMicros(FunctionState function) {
        long objective = state.settings.classes().get(function.requestClass).objectiveMicros();
        return function.runMicros > 0 ? function.runMicros : INITIAL_RUN_SHARE * objective;
    }

    /**
     * Returns the load time of the function in microseconds: the declared one, raised to half the
     * measured average of all functions, or else that average. If neither is known, it is the
     * deadline for ranking, so that cold invokers rank behind warm ones, and otherwise 0, so that
     * no request is rejected.
     */
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
