package waytrestle.overload;

import java.util.List;
import waytrestle.scheduler.DeduplicationScope;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.SchedulerSettings.RequestClass;
import waytrestle.scheduler.SchedulerSettings.Tenant;

/**
 * Test settings: two tenants of equal quota and two request classes of different priority weight.
 */
final class OverloadFixture {
    static final long MICROS_PER_SECOND = 1_000_000;
    static final long LATENCY_OBJECTIVE_MICROS = MICROS_PER_SECOND;
    static final long DEADLINE_MICROS = 3 * MICROS_PER_SECOND;

    /** Index of a tenant in {@link #TENANTS}. */
    static final int FIRST_TENANT = 0;

    /** Index of a tenant in {@link #TENANTS}. */
    static final int SECOND_TENANT = 1;

    static final List<Tenant> TENANTS = List.of(new Tenant("a", 0.5, 0), new Tenant("b", 0.5, 0));

    /** Index of a request class in {@link #CLASSES}. */
    static final int LOW_PRIORITY_CLASS = 0;

    /** Index of a request class in {@link #CLASSES}. */
    static final int HIGH_PRIORITY_CLASS = 1;

    static final List<RequestClass> CLASSES =
            List.of(requestClass("low-priority", 1), requestClass("high-priority", 3));

    static final double RETRY_RATIO = 0.2;
    static final double MIN_RETRIES_PER_SECOND = 10;

    private static final int MIN_IN_FLIGHT = 16;
    private static final int MAX_IN_FLIGHT = 20_000;

    private OverloadFixture() {}

    private static RequestClass requestClass(String name, double priorityWeight) {
        return new RequestClass(
                name,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                LATENCY_OBJECTIVE_MICROS,
                0,
                DEADLINE_MICROS,
                priorityWeight,
                0.3,
                false);
    }

    static OverloadControl overloadControl() {
        OverloadControl.Settings settings =
                new OverloadControl.Settings(
                        true, MIN_IN_FLIGHT, RETRY_RATIO, MIN_RETRIES_PER_SECOND);
        return new OverloadControl(settings, MAX_IN_FLIGHT, TENANTS, List.of(), CLASSES);
    }

    static RetryBudget retryBudget() {
        return new RetryBudget(RETRY_RATIO, MIN_RETRIES_PER_SECOND);
    }
}
