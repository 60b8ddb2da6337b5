package waytrestle.scheduler;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import waytrestle.stats.DecayingAverage;
import waytrestle.stats.DecayingSum;

/**
 * All that one scheduler remembers, shared by its parts; it decides nothing. Bounded by the
 * endpoint list, by the requests in flight and by the expiry of unused functions.
 *
 * <p>Not thread-safe: used by one event loop.
 */
final class SchedulerState {
    final SchedulerSettings settings;
    final SplittableRandom random;

    /** Time of the event at hand, in microseconds. */
    long now;

    /** Commands of the event at hand. */
    SchedulerCommand.Sink commands;

    /** Estimate behind the last attempt or rejection. */
    long estimateMicros = RequestScheduler.NO_ESTIMATE;

    final Map<String, InvokerState> invokers = new LinkedHashMap<>();
    final Map<String, FunctionState> functions = new LinkedHashMap<>();
    final Map<Long, RequestState> requests = new HashMap<>();

    /** Times of requests and preloads within the period of the preload limit. */
    final ArrayDeque<Long> requestTimes = new ArrayDeque<>();

    final ArrayDeque<Long> preloadTimes = new ArrayDeque<>();

    /** All requests within about one keep-alive. */
    final DecayingSum recentRequests;

    /** Warm responses and ready invokers, by kind of invoker. */
    final Map<Integer, DecayingSum> servedRequestsByKind = new HashMap<>();

    final Map<Integer, DecayingAverage> readyInvokersByKind = new HashMap<>();

    /** Averages over the load reports of all invokers. */
    double averageOtherRequests;

    double averageQueuedRequests;

    /** Usual time of a warm response of any function, in microseconds; 0 before the first. */
    double averageRunMicros;

    /** Usual time of a load, in microseconds; 0 before the first. */
    double averageLoadMicros;

    /** Share of all attempts whose connection broke. */
    double resetShare;

    /** Probability that an invoker without a known instance has none, at the first attempt. */
    double firstAttemptColdProbability = 0.5;

    /** The same at a retry. */
    double retryColdProbability = 0.5;

    SchedulerState(SchedulerSettings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.recentRequests = new DecayingSum(keepAliveMicros());
    }

    /** Time after its last use in which an instance stays loaded; at least 1. */
    long keepAliveMicros() {
        return Math.max(1, settings.preloading().keepAliveMicros());
    }

    /** The instance of a function believed to be at an invoker, or null. */
    FunctionInstance instanceAt(InvokerState invoker, FunctionState function) {
        FunctionInstance instance = invoker.instances.get(function.id);
        return instance != null && isExpired(instance) ? null : instance;
    }

    /** Whether its keep-alive has passed since the last use. */
    boolean isExpired(FunctionInstance instance) {
        return instance.inFlight == 0
                && !instance.isLoading()
                && now - instance.lastUsedAt > keepAliveMicros();
    }

    /** Warm responses of invokers of the same kind. */
    DecayingSum servedRequestsOf(InvokerState invoker, double decayMicros) {
        return servedRequestsByKind.computeIfAbsent(
                invoker.endpoint.kind(), kind -> new DecayingSum(decayMicros));
    }

    /** Share of an invoker's attempts that failed, of requests of the scope. */
    DecayingSum failureShareOf(InvokerState invoker, int scope) {
        return invoker.failureShare.computeIfAbsent(
                scope, absent -> new DecayingSum(keepAliveMicros()));
    }

    /** The function of a request, remembered from now on. */
    private FunctionState functionOf(SchedulerEvent.RequestReceived request) {
        return functions.computeIfAbsent(
                request.function(),
                id -> new FunctionState(id, random.nextDouble(), keepAliveMicros()));
    }

    /** Remembers a new request and its function. */
    RequestState addRequest(SchedulerEvent.RequestReceived event) {
        FunctionState function = functionOf(event);
        function.recordRequest(event, now);
        recentRequests.add(1, now);
        requestTimes.add(now);
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

    /** Ends a request: attempts in flight are cancelled where allowed; their ends find it here. */
    void endRequest(RequestState request) {
        if (request == null || request.completed) {
            return;
        }
        request.completed = true;
        boolean cancels = settings.limits().mayCancel() && !request.streaming;
        for (int i = 0; cancels && i < request.attempts.size(); i++) {
            if (!request.attempts.get(i).completed) {
                commands.add(new SchedulerCommand.CancelAttempt(request.id, i));
            }
        }
        if (request.inFlight == 0) {
            requests.remove(request.id);
        }
    }

    /** Drops times that lie further back than the span. */
    void dropOlderThan(ArrayDeque<Long> times, long spanMicros) {
        while (!times.isEmpty() && times.peekFirst() < now - spanMicros) {
            times.removeFirst();
        }
    }
}
