package waytrestle.overload;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.overload.OverloadFixture.CLASSES;
import static waytrestle.overload.OverloadFixture.FIRST_TENANT;
import static waytrestle.overload.OverloadFixture.HIGH_PRIORITY_CLASS;
import static waytrestle.overload.OverloadFixture.LOW_PRIORITY_CLASS;
import static waytrestle.overload.OverloadFixture.MICROS_PER_SECOND;
import static waytrestle.overload.OverloadFixture.SECOND_TENANT;
import static waytrestle.overload.OverloadFixture.TENANTS;

import java.util.List;
import org.junit.jupiter.api.Test;

class TenantQuotasTest {
    private static void start(TenantQuotas quotas, int tenant, int requests) {
        for (int i = 0; i < requests; i++) {
            quotas.requestStarted(tenant);
        }
    }

    @Test
    void lowPriorityGivesWayFirstAndATenantBelowItsQuotaNever() {
        TenantQuotas quotas = new TenantQuotas(TENANTS, List.of(), CLASSES);
        start(quotas, FIRST_TENANT, 60);
        assertFalse(
                quotas.hasCapacity(FIRST_TENANT, LOW_PRIORITY_CLASS, 60, 100),
                "low priority, beyond its quota");
        assertTrue(
                quotas.hasCapacity(FIRST_TENANT, HIGH_PRIORITY_CLASS, 60, 100),
                "high priority still borrows");
        assertFalse(quotas.hasCapacity(FIRST_TENANT, HIGH_PRIORITY_CLASS, 80, 100));
        assertTrue(
                quotas.hasCapacity(SECOND_TENANT, LOW_PRIORITY_CLASS, 120, 100),
                "the other tenant is below its quota");
        start(quotas, SECOND_TENANT, 50);
        assertFalse(quotas.hasCapacity(SECOND_TENANT, LOW_PRIORITY_CLASS, 120, 100));
        quotas.requestCompleted(SECOND_TENANT);
        assertTrue(quotas.hasCapacity(SECOND_TENANT, LOW_PRIORITY_CLASS, 120, 100));
    }

    @Test
    void aTenantsOwnLimitsAreKept() {
        List<TenantQuotas.TenantLimits> limits =
                List.of(new TenantQuotas.TenantLimits(10, 0), new TenantQuotas.TenantLimits(0, 2));
        TenantQuotas quotas = new TenantQuotas(TENANTS, limits, CLASSES);
        int admitted = 0;
        for (long now = MICROS_PER_SECOND; now < 11 * MICROS_PER_SECOND; now += 10_000) {
            admitted += quotas.exceedsLimit(now, FIRST_TENANT) ? 0 : 1;
        }
        assertTrue(admitted >= 100 && admitted <= 115, "ten a second for ten seconds: " + admitted);
        start(quotas, SECOND_TENANT, 2);
        assertTrue(quotas.exceedsLimit(MICROS_PER_SECOND, SECOND_TENANT));
        quotas.requestCompleted(SECOND_TENANT);
        assertFalse(quotas.exceedsLimit(MICROS_PER_SECOND, SECOND_TENANT));
    }

    @Test
    void aTenantThatIsNotKnownCountsAsTheFirst() {
        TenantQuotas quotas = new TenantQuotas(TENANTS, List.of(), CLASSES);
        start(quotas, -1, 30);
        start(quotas, TENANTS.size(), 20);
        assertFalse(quotas.hasCapacity(FIRST_TENANT, LOW_PRIORITY_CLASS, 80, 100));
        assertTrue(quotas.hasCapacity(SECOND_TENANT, LOW_PRIORITY_CLASS, 80, 100));
    }

    @Test
    void withoutTenantsTheWholeLimitIsOneQuota() {
        TenantQuotas quotas = new TenantQuotas(List.of(), List.of(), CLASSES);
        start(quotas, FIRST_TENANT, 99);
        assertTrue(quotas.hasCapacity(FIRST_TENANT, LOW_PRIORITY_CLASS, 99, 100));
        start(quotas, FIRST_TENANT, 1);
        assertFalse(quotas.hasCapacity(FIRST_TENANT, LOW_PRIORITY_CLASS, 100, 100));
    }
}
