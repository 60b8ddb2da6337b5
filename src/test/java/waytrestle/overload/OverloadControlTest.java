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

/** Overload control as a whole, alone and in front of a fleet of servers in simulated time. */
class OverloadControlTest {
    private static final int SERVERS = 40;

    /** What {@link #SERVERS} serve: their mean run time is 80 ms. */
    private static final int CAPACITY_PER_SECOND = 500;

    @Test
    void overloadByOneTenantCostsTheOtherLittle() {
        double fractionWithout = servedFractionOfSecondTenant(150, 0.95 * 300 * 59);
        double fractionUnder = servedFractionOfSecondTenant(5_000, 0.9 * CAPACITY_PER_SECOND * 59);
        assertTrue(
                fractionUnder > 0.95 * fractionWithout,
                "second tenant served "
                        + fractionUnder
                        + " under overload, "
                        + fractionWithout
                        + " without");
    }

    private static double servedFractionOfSecondTenant(
            double firstTenantPerSecond, double minServedInTime) {
        SimulatedFleet fleet = new SimulatedFleet(SERVERS, false);
        fleet.offer(FIRST_TENANT, 60 * MICROS_PER_SECOND, firstTenantPerSecond);
        fleet.offer(SECOND_TENANT, 60 * MICROS_PER_SECOND, 150);
        fleet.runUntil(64 * MICROS_PER_SECOND);
        assertTrue(
                fleet.servedWithinObjective() > minServedInTime,
                "served in time " + fleet.servedWithinObjective());
        return fleet.servedWithinObjective(SECOND_TENANT)
                / (double) fleet.arrivedFirstRequests(SECOND_TENANT);
    }

    @Test
    void limitFollowsCapacityThatHalvesAndComesBack() {
        SimulatedFleet fleet = new SimulatedFleet(SERVERS, false);
        fleet.offer(FIRST_TENANT, 60 * MICROS_PER_SECOND, 450);
        fleet.runUntil(20 * MICROS_PER_SECOND);
        int limitBefore = fleet.limitAt(20 * MICROS_PER_SECOND);
        fleet.setServers(SERVERS / 2);
        fleet.runUntil(40 * MICROS_PER_SECOND);
        int leastLimit =
                fleet.limitSamples().stream()
                        .filter(sample -> sample.atMicros() > 20 * MICROS_PER_SECOND)
                        .filter(sample -> sample.atMicros() < 23 * MICROS_PER_SECOND)
                        .mapToInt(SimulatedFleet.LimitSample::limit)
                        .min()
                        .orElseThrow();
        int limitAtHalf = fleet.limitAt(40 * MICROS_PER_SECOND);
        assertTrue(
                leastLimit < 0.75 * Math.max(limitBefore, 100),
                "limit before " + limitBefore + ", within three seconds " + leastLimit);
        fleet.setServers(SERVERS);
        fleet.runUntil(64 * MICROS_PER_SECOND);
        long servedBefore = fleet.servedWithinObjective(FIRST_TENANT);
        fleet.offer(FIRST_TENANT, 70 * MICROS_PER_SECOND, 450);
        fleet.runUntil(74 * MICROS_PER_SECOND);
        long served = fleet.servedWithinObjective(FIRST_TENANT) - servedBefore;
        assertTrue(
                served > 0.9 * 450 * 6,
                "served after capacity came back: "
                        + served
                        + ", limit "
                        + limitAtHalf
                        + " then "
                        + fleet.limitAt(70 * MICROS_PER_SECOND));
    }

    /** Ten seconds without a server while clients retry; then all servers are back. */
    @Test
    void serviceRecoversWithinFiveSecondsOfAnOutageAndRetriesStayWithinTheirBudget() {
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
                "served in time from five seconds after the outage: " + servedFraction);
        fleet.runUntil(64 * MICROS_PER_SECOND);
        assertTrue(fleet.admittedRetries() > 0, "there were retries");
        assertTrue(
                fleet.admittedRetries() <= 0.2 * fleet.firstRequests() + 10 * 60 + 100,
                fleet.admittedRetries()
                        + " retries for "
                        + fleet.firstRequests()
                        + " first requests");
    }

    /** After ten seconds of rejections every client retries within one second. */
    @Test
    void retryStormIsCutToTheRetryBudget() {
        OverloadControl overloadControl = OverloadFixture.overloadControl();
        long now = MICROS_PER_SECOND;
        for (long fingerprint = 1; fingerprint <= 5_000; fingerprint++) {
            overloadControl.requestStarted(now, FIRST_TENANT, LOW_PRIORITY_CLASS);
            overloadControl.requestCompleted(
                    now, FIRST_TENANT, LOW_PRIORITY_CLASS, fingerprint, true, false);
            now += 2_000;
        }
        int admitted = 0;
        for (long fingerprint = 1; fingerprint <= 5_000; fingerprint++) {
            Reason reason =
                    overloadControl.rejectionReason(
                            now, FIRST_TENANT, LOW_PRIORITY_CLASS, fingerprint);
            admitted += reason == null ? 1 : 0;
            now += 200;
        }
        assertTrue(admitted > 0 && admitted <= 120, "retries admitted: " + admitted);
        assertEquals(
                Reason.RETRY_BUDGET_EXHAUSTED,
                overloadControl.rejectionReason(now, FIRST_TENANT, LOW_PRIORITY_CLASS, 5));
        assertNull(
                overloadControl.rejectionReason(now, SECOND_TENANT, LOW_PRIORITY_CLASS, 900_000),
                "a first request is no retry");
    }
}
