package waytrestle.overload;

import java.util.List;
import waytrestle.requests.AdmissionControl;
import waytrestle.requests.RequestOutcome.Reason;
import waytrestle.scheduler.SchedulerSettings.RequestClass;
import waytrestle.scheduler.SchedulerSettings.Tenant;

/**
 * Sheds load in a fixed order: requests beyond a tenant's own limits, then retries beyond their
 * budget, then requests of tenants beyond their quota, those of the lowest priority weight first.
 * What passes is handed to the scheduler.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class OverloadControl implements AdmissionControl {
    /**
     * Settings of overload protection.
     *
     * @param enabled whether load is shed at all
     * @param minInFlight least requests in flight that are always allowed
     * @param retryRatio retries allowed for each first request
     * @param minRetriesPerSecond further retries that are always allowed
     */
    public record Settings(
            boolean enabled, int minInFlight, double retryRatio, double minRetriesPerSecond) {}

    private final ConcurrencyLimit concurrencyLimit;
    private final TenantQuotas tenantQuotas;
    private final RetryBudget retryBudget;
    private int inFlight;

    /**
     * A control without requests in flight.
     *
     * @param maxInFlight requests that may be in flight at most, however quick responses are
     * @param tenantLimits limits of the tenants in the same order
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

    /** The number of requests that may be in flight now. */
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
