package waytrestle.overload;

import java.util.ArrayList;
import java.util.List;
import waytrestle.scheduler.SchedulerSettings.RequestClass;
import waytrestle.scheduler.SchedulerSettings.Tenant;

/**
 * Divides the concurrency limit among tenants. Each tenant may always fill its quota of the limit;
 * what others leave is lent, but only up to a fraction of the limit that is smaller for classes of
 * lower priority weight, so that a tenant below its quota finds capacity at once. Quotas follow the
 * fleet's capacity because the limit does; no controller needs to know another's traffic.
 *
 * <p>Guards against one tenant's overload, a runaway client or a retry storm, that takes the
 * service of the others.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class TenantQuotas {
    /**
     * Fraction of the limit up to which the class of the highest priority weight borrows: the rest
     * is for tenants below their quota.
     */
    private static final double MAX_BORROWING_FRACTION = 0.75;

    /** Fraction of the limit up to which a class of priority weight 0 borrows. */
    private static final double MIN_BORROWING_FRACTION = 0.45;

    /** Requests that a tenant may have in flight even where its quota of the limit is less. */
    private static final int MIN_QUOTA_REQUESTS = 1;

    /** Index of the tenant that requests without a known one count for. */
    private static final int DEFAULT_TENANT = 0;

    /** Limits that a tenant has at this controller whatever the load; 0 for none. */
    public record TenantLimits(double maxRequestsPerSecond, int maxInFlight) {
        private static final TenantLimits NONE = new TenantLimits(0, 0);

        private boolean limitsRate() {
            return maxRequestsPerSecond > 0;
        }

        private boolean limitsInFlight() {
            return maxInFlight > 0;
        }
    }

    private static final class TenantUsage {
        final double quota;
        final TenantLimits limit;
        final TokenBucket rate;
        int inFlight;

        TenantUsage(double quota, TenantLimits limit) {
            this.quota = quota;
            this.limit = limit;
            this.rate = new TokenBucket(limit.maxRequestsPerSecond());
        }

        boolean exceedsLimit(long nowMicros) {
            if (limit.limitsInFlight() && inFlight >= limit.maxInFlight()) {
                return true;
            }
            return limit.limitsRate() && !rate.tryTake(nowMicros);
        }

        boolean isBelowQuota(int concurrencyLimit) {
            return inFlight < Math.max(MIN_QUOTA_REQUESTS, quota * concurrencyLimit);
        }
    }

    private final List<TenantUsage> usages;
    private final double[] borrowingFractionByClass;

    /**
     * Quotas of tenants without requests.
     *
     * @param tenants the configured tenants; one that has the whole limit where there are none
     * @param limits the limits of the tenants in the same order; those past its end have none
     * @param classes the configured request classes
     */
    public TenantQuotas(
            List<Tenant> tenants, List<TenantLimits> limits, List<RequestClass> classes) {
        this.usages = unusedQuotas(tenants, limits);
        this.borrowingFractionByClass = borrowingFractions(classes);
    }

    private static List<TenantUsage> unusedQuotas(List<Tenant> tenants, List<TenantLimits> limits) {
        int count = Math.max(1, tenants.size());
        double quotaSum = tenants.stream().mapToDouble(Tenant::quota).sum();
        List<TenantUsage> usages = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            // Quotas that sum up to less than 1 are not scaled up: the rest of the limit is lent.
            boolean equalQuotas = quotaSum <= 0;
            double quota =
                    equalQuotas ? 1.0 / count : tenants.get(i).quota() / Math.max(1, quotaSum);
            TenantLimits limit = i < limits.size() ? limits.get(i) : TenantLimits.NONE;
            usages.add(new TenantUsage(quota, limit));
        }
        return usages;
    }

    private static double[] borrowingFractions(List<RequestClass> classes) {
        double maxWeight =
                classes.stream().mapToDouble(RequestClass::priorityWeight).max().orElse(0);
        return classes.stream()
                .mapToDouble(each -> borrowingFraction(each.priorityWeight(), maxWeight))
                .toArray();
    }

    private static double borrowingFraction(double priorityWeight, double maxWeight) {
        double relativeWeight = maxWeight > 0 ? priorityWeight / maxWeight : 1;
        return MIN_BORROWING_FRACTION
                + (MAX_BORROWING_FRACTION - MIN_BORROWING_FRACTION) * relativeWeight;
    }

    /**
     * Whether one more request would exceed a limit of the tenant's own. Where it would not, it
     * counts towards the tenant's rate.
     */
    public boolean exceedsLimit(long nowMicros, int tenant) {
        return usage(tenant).exceedsLimit(nowMicros);
    }

    /**
     * Whether there is capacity for one more request of the tenant and class.
     *
     * @param totalInFlight requests in flight of all tenants
     * @param concurrencyLimit requests that may be in flight now
     */
    public boolean hasCapacity(
            int tenant, int requestClass, int totalInFlight, int concurrencyLimit) {
        return usage(tenant).isBelowQuota(concurrencyLimit)
                || totalInFlight < borrowingFractionByClass[requestClass] * concurrencyLimit;
    }

    /** Records that a request of the tenant is in flight. */
    public void requestStarted(int tenant) {
        usage(tenant).inFlight++;
    }

    /** Records that a request of the tenant is no longer in flight. */
    public void requestCompleted(int tenant) {
        usage(tenant).inFlight--;
    }

    private TenantUsage usage(int tenant) {
        boolean known = tenant >= 0 && tenant < usages.size();
        return usages.get(known ? tenant : DEFAULT_TENANT);
    }
}
