package waytrestle.scheduler;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import waytrestle.stats.DecayingAverage;
import waytrestle.stats.DecayingSum;
import waytrestle.stats.SlidingWindowCount;
import waytrestle.stats.SlidingWindowCount.Expiry;

/**
 * The state of one scheduler, shared by its parts. Its size is bounded by the endpoint list, the
 * requests in flight and {@link FunctionEviction}. Times are in microseconds on the scheduler's
 * clock.
 *
 * <p>Not thread-safe: used only by the controller's event loop.
 */
final class SchedulerState {
    final SchedulerSettings settings;
    final SplittableRandom random;

    /** Time of the event being handled. */
    long now;

    /** Receives the commands of the event being handled. */
    SchedulerCommand.Sink commands;

    /**
     * Estimated time until the request would finish, by which the event being handled forwarded or
     * rejected it; {@link RequestScheduler#NO_ESTIMATE} if there is none.
     */
    long estimateMicros = RequestScheduler.NO_ESTIMATE;

    /** All known invokers. */
    final InvokerTable invokers = new InvokerTable();

    /** Functions by id, in the order of their first requests. */
    final Map<String, FunctionState> functions = new LinkedHashMap<>();

    /** Requests by id that lack their outcome or have attempts in flight. */
    final Map<Long, RequestState> requests = new HashMap<>();

    /** Requests in the last period of the preload limit; never too many, as they earn preloads. */
    final SlidingWindowCount requestsInPeriod;

    /** Preloads sent in the last period of the preload limit; never too few. */
    final SlidingWindowCount preloadsInPeriod;

    /** Requests for all functions; each weighs 1/e after one keep-alive. */
    final DecayingSum recentRequests;

    /** Requests served by invokers, by index of the invokers' kind; decays over time. */
    final Map<Integer, DecayingSum> servedRequestsByKind = new HashMap<>();

    /** Ready invokers, by index of their kind. */
    final Map<Integer, DecayingAverage> readyInvokersByKind = new HashMap<>();

    /** Average of {@link InvokerState#otherRequests} over the load reports of all invokers. */
    double averageOtherRequests;

    /** Average of {@link InvokerState#queuedRequests} over the load reports of all invokers. */
    double averageQueuedRequests;

    /** Average usual run time of the functions served; 0 before the first response. */
    double averageRunMicros;

    /** Average load time of all functions; 0 before the first load. */
    double averageLoadMicros;

    /** Share of all attempts whose connection was reset; the past loses weight. */
    double resetShare;

    /** Probability that an invoker without a known instance holds none, at a first attempt. */
    double firstAttemptColdProbability = 0.5;

    /** Probability that an invoker without a known instance holds none, at a retry. */
    double retryColdProbability = 0.5;

    /** Invokers examined as candidates since the start, summed over all decisions. */
    long examinedInvokers;

    SchedulerState(SchedulerSettings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.recentRequests = new DecayingSum(keepAliveMicros());
        long period = settings.preloading().preloadPeriodMicros();
        this.requestsInPeriod = new SlidingWindowCount(period, Expiry.WITH_FIRST);
        this.preloadsInPeriod = new SlidingWindowCount(period, Expiry.WITH_LAST);
    }

    /** Returns the time after its last use in which an instance stays loaded; at least 1. */
    long keepAliveMicros() {
        return Math.max(1, settings.preloading().keepAliveMicros());
    }

    /** Returns what is believed about the function's instances at the invoker; null if none. */
    FunctionInstance instanceAt(InvokerState invoker, FunctionState function) {
        if (invoker.instances.isEmpty()) {
            return null; // spares a look-up at most invokers of a large fleet
        }
        FunctionInstance instance = invoker.instances.get(function.id);
        return instance != null && isExpired(instance) ? null : instance;
    }

    /** Returns whether an idle instance was last used longer ago than its keep-alive. */
    boolean isExpired(FunctionInstance instance) {
        return instance.inFlight == 0
                && !instance.isLoading()
                && now - instance.lastUsedAt > keepAliveMicros();
    }

    /** Returns the requests served by all invokers of the invoker's kind. */
    DecayingSum servedRequestsOf(InvokerState invoker, double decayMicros) {
        return servedRequestsByKind.computeIfAbsent(
                invoker.endpoint.kind(), kind -> new DecayingSum(decayMicros));
    }

    /** Returns the share of failed attempts at an invoker among requests of a failure scope. */
    DecayingSum failureShareOf(InvokerState invoker, int failureScope) {
        return invoker.failureShare.computeIfAbsent(
                failureScope, absent -> new DecayingSum(keepAliveMicros()));
    }

    /** Returns the function of a request, and adds the function if it is new. */
    private FunctionState functionOf(SchedulerEvent.RequestReceived request) {
        return functions.computeIfAbsent(
                request.function(),
                id -> new FunctionState(id, random.nextDouble(), keepAliveMicros()));
    }

    /** Adds a new request, counts it for its function, and returns it. */
    RequestState addRequest(SchedulerEvent.RequestReceived event) {
        FunctionState function = functionOf(event);
        function.recordRequest(event, now);
        recentRequests.add(1, now);
        requestsInPeriod.add(now);
        int classes = settings.classes().size();
        RequestState request =
                new RequestState(
                        event.id(),
                        settings.classes().get(event.requestClass()),
                        event.tenant() * classes + event.requestClass(),
                        function,
                        now,
                        event.timeLeftMicros());
        requests.put(request.id, request);
        return request;
    }

    /**
     * Ends a request. Cancels its attempts in flight where the settings allow it; the request is
     * kept until they have ended. Does nothing if the request is null or has ended.
     */
    void endRequest(RequestState request) {
        if (request == null || request.completed) {
            return;
        }
        request.completed = true;
        boolean cancelsAttempts = settings.limits().mayCancel() && !request.streaming;
        for (int i = 0; cancelsAttempts && i < request.attempts.size(); i++) {
            if (!request.attempts.get(i).completed) {
                commands.add(new SchedulerCommand.CancelAttempt(request.id, i));
            }
        }
        if (request.inFlight == 0) {
            requests.remove(request.id);
        }
    }
}
