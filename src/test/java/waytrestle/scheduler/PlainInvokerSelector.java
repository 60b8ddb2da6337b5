package waytrestle.scheduler;

/**
 * The choice of an invoker in its plainest form, as a reference for {@link InvokerSelector}: it
 * walks over all invokers for the lowest cost, and once more for each position in the ranking.
 */
final class PlainInvokerSelector {
    private static final double COLD_TIE_SHARE = 0.5;
    private static final double WARM_TIE_SHARE = 0.15;
    private static final double HEADROOM = 1.5;

    private final SchedulerState state;
    private final FinishTimeEstimate estimate;
    private final InvokerBackoff backoff;
    private final ReadinessLeases leases;
    private final SlowStartBudget slowStart;
    private final RetryRules retryRules;

    PlainInvokerSelector(
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
        double lowest = Double.MAX_VALUE;
        for (InvokerState invoker : state.invokers.inOrder()) {
            lowest = Math.min(lowest, costMicros(request, invoker, warm));
        }
        int position = warm ? 0 : coldPosition(request);
        InvokerState best = null;
        for (int i = 0; i <= position; i++) {
            InvokerState next = nextRanked(request, warm, best, lowest + tieMicros);
            best = next == null ? best : next;
        }
        return best;
    }

    private double costMicros(RequestState request, InvokerState invoker, boolean warm) {
        boolean eligible =
                isCandidate(request, invoker) && warm == isWarm(invoker, request.function);
        return eligible ? estimate.costMicros(request, invoker) : Double.POSITIVE_INFINITY;
    }

    private boolean isWarm(InvokerState invoker, FunctionState function) {
        return state.instanceAt(invoker, function) != null;
    }

    private InvokerState nextRanked(
            RequestState request, boolean warm, InvokerState above, double maxCostMicros) {
        FunctionState function = request.function;
        InvokerState next = null;
        for (InvokerState invoker : state.invokers.inOrder()) {
            boolean below = above == null || RendezvousHash.prefers(function, above, invoker);
            boolean eligible = below && costMicros(request, invoker, warm) <= maxCostMicros;
            if (eligible && (next == null || RendezvousHash.prefers(function, invoker, next))) {
                next = invoker;
            }
        }
        return next;
    }

    private int coldPosition(RequestState request) {
        FunctionState function = request.function;
        double recent = function.recentRequests.value(state.now);
        double cautiousRecent = recent - Math.sqrt(recent);
        double allRecent = Math.max(1, state.recentRequests.value(state.now));
        double width = Math.max(1, HEADROOM * state.invokers.size() * cautiousRecent / allRecent);
        return (int) (function.placement * (width - request.attempts.size()));
    }

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
