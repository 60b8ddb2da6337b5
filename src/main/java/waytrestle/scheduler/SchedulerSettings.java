package waytrestle.scheduler;

import java.util.List;

/**
 * What a deployment allows and promises. There are no defaults here: the reader of the settings
 * fills in what is not given. Times are in microseconds.
 *
 * @param controllerIndex index of this controller among all of its tier
 * @param tickMicros resolution of the clock by which responses are judged
 * @param overQuotaWeight factor on the weight of requests beyond their tenant's quota
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

    /** The largest priority weight of any class; 0 without classes. */
    public double highestPriorityWeight() {
        return classes.stream().mapToDouble(RequestClass::priorityWeight).max().orElse(0);
    }

    /**
     * A class of requests.
     *
     * @param deduplicationWindowMicros how long invokers drop duplicates of one idempotency key
     * @param objectiveMicros latency objective
     * @param objectiveStretch growth of the objective with the request's own work
     * @param priorityWeight value of a response within the objective
     * @param latePriorityWeight share of that value for a response after the objective
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

    /** A tenant with its share of the fleet and its rate limit. */
    public record Tenant(String name, double quota, double requestsPerSecond) {}

    /** What the controller may do, and how much of it. */
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
     * The rules that a controller is held to.
     *
     * @param responseSlackMicros time after the deadline in which a response still counts
     * @param drainGraceMicros time after a draining notification in which sends are forgiven
     * @param slowStartInitialShare share of its capacity that a just started invoker may be given
     * @param slowStartMicros time from its start until an invoker takes its full capacity
     * @param overloadMultiple multiple of that share at which a warming invoker is overloaded
     * @param overloadWindowMicros time over which sends to a warming invoker are counted
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
     * How functions come to be loaded.
     *
     * @param reportsNotLoaded whether an invoker without the function says so at once, instead of
     *     loading it while the request waits
     * @param acceptsPreloads whether invokers take preload requests
     * @param preloadPeriodMicros time over which preloads are limited; 0 for no limit
     * @param freePreloads preloads of one period that need no request
     * @param preloadsPerRequest further preloads allowed per request of the period
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

    /** What each thing costs, in units of the value of a request. */
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
