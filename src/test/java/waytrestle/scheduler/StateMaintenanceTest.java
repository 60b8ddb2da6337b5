package waytrestle.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.scheduler.SchedulerFixture.onlyCommand;
import static waytrestle.scheduler.SchedulerFixture.readyInvoker;

import org.junit.jupiter.api.Test;
import waytrestle.scheduler.SchedulerCommand.PreloadFunction;
import waytrestle.scheduler.SchedulerEvent.RequestReceived;
import waytrestle.scheduler.SchedulerEvent.TimerExpired;

/** Periodic maintenance: keep-alive renewal and its cost. */
class StateMaintenanceTest {
    @Test
    void instanceOfAFunctionInUseIsPreloadedAgainBeforeItsKeepAliveExpires() {
        SchedulerFixture scheduler = new SchedulerFixture().start(readyInvoker("a"), readyInvoker("b"));
        String known = scheduler.serveWarm(1, "f");
        scheduler.request(2, "f");
        scheduler.completeAttempt(2, 0, known, ResponseCode.OK, StartKind.WARM, 100_000);
        scheduler.now += 8_000_000;
        PreloadFunction preload =
                onlyCommand(
                        scheduler.feed(new TimerExpired(new SchedulerTimer.Maintenance())),
                        PreloadFunction.class);
        assertEquals(new PreloadFunction(known, "f", 1), preload);
    }

    @Test
    void maintenanceTimeDoesNotGrowWithInvokersWhenKnownInstancesStayEqual() {
        long few = quickestMaintenanceNanos(10);
        long many = quickestMaintenanceNanos(100);
        assertTrue(
                many < 4 * few,
                "ten times the invokers, the same instances: " + few + " and " + many + " ns");
    }

    private static long quickestMaintenanceNanos(int invokers) {
        SchedulerFixture scheduler = new SchedulerFixture();
        InvokerEndpoint[] fleet = new InvokerEndpoint[invokers];
        for (int i = 0; i < invokers; i++) {
            fleet[i] = readyInvoker("w" + i);
        }
        scheduler.start(fleet);
        for (int i = 1; i <= 3_000; i++) {
            scheduler.feed(
                    new RequestReceived(
                            i, 0, -1, "f" + i % 1_500, 3_000_000, 0, 300, 2, 0, false, false));
        }
        long quickest = Long.MAX_VALUE;
        for (int i = 0; i < 300; i++) {
            long start = System.nanoTime();
            scheduler.feed(new TimerExpired(new SchedulerTimer.Maintenance()));
            quickest = Math.min(quickest, System.nanoTime() - start);
        }
        return quickest;
    }
}
