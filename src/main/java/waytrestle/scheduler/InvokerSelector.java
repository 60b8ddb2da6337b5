package waytrestle.scheduler;

import waytrestle.scheduler.FinishTimeEstimate.CostTerms;

/**
 * Chooses the invoker for a request: the candidate with the lowest cost, and among candidates of
 * nearly equal cost the one that {@link RendezvousHash} ranks highest.
 *
 * <p>Not thread-safe: called from the controller's event loop.
 */
final class InvokerSelector {
    /** Share of the load time within which the costs of cold invokers count as equal. */
    private static final double COLD_TIE_SHARE = 0.5;

    /** Share of the latency objective within which the costs of warm invokers count as equal. */
    private static final double WARM_TIE_SHARE = 0.15;

    /**
     * Multiple of the invokers that a function's requests would fill, among which the function is
     * spread.
     */
    private static final double HEADROOM = 1.5;

    private final SchedulerState state;
    private final FinishTimeEstimate estimate;
    private final InvokerBackoff backoff;
    private final ReadinessLeases leases;
    private final SlowStartBudget slowStart;
    private final RetryRules retryRules;

    /** Candidates that hold an instance of the function of the request being routed. */
    private final RankedCandidates warm = new RankedCandidates();

    /** The other candidates for the request being routed. */
    private final RankedCandidates cold = new RankedCandidates();

    InvokerSelector(
            SchedulerState state,
            FinishTimeEstimate estimate,
            InvokerBackoff backoff,
            ReadinessLeases leases,
            SlowStartBudget slowStart,
            RetryRules retryRules) {
        this.state = state;
        this.estimate = estimate;
        this.backoff = backoff;
        this.leases = leases;
        this.slowStart = slowStart;
        this.retryRules = retryRules;
    }

    /**
     * Returns the candidate with the lowest cost, or null if there is no candidate. Candidates of
     * nearly equal cost are chosen by rank and not at random: controllers that choose differently
     * would spread a function's instances over all invokers, where instances evict each other.
     */
    InvokerState lowestCostInvoker(RequestState request) {
        collectCandidates(request);
        double warmTieMicros = WARM_TIE_SHARE * request.requestClass.objectiveMicros();
        InvokerState best = warm.atPosition(request.function, 0, warmTieMicros);
        InvokerState bestCold = bestCold(request);
        if (best == null || bestCold == null) {
            return best == null ? bestCold : best;
        }
        return estimate.costMicros(request, bestCold) < estimate.costMicros(request, best)
                ? bestCold
                : best;
    }

    /**
     * Returns the cold candidate with the lowest cost if a run there would take less than the
     * latency objective, so that one more instance would help; null if there is none or it is
     * congested too.
     */
    InvokerState uncongestedColdInvoker(RequestState request) {
        collectCandidates(request);
        InvokerState bestCold = bestCold(request);
        long objective = request.requestClass.objectiveMicros();
        boolean helps =
                bestCold != null && estimate.runMicrosAt(request.function, bestCold) < objective;
        return helps ? bestCold : null;
    }

    private InvokerState bestCold(RequestState request) {
        double tieMicros = COLD_TIE_SHARE * estimate.loadMicros(request.function, true);
        return cold.atPosition(request.function, coldPosition(request), tieMicros);
    }

    /**
     * Collects the candidates for the request and their costs. This is the only walk over all
     * invokers for a decision; its cost grows with their number.
     */
    private void collectCandidates(RequestState request) {
        InvokerState[] invokers = state.invokers.inOrder();
        warm.reset(invokers);
        cold.reset(invokers);
        CostTerms terms = estimate.costTerms(request);
        boolean listValid = leases.isListValid();
        for (int i = 0; i < invokers.length; i++) {
            FunctionInstance instance = state.instanceAt(invokers[i], request.function);
            if (isCandidate(request, invokers[i], instance, listValid)) {
                double costMicros = estimate.costMicros(terms, invokers[i], instance);
                (instance == null ? cold : warm).add(i, costMicros);
            }
        }
        state.examinedInvokers += invokers.length;
    }

    /**
     * Returns the position, from 0, of the cold invoker to choose among the candidates in order of
     * rank. The function's share of all requests, with headroom, determines how many invokers it is
     * spread over; each controller has its own place among these, and each earlier attempt of the
     * request narrows them by one. The square root of the function's recent requests is subtracted
     * from their number, so that a chance burst does not spread a rare function.
     */
    private int coldPosition(RequestState request) {
        FunctionState function = request.function;
        double recent = function.recentRequests.value(state.now);
        double cautiousRecent = recent - Math.sqrt(recent);
        double allRecent = Math.max(1, state.recentRequests.value(state.now));
        double width = Math.max(1, HEADROOM * state.invokers.size() * cautiousRecent / allRecent);
        return (int) (function.placement * (width - request.attempts.size()));
    }

    /**
     * Returns whether the request may be sent to the invoker: neither draining, paused, of unknown
     * readiness, already tried for the request, outside the request's deduplication scope, over its
     * slow-start budget, nor cold while it is sent no loads.
     *
     * @param instance the instance of the request's function at the invoker; null if none is known
     * @param listValid whether the endpoint list is recent enough to send work without a lease
     */
    private boolean isCandidate(
            RequestState request,
            InvokerState invoker,
            FunctionInstance instance,
            boolean listValid) {
        boolean warmOrMayLoad = instance != null || state.now >= invoker.noLoadsUntil;
        return warmOrMayLoad
                && invoker.ready
                && !backoff.isPaused(invoker)
                && (listValid || leases.isCandidate(invoker))
                && !request.excludes(invoker)
                && retryRules.mayRetryAt(request, invoker)
                && slowStart.admits(invoker, request.function);
    }
}
