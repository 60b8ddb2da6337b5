package waytrestle.scheduler;

import waytrestle.scheduler.AttemptState.Guess;
import waytrestle.scheduler.SchedulerCommand.FailRequest;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerCommand.RejectRequest;
import waytrestle.scheduler.SchedulerCommand.SetTimer;
import waytrestle.scheduler.SchedulerSettings.Limits;
import waytrestle.scheduler.SchedulerTimer.QueuedRequestRetry;

/**
 * Routes a request: to the invoker with the lowest estimated finish time, or to an early rejection.
 * A rejection for a load that outlasts the request preloads the function all the same, or a slow
 * function would be rejected for ever.
 */
final class RequestRouter {
    private static final double MIN_WEIGHT_SHARE = 0.6; // of the objective: a weightless one's wait
    private static final double CONGESTION_RUNS = 2; // a longer finish is due to other requests
    private static final double QUICK_RUN_SHARE = 0.3; // of a usual run: quicker requests need that
    private static final double EXPLORATION_SHARE = 0.1; // of what a guess would reject: tried
    private static final int MAX_NOT_LOADED = 2; // responses, after which a request waits for loads
    private static final long RECHECK_MICROS = 40_000; // of queued requests: part of any objective
    private static final long OUTAGE_RETRY_AFTER_MICROS = 1_000_000; // discovery reports as often

    private final SchedulerState state;
    private final FinishTimeEstimate estimate;
    private final InvokerSelector selector;
    private final ReadinessLeases leases;
    private final SlowStartBudget slowStart;
    private final PreloadPlanner preloads;
    private final RetryRules retryRules;

    RequestRouter(
            SchedulerState state,
            FinishTimeEstimate estimate,
            InvokerSelector selector,
            ReadinessLeases leases,
            SlowStartBudget slowStart,
            PreloadPlanner preloads,
            RetryRules retryRules) {
        this.state = state;
        this.estimate = estimate;
        this.selector = selector;
        this.leases = leases;
        this.slowStart = slowStart;
        this.preloads = preloads;
        this.retryRules = retryRules;
    }

    /** The ordinary path: the lowest estimated finish, or an early rejection. */
    void route(RequestState request) {
        request.queued = false;
        if (request.completed || request.streaming || request.inFlight > 0) {
            return;
        }
        int maxAttempts = Math.max(1, state.settings.limits().maxAttempts());
        if (request.attempts.size() >= maxAttempts || !retryRules.mayRetry(request)) {
            finish(request);
            return;
        }
        boolean awaitsLoad = request.notLoadedResponses >= MAX_NOT_LOADED;
        boolean first = request.attempts.isEmpty();
        double guess = first ? state.firstAttemptColdProbability : state.retryColdProbability;
        estimate.coldProbability = awaitsLoad ? 1 : guess;
        InvokerState best = selector.lowestCostInvoker(request);
        if (best == null && leases.isBlocked()) {
            finish(request, OUTAGE_RETRY_AFTER_MICROS);
        } else if (best == null) {
            request.excludedInvokers.clear();
            queue(request, RECHECK_MICROS);
        } else if (isHopeless(request, best) && retryRules.mayReject(request)) {
            preloadForNextRequests(request, best);
            reject(request, state.estimateMicros);
        } else if (best.fullUntil > state.now) {
            queue(request, Math.min(RECHECK_MICROS, best.fullUntil - state.now));
        } else if (!leases.mayStartWork(best)) {
            queue(request, RECHECK_MICROS);
            leases.routeAfterCheck(best, request);
        } else if (awaitsLoad && mustWaitForLoad(request, best)) {
            request.waitedForLoad = true;
            preloads.preload(best, request.function, 1);
            queue(request, RECHECK_MICROS); // a send at once could overtake the preload
        } else {
            forward(request, best);
        }
    }

    /** Whether an invoker without the function says so at once and takes a preload instead. */
    private boolean preloadsOnDemand() {
        return state.settings.preloading().reportsNotLoaded()
                && state.settings.preloading().acceptsPreloads();
    }

    private boolean mustWaitForLoad(RequestState request, InvokerState best) {
        boolean cold = state.instanceAt(best, request.function) == null;
        return preloadsOnDemand() && (cold || !request.waitedForLoad);
    }

    /** Whether even the best invoker would finish too late, or only make the next ones late. */
    private boolean isHopeless(RequestState request, InvokerState best) {
        FunctionState function = request.function;
        double finish = estimate.finishMicros(function, best, false);
        state.estimateMicros = (long) finish;
        double soonest = finish - (1 - QUICK_RUN_SHARE) * estimate.runMicrosAt(function, best);
        long left = request.deadline - state.now;
        boolean unknown = request.attempts.isEmpty() && state.instanceAt(best, function) == null;
        boolean guessed = preloadsOnDemand() && unknown;
        boolean lateIfCold = soonest - estimate.loadMicrosAt(function, best, false) <= left;
        boolean mayExplore = guessed && lateIfCold;
        boolean late = soonest > left;
        boolean tooLate = late && !(mayExplore && state.random.nextDouble() < EXPLORATION_SHARE);
        return tooLate || isCongested(request, best);
    }

