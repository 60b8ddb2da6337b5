package waytrestle.overload;

import java.util.List;
import waytrestle.scheduler.SchedulerSettings.RequestClass;
import waytrestle.scheduler.SchedulerSettings.Tenant;

/**
 * Who gives way when the limit is reached. Each tenant may always fill its share of the limit; what
 * others leave is lent, but less and less as the house fills, and least to the classes worth least,
 * so that a tenant below its share finds room at once. Shares follow capacity because the limit
 * does; no controller needs to know another's traffic.
 *
 * <p>Guards against one tenant's flood, a runaway client or a retry storm, taking the others'
 * service.
 */
public final class TenantQuotas {
    // ---- Tuned numbers, of the limit. ----
    private static final double LENT =
            0.75; // lent to the class worth most: the rest is for those below a share
    private static final double LENT_LEAST = 0.45; // lent to a worthless class

    /** Hard bounds of a tenant at this controller; 0 for none. */
    public record Limit(double requestsPerSecond, int inFlight) {}

    private final double[] share;
    private final Limit[] bounds;
    private final double[] lent;
    private final int[] open;
    private final double[] tokens;
    private final long[] filledAt;

    public TenantQuotas(List<Tenant> tenants, List<Limit> bounds, List<RequestClass> classes) {
        int n = Math.max(1, tenants.size());
        share = new double[n];
        open = new int[n];
        tokens = new double[n];
        filledAt = new long[n];
        this.bounds = new Limit[n];
        double sum = tenants.stream().mapToDouble(Tenant::quota).sum();
        for (int i = 0; i < n; i++) {
            share[i] =
                    tenants.isEmpty() || sum <= 0
                            ? 1.0 / n
                            : tenants.get(i).quota() / Math.max(1, sum);
            this.bounds[i] = i < bounds.size() ? bounds.get(i) : new Limit(0, 0);
            tokens[i] = this.bounds[i].requestsPerSecond();
        }
        double most = classes.stream().mapToDouble(RequestClass::priorityWeight).max().orElse(0);
        lent =
                classes.stream()
                        .mapToDouble(
                                c ->
                                        LENT_LEAST
                                                + (LENT - LENT_LEAST)
                                                        * (most > 0
                                                                ? c.priorityWeight() / most
                                                                : 1))
                        .toArray();
    }

    private int at(int tenant) {
        return tenant < 0 || tenant >= open.length ? 0 : tenant;
    }

    /** Whether a bound of the tenant's own is reached; takes one of its tokens where not. */
    public boolean exceedsLimit(long now, int tenant) {
        int t = at(tenant);
        Limit bound = bounds[t];
        if (bound.inFlight() > 0 && open[t] >= bound.inFlight()) {
            return true;
        }
        if (bound.requestsPerSecond() <= 0) {
            return false;
        }
        if (filledAt[t] != 0) {
            tokens[t] =
                    Math.min(
                            Math.max(1, bound.requestsPerSecond()),
                            tokens[t] + (now - filledAt[t]) / 1e6 * bound.requestsPerSecond());
        }
        filledAt[t] = now;
        if (tokens[t] < 1) {
            return true;
        }
        tokens[t]--;
        return false;
    }

    /** Whether there is room for one more call of the tenant and class with so many open in all. */
    public boolean hasCapacity(int tenant, int requestClass, int all, int limit) {
        return open[at(tenant)] < Math.max(1, share[at(tenant)] * limit)
                || all < lent[requestClass] * limit;
    }

    public void requestStarted(int tenant) {
        open[at(tenant)]++;
    }

    public void requestCompleted(int tenant) {
        open[at(tenant)]--;
    }
}
