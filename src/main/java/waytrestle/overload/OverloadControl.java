package waytrestle.overload;

import java.util.List;
import waytrestle.requests.AdmissionControl;
import waytrestle.requests.RequestOutcome.Reason;
import waytrestle.scheduler.SchedulerSettings.RequestClass;
import waytrestle.scheduler.SchedulerSettings.Tenant;

/**
 * The order in which things give way: what is beyond a tenant's own bounds, then repeats beyond
 * their budget, then new calls of tenants beyond their share, the least worth first. What passes is
 * put before the module.
 */
public final class OverloadControl implements AdmissionControl {
    /** Settings; retryShare of first calls, plus so many repeats a second always. */
    public record Settings(
            boolean enabled, int minInFlight, double retryShare, double retriesPerSecond) {}

    private final ConcurrencyLimit limit;
    private final TenantQuotas shares;
    private final RetryBudget budget;
    private int open;

    public OverloadControl(
            Settings settings,
            int maxOpen,
            List<Tenant> tenants,
            List<TenantQuotas.Limit> bounds,
            List<RequestClass> classes) {
        this.limit = new ConcurrencyLimit(Math.min(maxOpen, settings.minInFlight()), maxOpen);
        this.shares = new TenantQuotas(tenants, bounds, classes);
        this.budget = new RetryBudget(settings.retryShare(), settings.retriesPerSecond());
    }

    public int limit() {
        return limit.limit();
    }

    @Override
    public Reason rejectionReason(long now, int tenant, int requestClass, long mark) {
        if (shares.exceedsLimit(now, tenant)) {
            return Reason.TENANT_LIMIT_REACHED;
        }
        if (budget.isRetry(now, mark)) {
            if (!budget.tryWithdraw(now)) {
                return Reason.RETRY_BUDGET_EXHAUSTED;
            }
        } else {
            budget.deposit(now);
        }
        if (!shares.hasCapacity(tenant, requestClass, open, limit.limit())) {
            budget.rejected(now, mark);
            return Reason.TENANT_QUOTA_EXCEEDED;
        }
        return null;
    }

    @Override
    public void requestStarted(long now, int tenant, int requestClass) {
        shares.requestStarted(tenant);
        limit.inFlight(now, ++open);
    }

    @Override
    public void requestCompleted(
            long now, int tenant, int requestClass, long mark, boolean refused, boolean timedOut) {
        shares.requestCompleted(tenant);
        if (refused) {
            budget.rejected(now, mark);
        }
        if (timedOut) {
            limit.timedOut(now);
        }
        limit.inFlight(now, --open);
    }

    @Override
    public boolean admitsRetry(long now) {
        return budget.tryWithdraw(now);
    }

    @Override
    public void warmResponseServed(long now, String function, long tookMicros) {
        limit.served(now, function, tookMicros);
    }
}
