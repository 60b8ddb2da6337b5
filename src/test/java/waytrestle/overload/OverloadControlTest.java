package waytrestle.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.overload.OverloadFixture.FIRST_TENANT;
import static waytrestle.overload.OverloadFixture.LOW_PRIORITY_CLASS;
import static waytrestle.overload.OverloadFixture.MICROS_PER_SECOND;
import static waytrestle.overload.OverloadFixture.SECOND_TENANT;

import org.junit.jupiter.api.Test;
import waytrestle.requests.RequestOutcome.Reason;

/** Tests all overload checks together, alone and in front of a fleet of simulated servers. */
class OverloadControlTest {
    private static final int SERVERS = 40;

    /** Requests per second that {@link #SERVERS} serve at the mean run time of 80 ms. */
    private static final int CAPACITY_PER_SECOND = 500;

    @Test
    void secondTenantKeeps95PercentOfItsServedFractionWhileFirstTenantOverloads() {
        double fractionWithoutOverload = servedFractionOfSecondTenant(150, 0.95 * 300 * 59);
        double fractionWithOverload =
                servedFractionOfSecondTenant(5_000, 0.9 * CAPACITY_PER_SECOND * 59);
        assertTrue(
                fractionWithOverload > 0.95 * fractionWithoutOverload,
                "fraction of the second tenant's requests served within the objective: "
                        + fractionWithOverload
                        + " with overload, "
                        + fractionWithoutOverload
                        + " without overload");
    }

    /** Returns the fraction of the second tenant's requests served within the latency objective. */
    private static double servedFractionOfSecondTenant(
            double firstTenantPerSecond, double minServedWithinObjective) {
        SimulatedFleet fleet = new SimulatedFleet(SERVERS, false);
        fleet.offer(FIRST_TENANT, 60 * MICROS_PER_SECOND, firstTenantPerSecond);
        fleet.offer(SECOND_TENANT, 60 * MICROS_PER_SECOND, 150);
        fleet.runUntil(64 * MICROS_PER_SECOND);
        assertTrue(
                fleet.servedWithinObjective() > minServedWithinObjective,
                "requests served within the objective: " + fleet.servedWithinObjective());
        return fleet.servedWithinObjective(SECOND_TENANT)
                / (double) fleet.arrivedFirstRequests(SECOND_TENANT);
    }

    @Test
    void limitFallsWhenServersHalveAndServiceRecoversWhenTheyReturn() {
        SimulatedFleet fleet = new SimulatedFleet(SERVERS, false);
        fleet.offer(FIRST_TENANT, 60 * MICROS_PER_SECOND, 450);
        fleet.runUntil(20 * MICROS_PER_SECOND);
        int limitBefore = fleet.limitAt(20 * MICROS_PER_SECOND);
        fleet.setServers(SERVERS / 2);
        fleet.runUntil(40 * MICROS_PER_SECOND);
        int minLimit =
                fleet.limitSamples().stream()
                        .filter(sample -> sample.atMicros() > 20 * MICROS_PER_SECOND)
                        .filter(sample -> sample.atMicros() < 23 * MICROS_PER_SECOND)
                        .mapToInt(SimulatedFleet.LimitSample::limit)
                        .min()
                        .orElseThrow();
        int limitAtHalf = fleet.limitAt(40 * MICROS_PER_SECOND);
        assertTrue(
                minLimit < 0.75 * Math.max(limitBefore, 100),
                "limit before servers halved: "
                        + limitBefore
                        + ", minimum within three seconds: "
                        + minLimit);
        fleet.setServers(SERVERS);
        fleet.runUntil(64 * MICROS_PER_SECOND);
        long servedBefore = fleet.servedWithinObjective(FIRST_TENANT);
        fleet.offer(FIRST_TENANT, 70 * MICROS_PER_SECOND, 450);
        fleet.runUntil(74 * MICROS_PER_SECOND);
        long served = fleet.servedWithinObjective(FIRST_TENANT) - servedBefore;
        assertTrue(
                served > 0.9 * 450 * 6,
                "requests served within the objective after all servers returned: "
                        + served
                        + ", limit with half of the servers: "
                        + limitAtHalf
                        + ", at the end: "
                        + fleet.limitAt(70 * MICROS_PER_SECOND));
    }

    /**
     * Guards against a retry storm that outlasts an outage: no server for ten seconds, then all.
     */
    @Test
    void serviceRecoversFiveSecondsAfterOutageAndRetriesStayWithinBudget() {
        SimulatedFleet fleet = new SimulatedFleet(SERVERS, true);
        fleet.offer(FIRST_TENANT, 60 * MICROS_PER_SECOND, 200);
        fleet.offer(SECOND_TENANT, 60 * MICROS_PER_SECOND, 150);
        fleet.runUntil(20 * MICROS_PER_SECOND);
        fleet.setServers(0);
        fleet.runUntil(30 * MICROS_PER_SECOND);
        fleet.setServers(SERVERS);
        fleet.runUntil(35 * MICROS_PER_SECOND);
        long servedBefore = fleet.servedWithinObjective();
        fleet.runUntil(45 * MICROS_PER_SECOND);
        double servedFraction = (fleet.servedWithinObjective() - servedBefore) / (350.0 * 10);
        assertTrue(
                servedFraction > 0.95,
                "fraction served within the objective from five seconds after the outage: "
                        + servedFraction);
        fleet.runUntil(64 * MICROS_PER_SECOND);
        assertTrue(fleet.admittedRetries() > 0, "at least one retry is admitted");
        assertTrue(
                fleet.admittedRetries() <= 0.2 * fleet.firstRequests() + 10 * 60 + 100,
                fleet.admittedRetries()
                        + " admitted retries for "
                        + fleet.firstRequests()
                        + " first requests");
    }

    /** 5,000 requests are rejected over ten seconds; each client then retries within one second. */
    @Test
    void retryStormAfterRejectionsIsLimitedToRetryBudget() {
        OverloadControl overloadControl = OverloadFixture.overloadControl();
        long nowMicros = MICROS_PER_SECOND;
        for (long fingerprint = 1; fingerprint <= 5_000; fingerprint++) {
            overloadControl.requestStarted(nowMicros, FIRST_TENANT, LOW_PRIORITY_CLASS);
            overloadControl.requestCompleted(
                    nowMicros, FIRST_TENANT, LOW_PRIORITY_CLASS, fingerprint, true, false);
            nowMicros += 2_000;
        }
        int admittedRetries = 0;
        for (long fingerprint = 1; fingerprint <= 5_000; fingerprint++) {
            Reason reason =
                    overloadControl.rejectionReason(
                            nowMicros, FIRST_TENANT, LOW_PRIORITY_CLASS, fingerprint);
            admittedRetries += reason == null ? 1 : 0;
            nowMicros += 200;
        }
        assertTrue(
                admittedRetries > 0 && admittedRetries <= 120,
                "admitted retries: " + admittedRetries);
        assertEquals(
                Reason.RETRY_BUDGET_EXHAUSTED,
                overloadControl.rejectionReason(nowMicros, FIRST_TENANT, LOW_PRIORITY_CLASS, 5));
        assertNull(
                overloadControl.rejectionReason(
                        nowMicros, SECOND_TENANT, LOW_PRIORITY_CLASS, 900_000),
                "a first request needs no retry budget");
    }
}
