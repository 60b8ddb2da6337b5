package waytrestle.scheduler;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import waytrestle.stats.DecayingSum;

/**
 * What is known of one invoker. Owned by the scheduler; removed once it is neither ready nor has an
 * own attempt in flight.
 */
final class InvokerState {
    final String id;
    final long hash;
    InvokerEndpoint endpoint;
    boolean ready;

    /** What is known of that while the list may be outdated. */
    final ReadinessLease readinessLease = new ReadinessLease();

    // Own work there.
    int inFlight;

    /** Those attempts in flight that do not wait for a load. */
    int warmInFlight;

    int preloadsInFlight;

    /** Functions believed to be loading there. */
    int loadingFunctions;

    /** When something was last heard, or sent after idleness. */
    long silentSince;

    final Map<String, FunctionInstance> instances = new LinkedHashMap<>();

    // Speed, learned from responses.
    /** Response times over the usual times of their functions. */
    double slowness = 1;

    double averageElapsedMicros;
    double averageUsualMicros;

    /** Requests at work there when the responses behind that slowness were sent. */
    double averageConcurrentRequests;

    // Load, as reported.
    double queuedRequests;
    double otherRequests;
    long loadReportedAt;

    // Failures.
    /** Share of failed attempts, by scope of the request. */
    final Map<Integer, DecayingSum> failureShare = new HashMap<>();

    long fullUntil;
    long noLoadsUntil;
    int consecutiveFullResponses;
    int consecutiveFailures;
    int consecutiveResets;
    long lastResetAt;
    long pausedUntil;

    /** Whether its process was taken for ended at the last failures. */
    boolean processEnded;

    // Slow start.
    /** Start of its present process; 0 when long past. */
    long slowStartSince;

    /** The window that the draw below is for. */
    long budgetRoundingWindow;

    double budgetRounding;

    /** Sum of the sizes below. */
    double slowStartSizeSum;

    final ArrayDeque<SlowStartSend> slowStartSends = new ArrayDeque<>();

    /** Cost in the choice at hand; infinite when it is no candidate. */
    double candidateCostMicros;

    InvokerState(String id) {
        this.id = id;
        this.hash = RendezvousHash.hash(id);
    }

    /** Forgets all instances: the process that held them has ended. */
    void clearInstances() {
        instances.clear();
        loadingFunctions = 0;
        preloadsInFlight = 0;
    }

    /** Forgets failures and speed: a new process has done nothing yet. */
    void clearHealth() {
        consecutiveFailures = 0;
        pausedUntil = 0;
        slowness = 1;
        averageElapsedMicros = 0;
        averageUsualMicros = 0;
    }

    /** The invoker answered, whatever it said. */
    void recordResponse(long nowMicros) {
        silentSince = nowMicros;
        consecutiveFailures = 0;
        consecutiveResets = 0;
        processEnded = false;
    }

    /** An instance there answered: it is loaded and there is capacity. */
    void recordUse(FunctionInstance instance, long nowMicros) {
        markLoaded(instance);
        instance.lastUsedAt = nowMicros;
        consecutiveFullResponses = 0;
    }

    /** Counts no longer what was sent before a time. */
    void dropSlowStartSends(long before) {
        while (!slowStartSends.isEmpty() && slowStartSends.peek().sentAt() < before) {
            slowStartSizeSum -= slowStartSends.poll().relativeSize();
        }
    }

    /** Remembers an instance that begins to load. */
    FunctionInstance addLoadingInstance(FunctionState function, long nowMicros) {
        FunctionInstance instance = new FunctionInstance(function, nowMicros);
        loadingFunctions++;
        instances.put(function.id, instance);
        return instance;
    }

    /** Counts a preload request as in flight. */
    void startPreload(FunctionState function, long nowMicros) {
        FunctionInstance instance = instances.get(function.id);
        if (instance == null) {
            instance = addLoadingInstance(function, nowMicros);
        }
        instance.preloadInFlight = true;
        preloadsInFlight++;
    }

    /** Counts it as in flight no longer. */
    void endPreload(FunctionInstance instance) {
        instance.preloadInFlight = false;
        preloadsInFlight--;
    }

    /** The invoker reports so many loaded instances, used at that time or later. */
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

    /** Forgets an instance, unless another has taken its place. */
    void removeInstance(FunctionInstance instance) {
        if (instances.get(instance.function.id) == instance) {
            markLoaded(instance);
            instances.remove(instance.function.id);
        }
    }

    /** An attempt sent while the invoker was warming up. */
    record SlowStartSend(long sentAt, double relativeSize) {}
}
