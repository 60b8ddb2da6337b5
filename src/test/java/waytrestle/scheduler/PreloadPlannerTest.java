package waytrestle.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.scheduler.SchedulerFixture.allOf;
import static waytrestle.scheduler.SchedulerFixture.onlyOne;
import static waytrestle.scheduler.SchedulerFixture.ready;

import java.util.List;
import org.junit.jupiter.api.Test;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerCommand.PreloadFunction;
import waytrestle.scheduler.SchedulerEvent.PreloadCompleted;

/** Preload requests and their rate limit. */
class PreloadPlannerTest {
    @Test
    void preloadsAreRateLimited() {
        SchedulerFixture scheduler = new SchedulerFixture();
        scheduler.reportsNotLoaded = true;
        scheduler.freePreloads = 1;
        scheduler.preloadsPerRequest = 0.1;
        scheduler.preloadPeriodMicros = 5_000_000;
        scheduler.start(ready("a"), ready("b"), ready("c"), ready("d"));
        for (int i = 1; i <= 9; i++) {
            String to =
                    onlyOne(scheduler.request(i, "f" + i, 4_000_000, 500_000), ForwardAttempt.class)
                            .invoker();
            scheduler.completed(i, 0, to, ResponseCode.NOT_LOADED, StartKind.UNKNOWN, 1_000);
        }
        assertEquals(1, allOf(scheduler.commands, PreloadFunction.class).size());
        String to =
                onlyOne(scheduler.request(10, "f10", 4_000_000, 500_000), ForwardAttempt.class)
                        .invoker();
        scheduler.completed(10, 0, to, ResponseCode.NOT_LOADED, StartKind.UNKNOWN, 1_000);
        assertEquals(2, allOf(scheduler.commands, PreloadFunction.class).size(), "1 + 0.1 x 10");
    }

    @Test
    void aPreloadWhoseConnectionBreaksIsRetriedWhereItWas() {
        SchedulerFixture scheduler = new SchedulerFixture();
        scheduler.reportsNotLoaded = true;
        scheduler.start(ready("a"), ready("b"));
        String to = onlyOne(scheduler.request(1, "f"), ForwardAttempt.class).invoker();
        PreloadFunction preload =
                onlyOne(
                        scheduler.completed(
                                1, 0, to, ResponseCode.NOT_LOADED, StartKind.UNKNOWN, 1_000),
                        PreloadFunction.class);
        assertEquals(to, preload.invoker());
        List<SchedulerCommand> commands =
                scheduler.feed(new PreloadCompleted(to, "f", ResponseCode.RESET, 5_000, 0));
        assertEquals(to, onlyOne(commands, PreloadFunction.class).invoker());
        int preloads = 1;
        for (; preloads < 100 && allOf(commands, PreloadFunction.class).size() == 1; preloads++) {
            commands = scheduler.feed(new PreloadCompleted(to, "f", ResponseCode.RESET, 5_000, 0));
        }
        assertTrue(preloads < 10, "not for ever: " + preloads);
        scheduler.now += 10_000_000;
        commands =
                scheduler.feed(
                        new PreloadCompleted(to, "f", ResponseCode.CONNECT_FAILED, 5_000, 0));
        assertTrue(
                allOf(commands, PreloadFunction.class).isEmpty(),
                "at a process that has ended it is not");
    }
}
