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
    private static void startRequests(TenantQuotas quotas, int tenant, int count) {
        for (int i = 0; i < count; i++) {
            quotas.requestStarted(tenant);
        }
    }

    @Test
    void lowPriorityStopsBorrowingBeforeHighPriorityAndTenantBelowQuotaHasCapacity() {
        TenantQuotas quotas = new TenantQuotas(TENANTS, List.of(), CLASSES);
        startRequests(quotas, FIRST_TENANT, 60);
        assertFalse(
                quotas.hasCapacity(FIRST_TENANT, LOW_PRIORITY_CLASS, 60, 100),
                "low priority cannot borrow at 60 of 100 requests in flight");
        assertTrue(
                quotas.hasCapacity(FIRST_TENANT, HIGH_PRIORITY_CLASS, 60, 100),
                "high priority can borrow at 60 of 100 requests in flight");
        assertFalse(quotas.hasCapacity(FIRST_TENANT, HIGH_PRIORITY_CLASS, 80, 100));
        assertTrue(
                quotas.hasCapacity(SECOND_TENANT, LOW_PRIORITY_CLASS, 120, 100),
                "a tenant below its quota has capacity above the limit");
        startRequests(quotas, SECOND_TENANT, 50);
        assertFalse(quotas.hasCapacity(SECOND_TENANT, LOW_PRIORITY_CLASS, 120, 100));
        quotas.requestCompleted(SECOND_TENANT);
        assertTrue(quotas.hasCapacity(SECOND_TENANT, LOW_PRIORITY_CLASS, 120, 100));
    }

    @Test
    void requestsBeyondRateOrInFlightLimitOfTenantExceedItsLimits() {
        List<TenantQuotas.TenantLimits> limits =
                List.of(new TenantQuotas.TenantLimits(10, 0), new TenantQuotas.TenantLimits(0, 2));
        TenantQuotas quotas = new TenantQuotas(TENANTS, limits, CLASSES);
        int admitted = 0;
        for (long nowMicros = MICROS_PER_SECOND;
                nowMicros < 11 * MICROS_PER_SECOND;
                nowMicros += 10_000) {
            admitted += quotas.exceedsLimit(nowMicros, FIRST_TENANT) ? 0 : 1;
        }
        assertTrue(
                admitted >= 100 && admitted <= 115,
                "requests admitted in ten seconds at a limit of ten per second: " + admitted);
        startRequests(quotas, SECOND_TENANT, 2);
        assertTrue(quotas.exceedsLimit(MICROS_PER_SECOND, SECOND_TENANT));
        quotas.requestCompleted(SECOND_TENANT);
        assertFalse(quotas.exceedsLimit(MICROS_PER_SECOND, SECOND_TENANT));
    }

    @Test
    void requestsOfUnknownTenantsCountTowardsFirstTenant() {
        TenantQuotas quotas = new TenantQuotas(TENANTS, List.of(), CLASSES);
        startRequests(quotas, -1, 30);
        startRequests(quotas, TENANTS.size(), 20);
        assertFalse(quotas.hasCapacity(FIRST_TENANT, LOW_PRIORITY_CLASS, 80, 100));
        assertTrue(quotas.hasCapacity(SECOND_TENANT, LOW_PRIORITY_CLASS, 80, 100));
    }

    @Test
    void withoutConfiguredTenantsOneTenantHasWholeLimit() {
        TenantQuotas quotas = new TenantQuotas(List.of(), List.of(), CLASSES);
        startRequests(quotas, FIRST_TENANT, 99);
        assertTrue(quotas.hasCapacity(FIRST_TENANT, LOW_PRIORITY_CLASS, 99, 100));
        startRequests(quotas, FIRST_TENANT, 1);
        assertFalse(quotas.hasCapacity(FIRST_TENANT, LOW_PRIORITY_CLASS, 100, 100));
    }
}
