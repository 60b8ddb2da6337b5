package waytrestle.scheduler;

import waytrestle.stats.DecayingSum;

/**
 * What a scheduler knows about one function; forgotten after ten keep-alives without a request, or
 * before by {@link FunctionEviction}. Times are in microseconds on the scheduler's clock.
 */
final class FunctionState {
    final String id;

    /** Hash of the id, for the ranking of invokers. */
    final long hash;

    /**
     * Random number from 0 to 1 by which this controller chooses among the invokers that the
     * requests for the function would fill, so that controllers spread a busy function.
     */
    final double placement;

    /** Requests for the function; each weighs 1/e after one keep-alive. */
    final DecayingSum recentRequests;

    /** Index, in the settings, of the class of the last request. */
    int requestClass;

    /** Requests that one instance runs at a time. */
    int concurrencyPerInstance = 1;

    /** Load time that the last request stated; zero or negative if unknown. */
    long declaredLoadMicros;

    /** Average time until a warm response; 0 before the first one. */
    double runMicros;

    /** Warm responses behind {@link #runMicros}. */
    int measuredRuns;

    /** Requests received for the function. */
    int requestCount;

    long lastRequestAt;

    /**
     * The highest-ranked usable invoker that holds the function, or null. Set only while
     * maintenance runs.
     */
    InvokerState keepAliveInvoker;

    FunctionState(String id, double placement, double keepAliveMicros) {
        this.id = id;
        this.placement = placement;
        this.recentRequests = new DecayingSum(keepAliveMicros);
        this.hash = RendezvousHash.hash(id);
    }

    /** Returns whether a warm response of the function has been measured. */
    boolean wasServed() {
        return measuredRuns > 0;
    }

    /** Counts a new request for the function and takes over what the request states about it. */
    void recordRequest(SchedulerEvent.RequestReceived event, long nowMicros) {
        requestCount++;
        lastRequestAt = nowMicros;
        recentRequests.add(1, nowMicros);
        requestClass = event.requestClass();
        concurrencyPerInstance = Math.max(1, event.concurrencyPerInstance());
        declaredLoadMicros = event.loadMicros();
    }
}