    /**
     * Guards against congestion, whatever caused it (burst, lost invokers, slow ones): when even
     * the best invoker would answer past the objective because of its concurrent requests, serving
     * late only makes the next late too. What has the least weight gives way first. It can hurt
     * where congestion is about to pass.
     */
    private boolean isCongested(RequestState request, InvokerState best) {
        FunctionInstance instance = state.instanceAt(best, request.function);
        if (instance != null && instance.isLoading()) {
            return false;
        }
        double finish = estimate.waitAndRunMicros(request.function, best);
        double highest = state.settings.highestPriorityWeight();
        boolean unweighted = instance == null || highest == 0;
        double weight = unweighted ? 1 : request.requestClass.priorityWeight() / highest;
        double share = MIN_WEIGHT_SHARE + (1 - MIN_WEIGHT_SHARE) * weight;
        double total = state.now - request.receivedAt + finish;
        return total > share * request.requestClass.objectiveMicros()
                && finish > CONGESTION_RUNS * estimate.runMicros(request.function);
    }

    /** Preloads where the next requests would go; elsewhere if only some are congested. */
    private void preloadForNextRequests(RequestState request, InvokerState best) {
        boolean cold = state.instanceAt(best, request.function) == null;
        InvokerState target = cold ? best : selector.uncongestedColdInvoker(request);
        if (target != null) {
            preloads.preload(target, request.function, 1);
        }
    }

    private void forward(RequestState request, InvokerState invoker) {
        FunctionInstance instance = state.instanceAt(invoker, request.function);
        boolean cold = instance == null || instance.isLoading();
        Guess guess = Guess.NONE;
        if (instance == null) {
            guess = request.attempts.isEmpty() ? Guess.FIRST_ATTEMPT : Guess.RETRY;
            instance = invoker.addLoadingInstance(request.function, state.now);
            instance.loadProbability = estimate.coldProbability;
        }
        double concurrent = estimate.concurrentRequests(invoker);
        request.startAttempt(
                new AttemptState(invoker, instance, cold, guess, concurrent, state.now));
        slowStart.recordSend(request.function, invoker);
        leases.renewAhead(invoker);
        state.commands.add(new ForwardAttempt(request.id, invoker.id, 0));
    }

    private void queue(RequestState request, long micros) {
        request.queued = true;
        state.commands.add(new SetTimer(micros, new QueuedRequestRetry(request.id)));
    }

    private void reject(RequestState request, long retryAfterMicros) {
        Limits limits = state.settings.limits();
        long allowed = limits.sendsRetryAfter() ? limits.maxRetryAfterMicros() : 0;
        state.commands.add(new RejectRequest(request.id, Math.min(allowed, retryAfterMicros)));
        state.endRequest(request);
    }

    /** Ends a request that cannot be served: rejected where a retry is harmless, else failed. */
    void finish(RequestState request) {
        finish(request, 0);
    }

    private void finish(RequestState request, long retryAfterMicros) {
        state.estimateMicros = RequestScheduler.NO_ESTIMATE;
        if (retryRules.mayReject(request)) {
            reject(request, retryAfterMicros);
        } else {
            state.commands.add(new FailRequest(request.id));
            state.endRequest(request);
        }
    }

    /** After an attempt that did not serve: the next best; if not loaded, a preload first. */
    void retry(RequestState request, AttemptState attempt, ResponseCode code) {
        if (!code.provesNotRun() && !request.mayHaveRun) {
            request.bindTo(attempt);
        }
        boolean late = state.now >= request.deadline - state.settings.tickMicros();
        boolean preloadable = state.settings.preloading().acceptsPreloads();
        if (late || code == ResponseCode.NOT_SENT) {
            finish(request);
        } else if (code == ResponseCode.NOT_LOADED && preloadable) {
            retryNotLoaded(request, attempt);
        } else {
            request.excludedInvokers.add(attempt.invoker);
            route(request);
        }
    }

    private void retryNotLoaded(RequestState request, AttemptState attempt) {
        request.notLoadedResponses++;
        if (attempt.instance.preloadInFlight) {
            queue(request, RECHECK_MICROS);
            return;
        }
        if (request.notLoadedResponses == 1) {
            preloads.preload(attempt.invoker, request.function, 1);
        }
        route(request);
    }
}
