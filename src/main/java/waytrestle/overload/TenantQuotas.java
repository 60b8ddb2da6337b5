package waytrestle.overload;

import java.util.ArrayList;
import java.util.List;
import waytrestle.scheduler.SchedulerSettings.RequestClass;
import waytrestle.scheduler.SchedulerSettings.Tenant;

/**
 * Divides the concurrency limit among tenants. Each tenant may always use its quota of the limit.
 * Beyond its quota, a tenant borrows capacity that other tenants leave unused, but only while all
 * requests in flight are below a fraction of the limit. That fraction is smaller for request
 * classes of lower priority weight, and always less than 1, so that a tenant below its quota finds
 * capacity at once. Quotas follow the fleet's capacity because the concurrency limit does; no
 * controller needs to know the traffic of another.
 *
 * <p>Guards against one tenant's overload, such as a runaway client or a retry storm, that denies
 * service to the other tenants.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class TenantQuotas {
    /**
     * Fraction of the concurrency limit up to which the class of the highest priority weight
     * borrows. The rest is left to tenants below their quota.
     */
    private static final double MAX_BORROWING_FRACTION = 0.75;

    /** Fraction of the concurrency limit up to which a class of priority weight 0 borrows. */
    private static final double MIN_BORROWING_FRACTION = 0.45;

    /** Requests that a tenant may have in flight even if its quota of the limit is smaller. */
    private static final int MIN_QUOTA_REQUESTS = 1;

    /** Index of the tenant to which requests with an unknown tenant are counted. */
    private static final int DEFAULT_TENANT = 0;

    /**
     * Limits of one tenant's requests at one controller, independent of the load.
     *
     * @param maxRequestsPerSecond limit of the request rate; 0 for none
     * @param maxInFlight limit of the requests in flight; 0 for none
     */
    public record TenantLimits(double maxRequestsPerSecond, int maxInFlight) {
        private static final TenantLimits NONE = new TenantLimits(0, 0);

        private boolean limitsRate() {
            return maxRequestsPerSecond > 0;
        }

        private boolean limitsInFlight() {
            return maxInFlight > 0;
        }
    }

    /** The quota and limits of one tenant, and its use of them. */
    private static final class TenantUsage {
        final double quota;
        final TenantLimits limits;
        final TokenBucket requestTokens;
        int inFlight;

        TenantUsage(double quota, TenantLimits limits) {
            this.quota = quota;
            this.limits = limits;
            this.requestTokens = new TokenBucket(limits.maxRequestsPerSecond());
        }

        boolean exceedsLimit(long nowMicros) {
            if (limits.limitsInFlight() && inFlight >= limits.maxInFlight()) {
                return true;
            }
            return limits.limitsRate() && !requestTokens.tryTake(nowMicros);
        }

        boolean isBelowQuota(int concurrencyLimit) {
            return inFlight < Math.max(MIN_QUOTA_REQUESTS, quota * concurrencyLimit);
        }
    }

    private final List<TenantUsage> usages;
    private final double[] borrowingFractionByClass;

    /**
     * Creates quotas for tenants without requests in flight.
     *
     * @param tenants the configured tenants; if empty, one tenant has the whole concurrency limit
     * @param limits the limits of the tenants, in the order of {@code tenants}; tenants beyond the
     *     end of the list have no limits
     * @param classes the configured request classes
     */
    public TenantQuotas(
            List<Tenant> tenants, List<TenantLimits> limits, List<RequestClass> classes) {
        this.usages = createUsages(tenants, limits);
        this.borrowingFractionByClass = borrowingFractions(classes);
    }

    private static List<TenantUsage> createUsages(List<Tenant> tenants, List<TenantLimits> limits) {
        int tenantCount = Math.max(1, tenants.size());
        double quotaSum = tenants.stream().mapToDouble(Tenant::quota).sum();
        List<TenantUsage> usages = new ArrayList<>(tenantCount);
        for (int i = 0; i < tenantCount; i++) {
            // Quotas with a sum below 1 are not scaled up: any tenant may borrow the remainder.
            boolean equalQuotas = quotaSum <= 0;
            double quota =
                    equalQuotas
                            ? 1.0 / tenantCount
                            : tenants.get(i).quota() / Math.max(1, quotaSum);
            TenantLimits tenantLimits = i < limits.size() ? limits.get(i) : TenantLimits.NONE;
            usages.add(new TenantUsage(quota, tenantLimits));
        }
        return usages;
    }

    private static double[] borrowingFractions(List<RequestClass> classes) {
        double maxWeight =
                classes.stream().mapToDouble(RequestClass::priorityWeight).max().orElse(0);
        return classes.stream()
                .mapToDouble(
                        requestClass -> borrowingFraction(requestClass.priorityWeight(), maxWeight))
                .toArray();
    }

    private static double borrowingFraction(double priorityWeight, double maxWeight) {
        double relativeWeight = maxWeight > 0 ? priorityWeight / maxWeight : 1;
        return MIN_BORROWING_FRACTION
                + (MAX_BORROWING_FRACTION - MIN_BORROWING_FRACTION) * relativeWeight;
    }

    /**
     * Returns whether one more request would exceed the limits of the tenant. A request that would
     * not is counted towards the tenant's request rate.
     */
    public boolean exceedsLimit(long nowMicros, int tenant) {
        return usage(tenant).exceedsLimit(nowMicros);
    }

    /**
     * Returns whether the tenant may have one more request of the class in flight, within its quota
     * or by borrowing.
     *
     * @param totalInFlight number of requests in flight, of all tenants
     * @param concurrencyLimit number of requests that may be in flight, of all tenants
     */
    public boolean hasCapacity(
            int tenant, int requestClass, int totalInFlight, int concurrencyLimit) {
        return usage(tenant).isBelowQuota(concurrencyLimit)
                || totalInFlight < borrowingFractionByClass[requestClass] * concurrencyLimit;
    }

    /** Records that one more request of the tenant is in flight. */
    public void requestStarted(int tenant) {
        usage(tenant).inFlight++;
    }

    /** Records that one request of the tenant is no longer in flight. */
    public void requestCompleted(int tenant) {
        usage(tenant).inFlight--;
    }

    private TenantUsage usage(int tenant) {
        boolean known = tenant >= 0 && tenant < usages.size();
        return usages.get(known ? tenant : DEFAULT_TENANT);
    }
}
