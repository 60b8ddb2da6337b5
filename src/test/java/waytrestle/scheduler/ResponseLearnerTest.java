package waytrestle.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static waytrestle.scheduler.SchedulerFixture.commandsOfType;
import static waytrestle.scheduler.SchedulerFixture.onlyCommand;
import static waytrestle.scheduler.SchedulerFixture.readyInvoker;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerCommand.RejectRequest;
import waytrestle.scheduler.SchedulerEvent.AttemptCompleted;

/** What the scheduler learns from responses and load reports. */
class ResponseLearnerTest {
    @Test
    void reportedQueueWithoutInFlightCountMovesTheNextRequestElsewhere() {
        SchedulerFixture scheduler =
                new SchedulerFixture().start(readyInvoker("a"), readyInvoker("b"));
        scheduler.serveWarm(1, "f");
        String warmInvoker =
                onlyCommand(scheduler.request(2, "f", 5_000_000, 300_000), ForwardAttempt.class)
                        .invoker();
        scheduler.feed(
                new AttemptCompleted(
                        2,
                        0,
                        warmInvoker,
                        ResponseCode.OK,
                        true,
                        100_000,
                        StartKind.WARM,
                        -1,
                        Map.of("queue", 60.0)));
        assertNotEquals(
                warmInvoker,
                onlyCommand(scheduler.request(3, "f", 5_000_000, 300_000), ForwardAttempt.class)
                        .invoker());
    }

    @Test
    void reportedQueueOfRequestsWaitingForLoadsDoesNotCountAsQueue() {
        SchedulerFixture scheduler =
                new SchedulerFixture().start(readyInvoker("a"), readyInvoker("b"));
        scheduler.serveWarm(1, "f");
        String warmInvoker =
                onlyCommand(scheduler.request(2, "f", 5_000_000, 300_000), ForwardAttempt.class)
                        .invoker();
        scheduler.feed(
                new AttemptCompleted(
                        2,
                        0,
                        warmInvoker,
                        ResponseCode.OK,
                        true,
                        100_000,
                        StartKind.WARM,
                        -1,
                        Map.of("queue", 900.0, "x1", 900.0)));
        assertEquals(
                warmInvoker,
                onlyCommand(scheduler.request(3, "f", 5_000_000, 300_000), ForwardAttempt.class)
                        .invoker());
    }

    @Test
    void reportedQueueLosesItsEffectWithinEightSeconds() {
        for (long ageMicros : new long[] {0, 8_000_000}) {
            SchedulerFixture scheduler =
                    new SchedulerFixture().start(readyInvoker("a"), readyInvoker("b"));
            String warmInvoker = scheduler.serveWarm(1, "f");
            scheduler.request(2, "f", 5_000_000, 300_000);
            scheduler.feed(
                    new AttemptCompleted(
                            2,
                            0,
                            warmInvoker,
                            ResponseCode.OK,
                            true,
                            100_000,
                            StartKind.WARM,
                            -1,
                            Map.of("queue", 60.0)));
            scheduler.now += ageMicros;
            String target =
                    onlyCommand(scheduler.request(3, "f", 5_000_000, 300_000), ForwardAttempt.class)
                            .invoker();
            assertEquals(
                    ageMicros > 0,
                    warmInvoker.equals(target),
                    "report age in microseconds: " + ageMicros);
        }
    }

    @Test
    void noRequestIsRejectedOnceUnknownInstancesProveLoadedAfterInitialNotLoadedResponses() {
        SchedulerFixture scheduler = new SchedulerFixture();
        scheduler.reportsNotLoaded = true;
        scheduler.start(readyInvoker("a"), readyInvoker("b"), readyInvoker("c"));
        int rejected = 0;
        for (int i = 1; i <= 300; i++) {
            List<SchedulerCommand> commands = scheduler.request(i, "f" + i, 2_400_000, 3_000_000);
            scheduler.now += 10_000;
            for (ForwardAttempt attempt : commandsOfType(commands, ForwardAttempt.class)) {
                boolean notLoaded = i <= 2; // all later functions are loaded at every invoker
                scheduler.completeAttempt(
                        i,
                        0,
                        attempt.invoker(),
                        notLoaded ? ResponseCode.NOT_LOADED : ResponseCode.OK,
                        StartKind.UNKNOWN,
                        notLoaded ? 1_000 : 60_000);
            }
            rejected += i > 200 && commandsOfType(commands, RejectRequest.class).size() > 0 ? 1 : 0;
        }
        assertEquals(0, rejected, "rejected among the last 100 requests");
    }
}
