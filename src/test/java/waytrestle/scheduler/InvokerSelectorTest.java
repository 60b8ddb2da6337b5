package waytrestle.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.scheduler.SchedulerFixture.commandsOfType;
import static waytrestle.scheduler.SchedulerFixture.onlyCommand;
import static waytrestle.scheduler.SchedulerFixture.readyInvoker;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;

/** Which invoker a request goes to. */
class InvokerSelectorTest {
    @Test
    void warmInvokerIsPreferredToAHigherRankedColdOneUntilItsInstanceExpires() {
        SchedulerFixture scheduler =
                new SchedulerFixture().start(readyInvoker("a"), readyInvoker("b"), readyInvoker("c"));
        for (int i = 100; i < 120; i++) {
            scheduler.serveWarm(i, "g" + i);
        }
        String first = onlyCommand(scheduler.request(1, "f"), ForwardAttempt.class).invoker();
        String second =
                onlyCommand(
                                scheduler.completeAttempt(
                                        1, 0, first, ResponseCode.FULL, StartKind.UNKNOWN, 1_000),
                                ForwardAttempt.class)
                        .invoker();
        scheduler.completeAttempt(1, 1, second, ResponseCode.OK, StartKind.WARM, 100_000);
        scheduler.now += 5_000_000;
        assertEquals(second, onlyCommand(scheduler.request(2, "f"), ForwardAttempt.class).invoker());
        scheduler.completeAttempt(2, 0, second, ResponseCode.OK, StartKind.WARM, 100_000);
        scheduler.now += 10_100_000;
        assertEquals(
                first,
                onlyCommand(scheduler.request(3, "f"), ForwardAttempt.class).invoker(),
                "an unused instance expires");
    }

    @Test
    void requestsBeyondTheConcurrencyOfAnInstanceGoToAnotherInvoker() {
        SchedulerFixture scheduler = new SchedulerFixture().start(readyInvoker("a"), readyInvoker("b"));
        String first = null;
        boolean spread = false;
        for (long id = 1; id <= 14; id++) {
            String to =
                    onlyCommand(scheduler.request(id, "f", 5_000_000, 300_000), ForwardAttempt.class)
                            .invoker();
            first = first == null ? to : first;
            spread |= !to.equals(first);
        }
        assertTrue(spread, "a long queue costs more than a load elsewhere");
    }

    @Test
    void controllersWithDifferentListOrdersChooseTheSameColdInvoker() {
        for (int f = 0; f < 20; f++) {
            SchedulerFixture one = new SchedulerFixture().start(readyInvoker("a"), readyInvoker("b"), readyInvoker("c"));
            SchedulerFixture two = new SchedulerFixture().start(readyInvoker("c"), readyInvoker("a"), readyInvoker("b"));
            assertEquals(
                    onlyCommand(one.request(1, "f" + f), ForwardAttempt.class).invoker(),
                    onlyCommand(two.request(9, "f" + f), ForwardAttempt.class).invoker());
        }
    }

    @Test
    void controllersSpreadABusyFunctionButNotARareOne() {
        Set<String> hot = new TreeSet<>();
        Set<String> rare = new TreeSet<>();
        InvokerEndpoint[] fleet = new InvokerEndpoint[20];
        for (int i = 0; i < fleet.length; i++) {
            fleet[i] = readyInvoker("w" + i);
        }
        for (int seed = 0; seed < 30; seed++) {
            SchedulerFixture scheduler = new SchedulerFixture();
            scheduler.start(fleet);
            scheduler.scheduler = new FinishTimeScheduler(scheduler.settings(), seed);
            scheduler.feed(new EndpointsUpdated(true, true, List.of(fleet)));
            for (int i = 1; i <= 40; i++) {
                String function = i % 2 == 0 ? "hot" : "other" + i;
                for (ForwardAttempt attempt :
                        commandsOfType(scheduler.request(i, function), ForwardAttempt.class)) {
                    scheduler.completeAttempt(
                            i,
                            0,
                            attempt.invoker(),
                            ResponseCode.ERROR,
                            StartKind.LOAD_FAILED,
                            1_000);
                    if (i > 20) {
                        (i % 2 == 0 ? hot : rare)
                                .add((i % 2 == 0 ? "" : function + " ") + attempt.invoker());
                    }
                }
            }
        }
        assertTrue(hot.size() >= 5, "half of all requests need several invokers: " + hot);
        assertEquals(10, rare.size(), "a rare function has one invoker: " + rare);
    }
}
