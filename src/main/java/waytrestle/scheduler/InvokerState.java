package waytrestle.scheduler;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.function.Predicate;
import waytrestle.stats.DecayingSum;

/**
 * What a scheduler knows about one invoker; removed once the invoker is not ready and has no
 * attempt of this controller in flight. Times are in microseconds on the scheduler's clock.
 */
final class InvokerState {
    final String id;

    /** Hash of the id, for the ranking of invokers. */
    final long hash;

    /** The invoker's last entry in the endpoint list. */
    InvokerEndpoint endpoint;

    /** Whether the last endpoint list names the invoker as ready. */
    boolean ready;

    /** What is known about the invoker's readiness while the endpoint list may be outdated. */
    final ReadinessLease readinessLease = new ReadinessLease();

    // This controller's work at the invoker.
    /** Attempts in flight. */
    int inFlight;

    /** Warm attempts in flight: those that do not wait for a load. */
    int warmInFlight;

    /** Preload requests in flight. */
    int preloadsInFlight;

    /** Number of functions believed to be loading at the invoker. */
    int loadingFunctions;

    /**
     * When the invoker last responded, or was sent a warm attempt while no warm attempt was in
     * flight there. The invoker's silence counts from then.
     */
    long silentSince;

    /** Functions believed to be loaded or loading at the invoker, by function id. */
    final LinkedHashMap<String, FunctionInstance> instances = new LinkedHashMap<>();

    // Speed, learned from warm responses.
    /** Ratio of response times at the invoker to the usual run times of their functions. */
    double slowness = 1;

    /** Average response time at the invoker. */
    double averageElapsedMicros;

    /** Average of the usual run times of the functions that responded; 0 before any response. */
    double averageUsualMicros;

    /**
     * Average number of requests that the invoker was running when the attempts behind {@link
     * #slowness} were sent.
     */
    double averageConcurrentRequests;

    // Averages of the invoker's load reports.
    /** Requests in the invoker's queue, without those that wait for a load. */
    double queuedRequests;

    /** Requests of other controllers that the invoker runs. */
    double otherRequests;

    /** When the last load report arrived; 0 before any. */
    long loadReportedAt;

    // Failures.
    /** Share of failed attempts, by {@link RequestState#failureScope}; decays over a keep-alive. */
    final HashMap<Integer, DecayingSum> failureShare = new HashMap<>();

    /** End of the backoff after full responses to warm attempts. */
    long fullUntil;

    /** End of the backoff after full responses to cold attempts. */
    long noLoadsUntil;

    int consecutiveFullResponses;

    /** Pauses since the invoker last responded. */
    int consecutiveFailures;

    int consecutiveResets;
    long lastResetAt;

    /** End of the pause in which the invoker is sent nothing. */
    long pausedUntil;

    /** Whether the invoker's process has been taken for ended since the invoker last responded. */
    boolean processEnded;

    // Slow start.
    /** When the invoker's present process started; 0 if that is long ago. */
    long slowStartSince;

    /** Number of the window that {@link #budgetRounding} was drawn for. */
    long budgetRoundingWindow;

    /** Random number from 0 to 1 by which the window's slow-start budget is rounded. */
    double budgetRounding;

    /** Sum of the relative sizes in {@link #slowStartSends}. */
    double slowStartSizeSum;

    /** Attempts sent during slow start, oldest first. */
    final ArrayDeque<SlowStartSend> slowStartSends = new ArrayDeque<>();

    InvokerState(String id) {
        this.id = id;
        this.hash = RendezvousHash.hash(id);
    }

    /** Forgets all instances, because the process that held them has ended. */
    void clearInstances() {
        instances.clear();
        loadingFunctions = 0;
        preloadsInFlight = 0;
    }

    /** Forgets failures and speed, because they were those of a process that has ended. */
    void clearHealth() {
        consecutiveFailures = 0;
        pausedUntil = 0;
        slowness = 1;
        averageElapsedMicros = 0;
        averageUsualMicros = 0;
    }

    /**
     * Returns whether nothing that bears on the cost of a request without an instance here is known
     * of the invoker but its entry in the endpoint list.
     */
    boolean isUnused(long nowMicros) {
        return loadReportedAt == 0
                && averageUsualMicros == 0
                && slowness == 1
                && warmInFlight == 0
                && loadingFunctions == 0
                && fullUntil <= nowMicros
                && failureShare.isEmpty();
    }

    /** Records that the invoker responded, whatever the response. */
    void recordResponse(long nowMicros) {
        silentSince = nowMicros;
        consecutiveFailures = 0;
        consecutiveResets = 0;
        processEnded = false;
    }

    /**
     * Records that an instance at the invoker ran a request: the function is loaded there and the
     * invoker has capacity.
     */
    void recordUse(FunctionInstance instance, long nowMicros) {
        markLoaded(instance);
        instance.lastUsedAt = nowMicros;
        consecutiveFullResponses = 0;
    }

    /** Drops the slow-start sends before a time. */
    void dropSlowStartSends(long before) {
        while (!slowStartSends.isEmpty() && slowStartSends.peek().sentAt() < before) {
            slowStartSizeSum -= slowStartSends.poll().relativeSize();
        }
    }

    /** Adds an instance that begins to load, and returns it. */
    FunctionInstance addLoadingInstance(FunctionState function, long nowMicros) {
        FunctionInstance instance = new FunctionInstance(function, nowMicros);
        loadingFunctions++;
        instances.put(function.id, instance);
        return instance;
    }

    /** Counts a preload request for the function as in flight. */
    void startPreload(FunctionState function, long nowMicros) {
        FunctionInstance instance = instances.get(function.id);
        if (instance == null) {
            instance = addLoadingInstance(function, nowMicros);
        }
        instance.preloadInFlight = true;
        preloadsInFlight++;
    }

    /** No longer counts the preload request for an instance as in flight. */
    void endPreload(FunctionInstance instance) {
        instance.preloadInFlight = false;
        preloadsInFlight--;
    }

    /**
     * Records loaded instances of the function that the invoker reported.
     *
     * @param count number of loaded instances
     * @param usedAt earliest possible time of the last use of the instances
     */
    void recordLoaded(FunctionState function, int count, long usedAt, long nowMicros) {
        FunctionInstance instance = instances.get(function.id);
        if (instance == null) {
            instance = addLoadingInstance(function, nowMicros);
        }
        markLoaded(instance);
        instance.count = count;
        instance.lastUsedAt = Math.max(instance.lastUsedAt, usedAt);
    }

    /** Marks an instance as loaded. */
    void markLoaded(FunctionInstance instance) {
        if (instance.isLoading()) {
            instance.loadingSince = 0;
            loadingFunctions = Math.max(0, loadingFunctions - 1);
        }
    }

    /** Forgets the instances of the functions that the condition holds for. */
    void removeInstances(Predicate<FunctionState> condition) {
        instances
                .values()
                .removeIf(
                        instance -> {
                            boolean removed = condition.test(instance.function);
                            if (removed) {
                                markLoaded(instance);
                            }
                            return removed;
                        });
    }

    /** Forgets an instance, unless the invoker holds another one for the function by now. */
    void removeInstance(FunctionInstance instance) {
        if (instances.get(instance.function.id) == instance) {
            markLoaded(instance);
            instances.remove(instance.function.id);
        }
    }

    /**
     * An attempt sent during the invoker's slow start.
     *
     * @param relativeSize usual run time of the function over the average of all; at least 1
     */
    record SlowStartSend(long sentAt, double relativeSize) {}
}
