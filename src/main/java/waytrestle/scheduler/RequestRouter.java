package waytrestle.scheduler;

import waytrestle.scheduler.AttemptState.Guess;
import waytrestle.scheduler.SchedulerCommand.FailRequest;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerCommand.RejectRequest;
import waytrestle.scheduler.SchedulerCommand.SetTimer;
import waytrestle.scheduler.SchedulerSettings.Limits;
import waytrestle.scheduler.SchedulerTimer.QueuedRequestRetry;

/**
 * Decides what becomes of a request: forwarded to the invoker with the lowest cost, queued,
 * rejected early or failed. A request that is rejected because a load outlasts its time left still
 * preloads its function; otherwise a function that loads slowly would be rejected forever.
 *
 * <p>Not thread-safe: called from the controller's event loop.
 */
final class RequestRouter {
    /**
     * Share of the latency objective that a request without priority weight may take before it
     * counts as congested; a request of the highest weight may take all of it.
     */
    private static final double MIN_WEIGHT_SHARE = 0.6;

    /** Run times beyond which an estimated finish is due to other requests. */
    private static final double CONGESTION_RUNS = 2;

    /** Share of the usual run time that quicker requests need. */
    private static final double QUICK_RUN_SHARE = 0.3;

    /**
     * Share of the requests, otherwise rejected for a load that may be unnecessary, that are
     * forwarded to find out.
     */
    private static final double EXPLORATION_SHARE = 0.1;

    /** Not-loaded responses after which a request waits for a load. */
    private static final int MAX_NOT_LOADED = 2;

    /** Time until a queued request is routed again; a small part of any latency objective. */
    private static final long RECHECK_MICROS = 40_000;

    /**
     * Retry-After time while service discovery is unreachable; discovery reports about as often.
     */
    private static final long OUTAGE_RETRY_AFTER_MICROS = 1_000_000;

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

    /**
     * Forwards the request to the invoker with the lowest cost, queues it, or ends it. Does nothing
     * for a request that has its outcome, streams its response or has an attempt in flight.
     */
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
        boolean firstAttempt = request.attempts.isEmpty();
        double coldProbability =
                firstAttempt ? state.firstAttemptColdProbability : state.retryColdProbability;
        estimate.coldProbability = awaitsLoad ? 1 : coldProbability;
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
            queue(request, RECHECK_MICROS); // an attempt sent now could overtake the preload
        } else {
            forward(request, best);
        }
    }

    /** Returns whether invokers send not-loaded responses and accept preloads. */
    private boolean preloadsOnDemand() {
        return state.settings.preloading().reportsNotLoaded()
                && state.settings.preloading().acceptsPreloads();
    }

    private boolean mustWaitForLoad(RequestState request, InvokerState best) {
        boolean cold = state.instanceAt(best, request.function) == null;
        return preloadsOnDemand() && (cold || !request.waitedForLoad);
    }

    /**
     * Returns whether even the best invoker would finish the request after its deadline, or so late
     * that the requests after it would be late too.
     */
    private boolean isHopeless(RequestState request, InvokerState best) {
        FunctionState function = request.function;
        double finish = estimate.finishMicros(function, best, false);
        state.estimateMicros = (long) finish;
        double soonest = finish - (1 - QUICK_RUN_SHARE) * estimate.runMicrosAt(function, best);
        long timeLeft = request.deadline - state.now;
        boolean noKnownInstance =
                request.attempts.isEmpty() && state.instanceAt(best, function) == null;
        boolean loadUncertain = preloadsOnDemand() && noKnownInstance;
        boolean inTimeIfLoaded = soonest - estimate.loadMicrosAt(function, best, false) <= timeLeft;
        boolean mayExplore = loadUncertain && inTimeIfLoaded;
        boolean late = soonest > timeLeft;
        boolean tooLate = late && !(mayExplore && state.random.nextDouble() < EXPLORATION_SHARE);
        return tooLate || isCongested(request, best);
    }

    /**
     * Returns whether the request should be rejected because of congestion, whatever its cause
     * (burst, lost invokers, slow invokers): even the best invoker would respond after the latency
     * objective because of its other requests, and serving the request late would make the next
     * ones late too. Requests with the lowest priority weight are rejected first. Drawback: also
     * rejects when the congestion is about to end.
     */
    private boolean isCongested(RequestState request, InvokerState best) {
        FunctionInstance instance = state.instanceAt(best, request.function);
        if (instance != null && instance.isLoading()) {
            return false;
        }
        double finish = estimate.waitAndRunMicros(request.function, best);
        double highestWeight = state.settings.highestPriorityWeight();
        boolean unweighted = instance == null || highestWeight == 0;
        double weight = unweighted ? 1 : request.requestClass.priorityWeight() / highestWeight;
        double share = MIN_WEIGHT_SHARE + (1 - MIN_WEIGHT_SHARE) * weight;
        double totalMicros = state.now - request.receivedAt + finish;
        return totalMicros > share * request.requestClass.objectiveMicros()
                && finish > CONGESTION_RUNS * estimate.runMicros(request.function);
    }

    /**
     * Preloads the function of a rejected request at the invoker that the next requests for it
     * would be sent to: the best one if it is cold, otherwise a cold one that is not congested, if
     * any.
     */
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

    /**
     * Ends a request that cannot be served: rejects it if a retry is harmless, otherwise fails it.
     */
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

    /**
     * Routes a request again after an attempt that did not serve it. A not-loaded response may
     * preload the function first; any other response excludes the invoker for the request. Ends the
     * request if no time is left or the attempt was not sent.
     */
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
