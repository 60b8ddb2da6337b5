package waytrestle.scheduler;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.scheduler.SchedulerFixture.commandsOfType;
import static waytrestle.scheduler.SchedulerFixture.readyInvoker;

import java.util.List;
import org.junit.jupiter.api.Test;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;
import waytrestle.scheduler.SchedulerEvent.TimerExpired;

/** What a just started invoker is sent. */
class SlowStartBudgetTest {
    @Test
    void controllersTogetherStayWithinTheSlowStartBudgetOfAnInvoker() {
        int most = 0;
        int all = 0;
        int[] windows = new int[40];
        for (int index = 0; index < 150; index++) {
            SchedulerFixture scheduler = new SchedulerFixture();
            scheduler.controllerCount = 150;
            scheduler.start(
                    readyInvoker("warm"),
                    new InvokerEndpoint("new", 0, 0, 0, EndpointState.READY, 1, scheduler.now));
            scheduler.scheduler = new FinishTimeScheduler(scheduler.settings(), 1_000 + index);
            scheduler.feed(
                    new EndpointsUpdated(
                            true,
                            true,
                            List.of(
                                    readyInvoker("warm"),
                                    new InvokerEndpoint(
                                            "new",
                                            0,
                                            0,
                                            0,
                                            EndpointState.READY,
                                            1,
                                            scheduler.now))));
            long start = scheduler.now;
            for (int i = 1; i < 200; i++) {
                scheduler.now = start + i * 25_000L;
                scheduler.feed(new TimerExpired(new SchedulerTimer.Maintenance()));
                for (ForwardAttempt attempt :
                        commandsOfType(scheduler.request(i, "f" + i), ForwardAttempt.class)) {
                    boolean warming = attempt.invoker().equals("new");
                    all++;
                    windows[(int) ((scheduler.now - start) / 250_000)] += warming ? 1 : 0;
                    // The warm invoker serves each controller once a second, whatever it is sent.
                    scheduler.completeAttempt(
                            i,
                            0,
                            attempt.invoker(),
                            i % 40 == 0 && !warming ? ResponseCode.OK : ResponseCode.FULL,
                            StartKind.WARM,
                            1_000);
                }
            }
        }
        for (int from = 0; from + 8 <= windows.length; from++) {
            int sum = 0;
            for (int w = from; w < from + 8; w++) {
                sum += windows[w];
            }
            most = Math.max(most, sum);
        }
        // Together they see 150 served a second by a warm invoker: 2 x 0.62 x 150 x 2 s at the very
        // most.
        assertTrue(
                most > 0 && most < 2 * 0.62 * 150 * 2, "sent within 2 s: " + most + " of " + all);
    }
}
