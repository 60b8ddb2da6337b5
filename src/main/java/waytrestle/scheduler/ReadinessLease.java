package waytrestle.scheduler;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What is known of one invoker's readiness beside the endpoint list, and what waits for it. Owned
 * by {@link ReadinessLeases}.
 */
final class ReadinessLease {
    /** Until when the last health check that passed may be relied on. */
    long expiresAt;

    /** When the health check in flight was sent; 0 without one. */
    long checkSentAt;

    /** Health checks in a row that did not pass. */
    int consecutiveFailures;

    /** Whether one of these was refused, as by an invoker that drains or has ended. */
    boolean mayHaveEnded;

    /** No health check is sent before. */
    long nextCheckAt;

    /** When the invoker was last known to be the process that the endpoint list names. */
    long processConfirmedAt;

    /** Requests that are routed anew when the health check in flight ends. */
    private List<Long> waitingRequests = new ArrayList<>();

    /** Functions to preload once it passes, with the number of instances. */
    private Map<FunctionState, Integer> deferredPreloads = new LinkedHashMap<>();

    boolean isCheckInFlight() {
        return checkSentAt > 0;
    }

    /** Adds a request that waits. */
    void addWaitingRequest(RequestState request) {
        waitingRequests.add(request.id);
    }

    /** Adds a preload, unless so many are deferred already. */
    void deferPreload(FunctionState function, int instances, int max) {
        if (deferredPreloads.size() < max) {
            deferredPreloads.put(function, instances);
        }
    }

    /** The requests that wait; none do afterwards. */
    List<Long> takeWaitingRequests() {
        List<Long> waiting = waitingRequests;
        waitingRequests = new ArrayList<>();
        return waiting;
    }

    /** The deferred preloads; there are none afterwards. */
    Map<FunctionState, Integer> takeDeferredPreloads() {
        Map<FunctionState, Integer> deferred = deferredPreloads;
        deferredPreloads = new LinkedHashMap<>();
        return deferred;
    }
}
