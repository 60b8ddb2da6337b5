package waytrestle.scheduler;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.scheduler.SchedulerFixture.commandsOfType;
import static waytrestle.scheduler.SchedulerFixture.readyInvoker;

import java.util.List;
import org.junit.jupiter.api.Test;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;
import waytrestle.scheduler.SchedulerEvent.TimerExpired;

/** How many requests a just started invoker is sent. */
class SlowStartBudgetTest {
    @Test
    void controllersTogetherStayWithinTheSlowStartBudgetOfAnInvoker() {
        int mostPerWindow = 0;
        int sentInTotal = 0;
        int[] sentPerQuarterSecond = new int[40];
        for (int controller = 0; controller < 150; controller++) {
            SchedulerFixture scheduler = new SchedulerFixture();
            scheduler.controllerCount = 150;
            scheduler.start(
                    readyInvoker("warm"),
                    new InvokerEndpoint("new", 0, 0, 0, EndpointState.READY, 1, scheduler.now));
            scheduler.scheduler = new FinishTimeScheduler(scheduler.settings(), 1_000 + controller);
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
                    boolean toNewInvoker = attempt.invoker().equals("new");
                    sentInTotal++;
                    sentPerQuarterSecond[(int) ((scheduler.now - start) / 250_000)] +=
                            toNewInvoker ? 1 : 0;
                    // The warm invoker serves one request a second of each controller, the others
                    // are
                    // full responses.
                    scheduler.completeAttempt(
                            i,
                            0,
                            attempt.invoker(),
                            i % 40 == 0 && !toNewInvoker ? ResponseCode.OK : ResponseCode.FULL,
                            StartKind.WARM,
                            1_000);
                }
            }
        }
        for (int from = 0; from + 8 <= sentPerQuarterSecond.length; from++) {
            int sentInWindow = 0;
            for (int w = from; w < from + 8; w++) {
                sentInWindow += sentPerQuarterSecond[w];
            }
            mostPerWindow = Math.max(mostPerWindow, sentInWindow);
        }
        // The warm invoker serves 150 requests a second for all controllers. The budget is at most
        // the overload multiple 2, times the slow-start share 0.62 after 5 s, times 150/s, times
        // the
        // window of 2 s.
        assertTrue(
                mostPerWindow > 0 && mostPerWindow < 2 * 0.62 * 150 * 2,
                "attempts sent to the new invoker within 2 s (limit 371): "
                        + mostPerWindow
                        + " of "
                        + sentInTotal);
    }
}
