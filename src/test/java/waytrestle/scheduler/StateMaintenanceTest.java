package waytrestle.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.scheduler.SchedulerFixture.onlyCommand;
import static waytrestle.scheduler.SchedulerFixture.readyInvoker;

import org.junit.jupiter.api.Test;
import waytrestle.scheduler.SchedulerCommand.PreloadFunction;
import waytrestle.scheduler.SchedulerEvent.RequestReceived;
import waytrestle.scheduler.SchedulerEvent.TimerExpired;

/** Periodic maintenance: renewal of keep-alives, and how its run time grows. */
class StateMaintenanceTest {
    @Test
    void instanceOfAFunctionInUseIsPreloadedAgainBeforeItsKeepAliveExpires() {
        SchedulerFixture scheduler =
                new SchedulerFixture().start(readyInvoker("a"), readyInvoker("b"));
        String warmInvoker = scheduler.serveWarm(1, "f");
        scheduler.request(2, "f");
        scheduler.completeAttempt(2, 0, warmInvoker, ResponseCode.OK, StartKind.WARM, 100_000);
        scheduler.now += 8_000_000;
        PreloadFunction preload =
                onlyCommand(
                        scheduler.feed(new TimerExpired(new SchedulerTimer.Maintenance())),
                        PreloadFunction.class);
        assertEquals(new PreloadFunction(warmInvoker, "f", 1), preload);
    }

    @Test
    void maintenanceTimeDoesNotGrowWithInvokersWhenKnownInstancesStayEqual() {
        long fewInvokersNanos = quickestMaintenanceNanos(10);
        long manyInvokersNanos = quickestMaintenanceNanos(100);
        assertTrue(
                manyInvokersNanos < 4 * fewInvokersNanos,
                "nanoseconds with 10 and with 100 invokers, equal instances: "
                        + fewInvokersNanos
                        + " and "
                        + manyInvokersNanos);
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
        long quickestNanos = Long.MAX_VALUE;
        for (int i = 0; i < 300; i++) {
            long start = System.nanoTime();
            scheduler.feed(new TimerExpired(new SchedulerTimer.Maintenance()));
            quickestNanos = Math.min(quickestNanos, System.nanoTime() - start);
        }
        return quickestNanos;
    }
}
