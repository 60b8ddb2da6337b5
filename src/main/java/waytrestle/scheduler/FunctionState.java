package waytrestle.scheduler;

import waytrestle.stats.DecayingSum;

/** What is known of one function. Owned by the scheduler; expires after long disuse. */
final class FunctionState {
    final String id;
    final long hash;

    /** Where this controller starts among the invokers that a busy function needs, 0 to 1. */
    final double placement;

    /** Requests within about one keep-alive. */
    final DecayingSum recentRequests;

    int requestClass;
    int concurrencyPerInstance = 1;
    long declaredLoadMicros;

    /** Usual time of a warm response, in microseconds; 0 before the first one. */
    double runMicros;

    int measuredRuns;
    int requestCount;
    long lastRequestAt;

    /** Where its instance is kept alive, during one round of maintenance. */
    InvokerState keepAliveInvoker;

    FunctionState(String id, double placement, double keepAliveMicros) {
        this.id = id;
        this.placement = placement;
        this.recentRequests = new DecayingSum(keepAliveMicros);
        this.hash = RendezvousHash.hash(id);
    }

    /** Takes over what a new request of the function tells. */
    void recordRequest(SchedulerEvent.RequestReceived request, long nowMicros) {
        requestCount++;
        lastRequestAt = nowMicros;
        recentRequests.add(1, nowMicros);
        requestClass = request.requestClass();
        concurrencyPerInstance = Math.max(1, request.concurrencyPerInstance());
        declaredLoadMicros = request.loadMicros();
    }
}
