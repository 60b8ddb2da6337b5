package waytrestle.scheduler;

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
        double warmTieMicros = WARM_TIE_SHARE * request.requestClass.objectiveMicros();
        InvokerState warm = bestRanked(request, true, warmTieMicros);
        InvokerState cold = bestCold(request);
        if (warm == null || cold == null) {
            return warm == null ? cold : warm;
        }
        return estimate.costMicros(request, cold) < estimate.costMicros(request, warm)
                ? cold
                : warm;
    }

    /**
     * Returns the cold candidate with the lowest cost if a run there would take less than the
     * latency objective, so that one more instance would help; null if there is none or it is
     * congested too.
     */
    InvokerState uncongestedColdInvoker(RequestState request) {
        InvokerState cold = bestCold(request);
        long objective = request.requestClass.objectiveMicros();
        boolean helps = cold != null && estimate.runMicrosAt(request.function, cold) < objective;
        return helps ? cold : null;
    }

    private InvokerState bestCold(RequestState request) {
        return bestRanked(
                request, false, COLD_TIE_SHARE * estimate.loadMicros(request.function, true));
    }

    private InvokerState bestRanked(RequestState request, boolean warm, double tieMicros) {
        FunctionState function = request.function;
        double lowest = Double.MAX_VALUE;
        for (InvokerState invoker : state.invokers.values()) {
            boolean eligible = isCandidate(request, invoker) && warm == isWarm(invoker, function);
            double cost =
                    eligible ? estimate.costMicros(request, invoker) : Double.POSITIVE_INFINITY;
            invoker.candidateCostMicros = cost;
            lowest = Math.min(lowest, cost);
        }
        int position = warm ? 0 : coldPosition(request);
        InvokerState best = null;
        for (int i = 0; i <= position; i++) {
            InvokerState next = nextRanked(function, best, lowest + tieMicros);
            best = next == null ? best : next;
        }
        return best;
    }

    private boolean isWarm(InvokerState invoker, FunctionState function) {
        return state.instanceAt(invoker, function) != null;
    }

    /**
     * Returns the highest-ranked invoker whose cost is at most the given one and that ranks below
     * another invoker, or null if there is none.
     *
     * @param above invoker to rank below; null for no such bound
     */
    private InvokerState nextRanked(
            FunctionState function, InvokerState above, double maxCostMicros) {
        InvokerState next = null;
        for (InvokerState invoker : state.invokers.values()) {
            boolean below = above == null || RendezvousHash.prefers(function, above, invoker);
            boolean eligible = invoker.candidateCostMicros <= maxCostMicros && below;
            if (eligible && (next == null || RendezvousHash.prefers(function, invoker, next))) {
                next = invoker;
            }
        }
        return next;
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
     */
    private boolean isCandidate(RequestState request, InvokerState invoker) {
        boolean warmOrMayLoad =
                state.now >= invoker.noLoadsUntil || isWarm(invoker, request.function);
        return warmOrMayLoad
                && invoker.ready
                && !backoff.isPaused(invoker)
                && leases.isCandidate(invoker)
                && !request.excludedInvokers.contains(invoker)
                && retryRules.mayRetryAt(request, invoker)
                && slowStart.admits(invoker, request.function);
    }
}
