package waytrestle.scheduler;

import java.util.List;

/**
 * Settings of a scheduler: what the deployment allows and promises. They have no defaults; the
 * reader of the settings fills in what is not given. Times are in microseconds. Immutable.
 *
 * @param controllerIndex index of this controller among all controllers, from 0
 * @param zone number of the zone that this controller is in
 * @param tickMicros resolution of the clock by which responses are judged
 * @param overQuotaWeight factor on the priority weight of requests beyond their tenant's quota
 */
public record SchedulerSettings(
        int controllerIndex,
        int controllerCount,
        int zone,
        long tickMicros,
        DiscoveryMode discovery,
        LoadReportSource loadReports,
        String weightKind,
        double overQuotaWeight,
        List<RequestClass> classes,
        List<Tenant> tenants,
        Limits limits,
        Rules rules,
        Preloading preloading,
        Costs costs) {

    /** Returns the highest priority weight of any request class; 0 if there are no classes. */
    public double highestPriorityWeight() {
        return classes.stream().mapToDouble(RequestClass::priorityWeight).max().orElse(0);
    }

    /**
     * A class of requests.
     *
     * @param deduplicationWindowMicros time after a request in which invokers drop others with its
     *     idempotency key
     * @param objectiveMicros latency objective
     * @param objectiveStretch factor by which the latency objective grows with the request's work
     * @param priorityWeight value of a response within the latency objective
     * @param latePriorityWeight share of the priority weight that a response after the objective
     *     has
     */
    public record RequestClass(
            String name,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            long deduplicationWindowMicros,
            long objectiveMicros,
            double objectiveStretch,
            long deadlineMicros,
            double priorityWeight,
            double latePriorityWeight,
            boolean streaming) {}

    /**
     * A tenant.
     *
     * @param quota share of the capacity of all invokers that the tenant is entitled to
     * @param requestsPerSecond rate limit of the tenant
     */
    public record Tenant(String name, double quota, double requestsPerSecond) {}

    /**
     * What the controller may do.
     *
     * @param maxAttempts attempts of one request
     * @param maxInFlight requests in flight at the controller
     * @param mayHedge whether a second attempt may be sent while the first is in flight
     * @param sendsRetryAfter whether rejections state a time after which to retry
     */
    public record Limits(
            int maxAttempts,
            int maxInFlight,
            boolean mayCancel,
            boolean mayCheckHealth,
            boolean mayGossip,
            boolean mayHedge,
            boolean sendsRetryAfter,
            long maxRetryAfterMicros,
            long connectTimeoutMicros) {}

    /**
     * The rules that a controller must keep.
     *
     * @param responseSlackMicros time after the deadline in which a response still counts
     * @param drainGraceMicros time after the notification that an invoker drains in which attempts
     *     sent to it are tolerated
     * @param slowStartInitialShare share of its capacity that a just started invoker may be sent
     * @param slowStartMicros time from its start until an invoker may be sent its full capacity
     * @param overloadMultiple multiple of the share allowed so far at which an invoker in slow
     *     start is overloaded
     * @param overloadWindowMicros time over which the sends to an invoker in slow start are counted
     * @param pollIntervalMicros time between two polls of the endpoint list
     */
    public record Rules(
            long responseSlackMicros,
            long drainGraceMicros,
            double slowStartInitialShare,
            long slowStartMicros,
            double overloadMultiple,
            long overloadWindowMicros,
            long pollIntervalMicros) {}

    /**
     * How invokers load functions.
     *
     * @param reportsNotLoaded whether an invoker without the function sends a not-loaded response
     *     at once, instead of loading the function while the request waits
     * @param acceptsPreloads whether invokers accept preload requests
     * @param reportsStartKind whether responses state a {@link StartKind}
     * @param reportsConcurrency whether responses state the requests for the function at the
     *     invoker
     * @param keepAliveMicros time after its last use in which an instance stays loaded
     * @param preloadTimeoutMicros longest time until the response to a preload request
     * @param preloadPeriodMicros time over which preloads are counted against their limit; 0 for no
     *     limit
     * @param freePreloads preloads allowed in one period without any request
     * @param preloadsPerRequest further preloads allowed for each request of the period
     * @param memoryByKind memory of an invoker in MB, by index of its kind
     */
    public record Preloading(
            boolean reportsNotLoaded,
            boolean acceptsPreloads,
            boolean reportsStartKind,
            boolean reportsConcurrency,
            long keepAliveMicros,
            long preloadTimeoutMicros,
            double idleMemoryCost,
            double freePreloads,
            double preloadsPerRequest,
            long preloadPeriodMicros,
            List<Double> memoryByKind) {}

    /** Costs, as multiples of the value of a request. */
    public record Costs(
            double crossZone,
            double waste,
            double healthCheck,
            double lateFailure,
            double fetch,
            double gossip,
            double connection,
            double handshake,
            double listEntries) {}
}
