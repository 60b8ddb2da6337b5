package waytrestle.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import waytrestle.requests.RequestOutcome.Reason;
import waytrestle.scheduler.DeduplicationScope;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.SchedulerSettings.RequestClass;
import waytrestle.scheduler.SchedulerSettings.Tenant;

/**
 * The overload modules: each by itself, and together against a fleet of servers in simulated time.
 */
class OverloadTest {
    private static final long SECOND = 1_000_000;
    private static final List<RequestClass> CLASSES =
            List.of(
                    new RequestClass(
                            "cheap",
                            Idempotency.IDEMPOTENT,
                            DeduplicationScope.ALL,
                            0,
                            SECOND,
                            0,
                            3 * SECOND,
                            1,
                            0.3,
                            false),
                    new RequestClass(
                            "dear",
                            Idempotency.IDEMPOTENT,
                            DeduplicationScope.ALL,
                            0,
                            SECOND,
                            0,
                            3 * SECOND,
                            3,
                            0.3,
                            false));
    private static final List<Tenant> TENANTS =
            List.of(new Tenant("a", 0.5, 0), new Tenant("b", 0.5, 0));

    /**
     * Servers with one line before them; what is offered passes the gate. A day in simulated
     * micros.
     */
    private static final class Fleet {
        final OverloadControl gate;
        final Random random = new Random(1);
        final PriorityQueue<long[]> events =
                new PriorityQueue<>((x, y) -> Long.compare(x[0], y[0]));
        final ArrayDeque<long[]> line = new ArrayDeque<>();
        final long[] offered = new long[2], good = new long[2];
        final List<long[]> limits = new ArrayList<>();
        int servers, busy;
        boolean retrying;
        long repeatsPassed, firstsPassed, marks;
        long now = SECOND;

        Fleet(int servers, OverloadControl gate) {
            this.servers = servers;
            this.gate = gate;
        }

        void offer(int tenant, int kind, long until, double perSecond) {
            for (double t = now;
                    t < until;
                    t += -Math.log(1 - random.nextDouble()) / perSecond * SECOND) {
                events.add(new long[] {(long) t, 0, tenant, kind, ++marks, 0});
            }
        }

        void run(long until) {
            while (!events.isEmpty() && events.peek()[0] <= until) {
                long[] e = events.poll();
                now = e[0];
                int tenant = (int) e[2];
                if (e[1] == 0) {
                    offered[tenant] += e[5] == 0 ? 1 : 0;
                    if (gate.rejectionReason(now, tenant, (int) e[3], retrying ? e[4] : 0)
                            == null) {
                        gate.requestStarted(now, tenant, (int) e[3]);
                        line.add(new long[] {now, tenant, e[3], e[4], e[5]});
                        repeatsPassed += e[5] > 0 ? 1 : 0;
                        firstsPassed += e[5] == 0 ? 1 : 0;
                    } else {
                        again(e);
                    }
                } else {
                    busy--;
                    long took = now - e[4];
                    gate.warmResponseServed(now, "f", took);
                    gate.requestCompleted(now, tenant, (int) e[3], 0, false, took > 3 * SECOND);
                    good[tenant] += took <= SECOND ? 1 : 0;
                }
                while (!line.isEmpty()
                        && line.peek()[0]
                                < now - 3 * SECOND) { // out of its time: refused, may come again
                    long[] late = line.poll();
                    gate.requestCompleted(now, (int) late[1], (int) late[2], late[3], true, false);
                    again(new long[] {now, 0, late[1], late[2], late[3], late[4]});
                }
                while (busy < servers && !line.isEmpty()) {
                    long[] next = line.poll();
                    busy++;
                    long work = (long) (80_000 * (0.5 + random.nextDouble()));
                    events.add(new long[] {now + work, 1, next[1], next[2], next[0]});
                }
                if (limits.isEmpty() || now - limits.get(limits.size() - 1)[0] > 100_000) {
                    limits.add(new long[] {now, gate.limit()});
                }
            }
            now = until;
        }

        /** Half of what was refused comes again after a fifth of a second, five times at most. */
        void again(long[] e) {
            if (retrying && e[5] < 5 && random.nextBoolean()) {
                events.add(new long[] {now + 200_000, 0, e[2], e[3], e[4], e[5] + 1});
            }
        }

        long limitAt(long when) {
            return limits.stream().filter(l -> l[0] <= when).reduce((x, y) -> y).orElseThrow()[1];
        }
    }

    private static OverloadControl gate() {
        return new OverloadControl(
                new OverloadControl.Settings(true, 16, 0.2, 10),
                20_000,
                TENANTS,
                List.of(),
                CLASSES);
    }

