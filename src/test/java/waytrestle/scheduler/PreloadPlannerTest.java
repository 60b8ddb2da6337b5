package waytrestle.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.scheduler.SchedulerFixture.commandsOfType;
import static waytrestle.scheduler.SchedulerFixture.onlyCommand;
import static waytrestle.scheduler.SchedulerFixture.readyInvoker;

import java.util.List;
import org.junit.jupiter.api.Test;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerCommand.PreloadFunction;
import waytrestle.scheduler.SchedulerEvent.PreloadCompleted;

/** Preload requests and their rate limit. */
class PreloadPlannerTest {
    @Test
    void preloadsStayWithinFreePreloadsPlusShareOfRequests() {
        SchedulerFixture scheduler = new SchedulerFixture();
        scheduler.reportsNotLoaded = true;
        scheduler.freePreloads = 1;
        scheduler.preloadsPerRequest = 0.1;
        scheduler.preloadPeriodMicros = 5_000_000;
        scheduler.start(readyInvoker("a"), readyInvoker("b"), readyInvoker("c"), readyInvoker("d"));
        for (int i = 1; i <= 9; i++) {
            String target =
                    onlyCommand(
                                    scheduler.request(i, "f" + i, 4_000_000, 500_000),
                                    ForwardAttempt.class)
                            .invoker();
            scheduler.completeAttempt(
                    i, 0, target, ResponseCode.NOT_LOADED, StartKind.UNKNOWN, 1_000);
        }
        assertEquals(1, commandsOfType(scheduler.commands, PreloadFunction.class).size());
        String target =
                onlyCommand(scheduler.request(10, "f10", 4_000_000, 500_000), ForwardAttempt.class)
                        .invoker();
        scheduler.completeAttempt(10, 0, target, ResponseCode.NOT_LOADED, StartKind.UNKNOWN, 1_000);
        assertEquals(
                2,
                commandsOfType(scheduler.commands, PreloadFunction.class).size(),
                "1 free preload and 0.1 for each of 10 requests");
    }

    @Test
    void resetPreloadIsRetriedAtTheSameInvokerAFewTimesButNotAfterAFailedConnection() {
        SchedulerFixture scheduler = new SchedulerFixture();
        scheduler.reportsNotLoaded = true;
        scheduler.start(readyInvoker("a"), readyInvoker("b"));
        String target = onlyCommand(scheduler.request(1, "f"), ForwardAttempt.class).invoker();
        PreloadFunction preload =
                onlyCommand(
                        scheduler.completeAttempt(
                                1, 0, target, ResponseCode.NOT_LOADED, StartKind.UNKNOWN, 1_000),
                        PreloadFunction.class);
        assertEquals(target, preload.invoker());
        List<SchedulerCommand> commands =
                scheduler.feed(new PreloadCompleted(target, "f", ResponseCode.RESET, 5_000, 0));
        assertEquals(target, onlyCommand(commands, PreloadFunction.class).invoker());
        int preloads = 1;
        for (;
                preloads < 100 && commandsOfType(commands, PreloadFunction.class).size() == 1;
                preloads++) {
            commands =
                    scheduler.feed(new PreloadCompleted(target, "f", ResponseCode.RESET, 5_000, 0));
        }
        assertTrue(preloads < 10, "preloads in a row (limit 9): " + preloads);
        scheduler.now += 10_000_000;
        commands =
                scheduler.feed(
                        new PreloadCompleted(target, "f", ResponseCode.CONNECT_FAILED, 5_000, 0));
        assertTrue(
                commandsOfType(commands, PreloadFunction.class).isEmpty(),
                "no retry at a process that has ended");
    }
}
