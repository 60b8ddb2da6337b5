package waytrestle.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** The invoker selector against a plain reference, and what one decision costs it. */
class InvokerSelectorEquivalenceTest {
    private static final int LARGE_FLEET = 3_200;

    @Property(tries = 4_000, seed = "59")
    void selectorChoosesWhatThePlainReferenceChooses(@ForAll long seed) {
        DrawnSelection plain = new DrawnSelection(seed);
        DrawnSelection drawn = new DrawnSelection(seed);
        InvokerState expected = plain.plainSelector().lowestCostInvoker(plain.request);
        InvokerState chosen = drawn.selector().lowestCostInvoker(drawn.request);
        assertEquals(idOf(expected), idOf(chosen), "lowest cost");
        InvokerState expectedCold = plain.plainSelector().uncongestedColdInvoker(plain.request);
        InvokerState cold = drawn.selector().uncongestedColdInvoker(drawn.request);
        assertEquals(idOf(expectedCold), idOf(cold), "uncongested cold invoker");
        assertEquals(
                plain.state.random.nextLong(),
                drawn.state.random.nextLong(),
                "both have drawn equally often from the scheduler's random numbers");
    }

    @Test
    void drawnStatesHaveAChoiceOfEachKind() {
        int none = 0;
        int warm = 0;
        int cold = 0;
        for (long seed = 0; seed < 1_000; seed++) {
            DrawnSelection drawn = new DrawnSelection(seed);
            InvokerState chosen = drawn.selector().lowestCostInvoker(drawn.request);
            boolean isWarm =
                    chosen != null
                            && drawn.state.instanceAt(chosen, drawn.request.function) != null;
            none += chosen == null ? 1 : 0;
            warm += isWarm ? 1 : 0;
            cold += chosen != null && !isWarm ? 1 : 0;
        }
        String counts = "none " + none + ", warm " + warm + ", cold " + cold;
        assertTrue(none >= 50 && warm >= 100 && cold >= 100, counts);
    }

    /**
     * Guards against a decision whose cost grows with the square of the number of invokers: in a
     * fleet of 3,200 two controllers on a core left hundreds of requests without an answer.
     */
    @Test
    void decisionForAPopularFunctionExaminesEachInvokerOnce() {
        SchedulerFixture fixture = new SchedulerFixture();
        SchedulerState state = new SchedulerState(fixture.settings(), /* seed= */ 7);
        state.now = fixture.now;
        for (int i = 0; i < LARGE_FLEET; i++) {
            InvokerState invoker = state.invokers.findOrAdd("w" + i);
            invoker.endpoint = SchedulerFixture.readyInvoker(invoker.id);
            invoker.ready = true;
        }
        FunctionState popular = new FunctionState("f", /* placement= */ 0.9, 10_000_000);
        popular.recentRequests.add(300, state.now);
        state.recentRequests.add(1_000, state.now);
        FinishTimeEstimate estimate = new FinishTimeEstimate(state);
        InvokerSelector selector =
                new InvokerSelector(
                        state,
                        estimate,
                        new InvokerBackoff(state),
                        new ReadinessLeases(state),
                        new SlowStartBudget(state, estimate),
                        new RetryRules(state));
        RequestState request =
                new RequestState(
                        1, state.settings.classes().get(0), 0, popular, state.now, 3_000_000);
        selector.lowestCostInvoker(request);
        assertEquals(LARGE_FLEET, state.examinedInvokers);
    }

    @Property(tries = 500, seed = "59")
    void orderStatisticIsTheValueAtThePositionOfTheSortedValues(@ForAll long[] values) {
        long[] sorted = values.clone();
        Arrays.sort(sorted);
        for (int position = 0; position < values.length; position++) {
            long expected = sorted[values.length - 1 - position];
            long actual = OrderStatistic.nthHighest(values.clone(), values.length, position);
            assertEquals(expected, actual, "position " + position);
        }
    }

    private static String idOf(InvokerState invoker) {
        return invoker == null ? "none" : invoker.id;
    }
}
