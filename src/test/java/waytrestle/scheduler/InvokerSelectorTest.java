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

/** Which invoker a request is sent to. */
class InvokerSelectorTest {
    @Test
    void warmInvokerIsPreferredToAHigherRankedColdOneUntilItsInstanceExpires() {
        SchedulerFixture scheduler =
                new SchedulerFixture()
                        .start(readyInvoker("a"), readyInvoker("b"), readyInvoker("c"));
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
        assertEquals(
                second, onlyCommand(scheduler.request(2, "f"), ForwardAttempt.class).invoker());
        scheduler.completeAttempt(2, 0, second, ResponseCode.OK, StartKind.WARM, 100_000);
        scheduler.now += 10_100_000;
        assertEquals(
                first,
                onlyCommand(scheduler.request(3, "f"), ForwardAttempt.class).invoker(),
                "the instance expires 10 s after its last use");
    }

    @Test
    void requestsBeyondTheConcurrencyOfAnInstanceGoToAnotherInvoker() {
        SchedulerFixture scheduler =
                new SchedulerFixture().start(readyInvoker("a"), readyInvoker("b"));
        String first = null;
        boolean usesSecondInvoker = false;
        for (long id = 1; id <= 14; id++) {
            String target =
                    onlyCommand(
                                    scheduler.request(id, "f", 5_000_000, 300_000),
                                    ForwardAttempt.class)
                            .invoker();
            first = first == null ? target : first;
            usesSecondInvoker |= !target.equals(first);
        }
        assertTrue(usesSecondInvoker, "a long queue costs more than a load at another invoker");
    }

    @Test
    void controllersWithDifferentListOrdersChooseTheSameColdInvoker() {
        for (int f = 0; f < 20; f++) {
            SchedulerFixture first =
                    new SchedulerFixture()
                            .start(readyInvoker("a"), readyInvoker("b"), readyInvoker("c"));
            SchedulerFixture second =
                    new SchedulerFixture()
                            .start(readyInvoker("c"), readyInvoker("a"), readyInvoker("b"));
            assertEquals(
                    onlyCommand(first.request(1, "f" + f), ForwardAttempt.class).invoker(),
                    onlyCommand(second.request(9, "f" + f), ForwardAttempt.class).invoker());
        }
    }

    @Test
    void controllersSpreadABusyFunctionButNotARareOne() {
        Set<String> busyInvokers = new TreeSet<>();
        Set<String> rareInvokers = new TreeSet<>();
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
                        (i % 2 == 0 ? busyInvokers : rareInvokers)
                                .add((i % 2 == 0 ? "" : function + " ") + attempt.invoker());
                    }
                }
            }
        }
        assertTrue(
                busyInvokers.size() >= 5,
                "a function with half of all requests uses at least 5 invokers: " + busyInvokers);
        assertEquals(
                10,
                rareInvokers.size(),
                "each of the 10 rare functions uses one invoker: " + rareInvokers);
    }
}