    @Test
    void oneTenantsFloodCostsTheOtherLittle() {
        double[] share = new double[2];
        for (int flooded = 0; flooded < 2; flooded++) {
            Fleet fleet = new Fleet(40, gate()); // 500 calls a second
            fleet.offer(0, 0, 60 * SECOND, flooded == 1 ? 5_000 : 150);
            fleet.offer(1, 0, 60 * SECOND, 150);
            fleet.run(64 * SECOND);
            share[flooded] = fleet.good[1] / (double) fleet.offered[1];
            assertTrue(
                    fleet.good[0] + fleet.good[1]
                            > (flooded == 1 ? 0.9 * 500 * 59 : 0.95 * 300 * 59),
                    "goodput " + (fleet.good[0] + fleet.good[1]));
        }
        assertTrue(
                share[1] > 0.95 * share[0],
                "b was served " + share[1] + " under the flood, " + share[0] + " without");
    }

    @Test
    void theLimitFollowsACapacityThatHalvesAndComesBack() {
        Fleet fleet = new Fleet(40, gate());
        fleet.offer(0, 0, 60 * SECOND, 450);
        fleet.run(20 * SECOND);
        long before = fleet.limitAt(20 * SECOND);
        fleet.servers = 20;
        fleet.run(40 * SECOND);
        long within =
                fleet.limits.stream()
                        .filter(l -> l[0] > 20 * SECOND && l[0] < 23 * SECOND)
                        .mapToLong(l -> l[1])
                        .min()
                        .orElseThrow();
        long settled = fleet.limitAt(40 * SECOND);
        assertTrue(
                within < 0.75 * Math.max(before, 100),
                "before " + before + ", within three seconds " + within);
        fleet.servers = 40;
        fleet.run(64 * SECOND);
        long good = fleet.good[0];
        fleet.offer(0, 0, 70 * SECOND, 450);
        fleet.run(74 * SECOND);
        assertTrue(
                fleet.good[0] - good > 0.9 * 450 * 6,
                "after its return all are served: "
                        + (fleet.good[0] - good)
                        + ", limit "
                        + settled
                        + " then "
                        + fleet.limitAt(70 * SECOND));
    }

    @Test
    void whatIsWorthLeastGivesWayFirstAndATenantBelowItsShareNever() {
        TenantQuotas shares = new TenantQuotas(TENANTS, List.of(), CLASSES);
        for (int i = 0; i < 60; i++) {
            shares.requestStarted(0);
        }
        assertFalse(shares.hasCapacity(0, 0, 60, 100), "the cheap one, beyond its share");
        assertTrue(shares.hasCapacity(0, 1, 60, 100), "the dear one still borrows");
        assertFalse(shares.hasCapacity(0, 1, 80, 100));
        assertTrue(shares.hasCapacity(1, 0, 120, 100), "the other is below its share");
        for (int i = 0; i < 50; i++) {
            shares.requestStarted(1);
        }
        assertFalse(shares.hasCapacity(1, 0, 120, 100));
        shares.requestCompleted(1);
        assertTrue(shares.hasCapacity(1, 0, 120, 100));
    }

    @Test
    void aTenantsOwnBoundsAreKept() {
        TenantQuotas shares =
                new TenantQuotas(
                        TENANTS,
                        List.of(new TenantQuotas.Limit(10, 0), new TenantQuotas.Limit(0, 2)),
                        CLASSES);
        int passed = 0;
        for (long now = SECOND; now < 11 * SECOND; now += 10_000) {
            passed += shares.exceedsLimit(now, 0) ? 0 : 1;
        }
        assertTrue(passed >= 100 && passed <= 115, "ten a second for ten seconds: " + passed);
        shares.requestStarted(1);
        shares.requestStarted(1);
        assertTrue(shares.exceedsLimit(SECOND, 1));
        shares.requestCompleted(1);
        assertFalse(shares.exceedsLimit(SECOND, 1));
    }

    @Test
    void repeatsAddTheirShareAndNoMore() {
        RetryBudget budget = new RetryBudget(0.2, 10);
        long now = SECOND;
        int taken = 0;
        for (int i = 0;
                i < 60_000;
                i++, now += 1_000) { // a minute of 1,000 first calls a second, each wants a repeat
            budget.deposit(now);
            taken += budget.tryWithdraw(now) ? 1 : 0;
        }
        assertTrue(
                taken <= 0.2 * 60_000 + 10 * 60 + 100 && taken >= 0.19 * 60_000,
                "repeats: " + taken);
        now += 30 * SECOND;
        int quiet = 0;
        while (budget.tryWithdraw(now)) {
            quiet++;
        }
        assertTrue(
                quiet >= 90 && quiet <= 110, "what is always there, ten seconds of it: " + quiet);
    }

    @Test
    void aRefusedCallThatComesAgainIsRecognisedForAWhile() {
        RetryBudget budget = new RetryBudget(0.2, 10);
        budget.rejected(SECOND, 77);
        assertTrue(budget.isRetry(2 * SECOND, 77));
        assertFalse(budget.isRetry(2 * SECOND, 78));
        assertFalse(budget.isRetry(2 * SECOND, 0));
        assertFalse(budget.isRetry(60 * SECOND, 77));
        for (int i = 100; i < 100_100; i++) {
            budget.rejected(2 * SECOND, i);
        }
        assertFalse(budget.isRetry(2 * SECOND, 100), "bounded");
    }

