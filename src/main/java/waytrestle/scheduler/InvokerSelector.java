package waytrestle.scheduler;

/** Chooses the invoker of a request: the lowest cost among the candidates, level ones by rank. */
final class InvokerSelector {
    private static final double COLD_TIE = 0.5; // of a load time: cold invokers so close are level
    private static final double WARM_TIE = 0.15; // of the objective: warm ones so close are level
    private static final double HEADROOM = 1.5; // over the share of the fleet a function would fill

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
     * The lowest cost, or null without a candidate. Level ones, warm or cold alike, are told apart
     * by rank and not at random: against instances strewn over the fleet by controllers that cannot
     * agree, which evict each other.
     */
    InvokerState lowestCostInvoker(RequestState request) {
        double warmTie = WARM_TIE * request.requestClass.objectiveMicros();
        InvokerState warm = bestRanked(request, true, warmTie);
        InvokerState cold = bestCold(request);
        if (warm == null || cold == null) {
            return warm == null ? cold : warm;
        }
        return estimate.costMicros(request, cold) < estimate.costMicros(request, warm) ? cold : warm;
    }

    /** Where one more instance would help, if only some invokers are congested; else null. */
    InvokerState uncongestedColdInvoker(RequestState request) {
        InvokerState cold = bestCold(request);
        long objective = request.requestClass.objectiveMicros();
        boolean helps = cold != null && estimate.runMicrosAt(request.function, cold) < objective;
        return helps ? cold : null;
    }

    private InvokerState bestCold(RequestState request) {
        return bestRanked(request, false, COLD_TIE * estimate.loadMicros(request.function, true));
    }

    private InvokerState bestRanked(RequestState request, boolean warm, double tolerance) {
        FunctionState function = request.function;
        double lowest = Double.MAX_VALUE;
        for (InvokerState invoker : state.invokers.values()) {
            boolean eligible = isCandidate(request, invoker) && warm == isWarm(invoker, function);
            double cost = eligible ? estimate.costMicros(request, invoker) : Double.POSITIVE_INFINITY;
            invoker.candidateCostMicros = cost;
            lowest = Math.min(lowest, cost);
        }
        int place = warm ? 0 : coldPlace(request);
        InvokerState best = null;
        for (int i = 0; i <= place; i++) {
            InvokerState next = nextRanked(function, best, lowest + tolerance);
            best = next == null ? best : next;
        }
        return best;
    }

    private boolean isWarm(InvokerState invoker, FunctionState function) {
        return state.instanceAt(invoker, function) != null;
    }

    /** The highest-ranked invoker below another whose cost is within the bound, or null. */
    private InvokerState nextRanked(FunctionState function, InvokerState above, double maxCost) {
        InvokerState next = null;
        for (InvokerState invoker : state.invokers.values()) {
            boolean below = above == null || RendezvousHash.prefers(function, above, invoker);
            boolean eligible = invoker.candidateCostMicros <= maxCost && below;
            if (eligible && (next == null || RendezvousHash.prefers(function, invoker, next))) {
                next = invoker;
            }
        }
        return next;
    }

    /**
     * Where this controller starts among the invokers that a function's share of all requests would
     * fill, with headroom: each controller has a place of its own, and a retry goes one further.
     * Few requests count for less: chance must not strew instances.
     */
    private int coldPlace(RequestState request) {
        FunctionState function = request.function;
        double recent = function.recentRequests.value(state.now);
        double certain = recent - Math.sqrt(recent);
        double all = Math.max(1, state.recentRequests.value(state.now));
        double width = Math.max(1, HEADROOM * state.invokers.size() * certain / all);
        return (int) (function.placement * (width - request.attempts.size()));
    }

    /**
     * Guards as filters: draining, health, readiness, what this request has tried, retries, slow
     * start.
     */
    private boolean isCandidate(RequestState request, InvokerState invoker) {
        boolean loads = state.now >= invoker.noLoadsUntil || isWarm(invoker, request.function);
        return loads
                && invoker.ready
                && !backoff.isPaused(invoker)
                && leases.isCandidate(invoker)
                && !request.excludedInvokers.contains(invoker)
                && retryRules.mayRetryAt(request, invoker)
                && slowStart.admits(invoker, request.function);
    }
}
