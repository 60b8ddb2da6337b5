package waytrestle.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.scheduler.SchedulerFixture.allOf;
import static waytrestle.scheduler.SchedulerFixture.onlyOne;
import static waytrestle.scheduler.SchedulerFixture.ready;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;

/** Which invoker a request goes to. */
class InvokerSelectorTest {
    @Test
    void staysWithTheWarmInvokerThoughAnotherRanksHigher() {
        SchedulerFixture scheduler =
                new SchedulerFixture().start(ready("a"), ready("b"), ready("c"));
        for (int i = 100; i < 120; i++) {
            scheduler.warm(i, "g" + i);
        }
        String first = onlyOne(scheduler.request(1, "f"), ForwardAttempt.class).invoker();
        String second =
                onlyOne(
                                scheduler.completed(
                                        1, 0, first, ResponseCode.FULL, StartKind.UNKNOWN, 1_000),
                                ForwardAttempt.class)
                        .invoker();
        scheduler.completed(1, 1, second, ResponseCode.OK, StartKind.WARM, 100_000);
        scheduler.now += 5_000_000;
        assertEquals(second, onlyOne(scheduler.request(2, "f"), ForwardAttempt.class).invoker());
        scheduler.completed(2, 0, second, ResponseCode.OK, StartKind.WARM, 100_000);
        scheduler.now += 10_100_000;
        assertEquals(
                first,
                onlyOne(scheduler.request(3, "f"), ForwardAttempt.class).invoker(),
                "an unused instance expires");
    }

    @Test
    void aQueueBeyondTheConcurrencyOfAnInstanceSpreadsTheFunction() {
        SchedulerFixture scheduler = new SchedulerFixture().start(ready("a"), ready("b"));
        String first = null;
        boolean spread = false;
        for (long id = 1; id <= 14; id++) {
            String to =
                    onlyOne(scheduler.request(id, "f", 5_000_000, 300_000), ForwardAttempt.class)
                            .invoker();
            first = first == null ? to : first;
            spread |= !to.equals(first);
        }
        assertTrue(spread, "a long queue costs more than a load elsewhere");
    }

    @Test
    void controllersChooseTheSameColdInvoker() {
        for (int f = 0; f < 20; f++) {
            SchedulerFixture one = new SchedulerFixture().start(ready("a"), ready("b"), ready("c"));
            SchedulerFixture two = new SchedulerFixture().start(ready("c"), ready("a"), ready("b"));
            assertEquals(
                    onlyOne(one.request(1, "f" + f), ForwardAttempt.class).invoker(),
                    onlyOne(two.request(9, "f" + f), ForwardAttempt.class).invoker());
        }
    }

    @Test
    void controllersPlaceABusyFunctionAtDifferentInvokers() {
        Set<String> hot = new TreeSet<>();
        Set<String> rare = new TreeSet<>();
        InvokerEndpoint[] fleet = new InvokerEndpoint[20];
        for (int i = 0; i < fleet.length; i++) {
            fleet[i] = ready("w" + i);
        }
        for (int seed = 0; seed < 30; seed++) {
            SchedulerFixture scheduler = new SchedulerFixture();
            scheduler.start(fleet);
            scheduler.scheduler = new FinishTimeScheduler(scheduler.settings(), seed);
            scheduler.feed(new EndpointsUpdated(true, true, List.of(fleet)));
            for (int i = 1; i <= 40; i++) {
                String function = i % 2 == 0 ? "hot" : "other" + i;
                for (ForwardAttempt attempt :
                        allOf(scheduler.request(i, function), ForwardAttempt.class)) {
                    scheduler.completed(
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