    /** Ten seconds without a server while clients come again and again; then all are back. */
    @Test
    void afterAnOutageServiceIsBackWithinFiveSecondsAndRepeatsStayWithinTheirBudget() {
        Fleet fleet = new Fleet(40, gate());
        fleet.retrying = true;
        fleet.offer(0, 0, 60 * SECOND, 200);
        fleet.offer(1, 0, 60 * SECOND, 150);
        fleet.run(20 * SECOND);
        fleet.servers = 0;
        fleet.run(30 * SECOND);
        fleet.servers = 40;
        fleet.run(35 * SECOND);
        long before = fleet.good[0] + fleet.good[1];
        fleet.run(45 * SECOND);
        double served = (fleet.good[0] + fleet.good[1] - before) / (350.0 * 10);
        assertTrue(served > 0.95, "served in time from five seconds after the outage: " + served);
        fleet.run(64 * SECOND);
        assertTrue(fleet.repeatsPassed > 0, "there were repeats");
        assertTrue(
                fleet.repeatsPassed <= 0.2 * fleet.marks + 10 * 60 + 100,
                fleet.repeatsPassed + " repeats passed for " + fleet.marks + " first calls");
    }

    /**
     * After an outage every client comes again: repeats stay within their budget and the fleet
     * recovers.
     */
    @Test
    void aStormOfRepeatsIsCutToItsBudget() {
        OverloadControl gate =
                new OverloadControl(
                        new OverloadControl.Settings(true, 16, 0.2, 10),
                        20_000,
                        TENANTS,
                        List.of(),
                        CLASSES);
        long now = SECOND;
        for (long mark = 1; mark <= 5_000; mark++) { // ten seconds of refusals
            gate.requestStarted(now, 0, 0);
            gate.requestCompleted(now, 0, 0, mark, true, false);
            now += 2_000;
        }
        int passed = 0;
        for (long mark = 1; mark <= 5_000; mark++) { // all come again within a second
            passed += gate.rejectionReason(now, 0, 0, mark) == null ? 1 : 0;
            now += 200;
        }
        assertTrue(passed > 0 && passed <= 120, "repeats let through: " + passed);
        assertEquals(Reason.RETRY_BUDGET_EXHAUSTED, gate.rejectionReason(now, 0, 0, 5));
        assertNull(gate.rejectionReason(now, 1, 0, 900_000), "first calls are not repeats");
    }

    @Test
    void bodiesWaitTheirTurnAndNoneIsDropped() {
        ByteBudget budget = new ByteBudget(1_000_000);
        assertTrue(budget.tryReserve(1, 800_000));
        assertFalse(budget.tryReserve(2, 200_000), "a tenth is kept for small ones");
        assertFalse(budget.tryReserve(3, 100_000), "in turn");
        assertTrue(budget.tryReserve(4, 16_000), "a small one passes");
        assertFalse(budget.isGrantable(950_000));
        List<Long> let = new ArrayList<>();
        budget.release(1, let::add);
        assertEquals(List.of(2L, 3L), let);
        budget.tryReserve(5, 800_000);
        budget.release(5, let::add);
        assertEquals(2, let.size(), "one that left while waiting lets nobody in");
        budget.reserve(2, 500_000);
        for (long id = 2; id <= 4; id++) {
            budget.release(id, let::add);
        }
        assertEquals(0, budget.used());
        assertEquals(0, budget.waiting());
    }

    @Test
    void connectionsAreBoundedInAllAndByNetwork() {
        ConnectionAdmission gate = new ConnectionAdmission(5, 2);
        assertNull(gate.tryAdmit("a", ConnectionAdmission.TrustLevel.ORDINARY));
        assertNull(gate.tryAdmit("a", ConnectionAdmission.TrustLevel.ORDINARY));
        assertEquals(
                ConnectionAdmission.Reason.NETWORK,
                gate.tryAdmit("a", ConnectionAdmission.TrustLevel.ORDINARY));
        assertNull(gate.tryAdmit("a", ConnectionAdmission.TrustLevel.TRUSTED));
        assertEquals(
                ConnectionAdmission.Reason.BARRED,
                gate.tryAdmit("b", ConnectionAdmission.TrustLevel.BARRED));
        assertNull(gate.tryAdmit("b", ConnectionAdmission.TrustLevel.ORDINARY));
        assertNull(gate.tryAdmit("c", ConnectionAdmission.TrustLevel.ORDINARY));
        assertEquals(
                ConnectionAdmission.Reason.TOTAL,
                gate.tryAdmit("d", ConnectionAdmission.TrustLevel.TRUSTED));
        gate.release("a");
        assertNull(gate.tryAdmit("d", ConnectionAdmission.TrustLevel.ORDINARY));
        assertEquals(5, gate.open());
    }
}
