package waytrestle.overload;

import java.util.List;
import waytrestle.requests.AdmissionControl;
import waytrestle.requests.RequestOutcome.Reason;
import waytrestle.scheduler.SchedulerSettings.RequestClass;
import waytrestle.scheduler.SchedulerSettings.Tenant;

/**
 * Sheds load by three checks in a fixed order: requests beyond the limits set for their tenant,
 * then clients' retries beyond the retry budget, then requests of tenants beyond their quota, those
 * of the lowest priority weight first. Requests that pass all checks are handed to the scheduler.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class OverloadControl implements AdmissionControl {
    /**
     * Settings of overload protection.
     *
     * @param enabled whether load is shed at all
     * @param minInFlight lower bound of the concurrency limit, in requests in flight
     * @param retryRatio retries allowed per first request
     * @param minRetriesPerSecond retries per second that are allowed in addition, whatever the
     *     number of first requests
     */
    public record Settings(
            boolean enabled, int minInFlight, double retryRatio, double minRetriesPerSecond) {}

    private final ConcurrencyLimit concurrencyLimit;
    private final TenantQuotas tenantQuotas;
    private final RetryBudget retryBudget;
    private int inFlight;

    /**
     * Creates an overload control without requests in flight.
     *
     * @param maxInFlight upper bound of the concurrency limit, in requests in flight
     * @param tenants the configured tenants; may be empty
     * @param tenantLimits limits of the tenants, in the order of {@code tenants}
     * @param classes the configured request classes
     */
    public OverloadControl(
            Settings settings,
            int maxInFlight,
            List<Tenant> tenants,
            List<TenantQuotas.TenantLimits> tenantLimits,
            List<RequestClass> classes) {
        int minInFlight = Math.min(maxInFlight, settings.minInFlight());
        this.concurrencyLimit = new ConcurrencyLimit(minInFlight, maxInFlight);
        this.tenantQuotas = new TenantQuotas(tenants, tenantLimits, classes);
        this.retryBudget = new RetryBudget(settings.retryRatio(), settings.minRetriesPerSecond());
    }

    /** Returns the number of requests that may be in flight. */
    public int concurrencyLimit() {
        return concurrencyLimit.limit();
    }

    @Override
    public Reason rejectionReason(long nowMicros, int tenant, int requestClass, long fingerprint) {
        if (tenantQuotas.exceedsLimit(nowMicros, tenant)) {
            return Reason.TENANT_LIMIT_REACHED;
        }
        if (!isWithinRetryBudget(nowMicros, fingerprint)) {
            return Reason.RETRY_BUDGET_EXHAUSTED;
        }
        if (!tenantQuotas.hasCapacity(tenant, requestClass, inFlight, concurrencyLimit())) {
            retryBudget.recordRejection(nowMicros, fingerprint);
            return Reason.TENANT_QUOTA_EXCEEDED;
        }
        return null;
    }

    private boolean isWithinRetryBudget(long nowMicros, long fingerprint) {
        if (retryBudget.isRetry(nowMicros, fingerprint)) {
            return retryBudget.tryWithdraw(nowMicros);
        }
        retryBudget.deposit(nowMicros);
        return true;
    }

    @Override
    public void requestStarted(long nowMicros, int tenant, int requestClass) {
        tenantQuotas.requestStarted(tenant);
        inFlight++;
        concurrencyLimit.recordInFlight(nowMicros, inFlight);
    }

    @Override
    public void requestCompleted(
            long nowMicros,
            int tenant,
            int requestClass,
            long fingerprint,
            boolean rejected,
            boolean timedOut) {
        tenantQuotas.requestCompleted(tenant);
        if (rejected) {
            retryBudget.recordRejection(nowMicros, fingerprint);
        }
        if (timedOut) {
            concurrencyLimit.recordTimeout(nowMicros);
        }
        inFlight--;
        concurrencyLimit.recordInFlight(nowMicros, inFlight);
    }

    @Override
    public boolean admitsRetry(long nowMicros) {
        return retryBudget.tryWithdraw(nowMicros);
    }

    @Override
    public void warmResponseServed(long nowMicros, String function, long responseMicros) {
        concurrencyLimit.recordResponse(nowMicros, function, responseMicros);
    }
}
