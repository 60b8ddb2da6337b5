package waytrestle.scheduler;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What health checks show about the readiness of one invoker while the endpoint list may be
 * outdated, and the requests and preloads that wait for the next check. Owned by {@link
 * ReadinessLeases}. Times are in microseconds on the scheduler's clock.
 */
final class ReadinessLease {
    /** When the lease of the last passed health check expires; 0 after a failed one. */
    long expiresAt;

    /** When the health check in flight was sent; 0 if none is in flight. */
    long checkSentAt;

    /** Number of health checks in a row that failed. */
    int consecutiveFailures;

    /**
     * Whether, since the last passed health check, one failed other than by a timeout, as at an
     * invoker that drains or has ended.
     */
    boolean mayHaveEnded;

    /** Earliest time of the next health check. */
    long nextCheckAt;

    /**
     * When the endpoint list or a passed health check last confirmed which process the invoker runs
     * in.
     */
    long processConfirmedAt;

    /** Ids of the requests that are routed when the health check in flight ends. */
    private List<Long> waitingRequests = new ArrayList<>();

    /** Functions to preload once a health check passes, with the number of instances. */
    private Map<FunctionState, Integer> deferredPreloads = new LinkedHashMap<>();

    /** Returns whether a health check is in flight. */
    boolean isCheckInFlight() {
        return checkSentAt > 0;
    }

    /** Adds a request that waits for the health check. */
    void addWaitingRequest(RequestState request) {
        waitingRequests.add(request.id);
    }

    /**
     * Defers a preload until a health check passes, unless {@code max} functions are deferred
     * already.
     */
    void deferPreload(FunctionState function, int instances, int max) {
        if (deferredPreloads.size() < max) {
            deferredPreloads.put(function, instances);
        }
    }

    /** Returns and removes the ids of the waiting requests. */
    List<Long> takeWaitingRequests() {
        List<Long> waiting = waitingRequests;
        waitingRequests = new ArrayList<>();
        return waiting;
    }

    /** Returns and removes the deferred preloads. */
    Map<FunctionState, Integer> takeDeferredPreloads() {
        Map<FunctionState, Integer> deferred = deferredPreloads;
        deferredPreloads = new LinkedHashMap<>();
        return deferred;
    }
}
