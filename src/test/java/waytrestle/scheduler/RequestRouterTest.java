package waytrestle.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.scheduler.SchedulerFixture.commandsOfType;
import static waytrestle.scheduler.SchedulerFixture.onlyCommand;
import static waytrestle.scheduler.SchedulerFixture.readyInvoker;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import waytrestle.scheduler.SchedulerCommand.CancelAttempt;
import waytrestle.scheduler.SchedulerCommand.FailRequest;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerCommand.PreloadFunction;
import waytrestle.scheduler.SchedulerCommand.RejectRequest;
import waytrestle.scheduler.SchedulerEvent.AttemptCompleted;
import waytrestle.scheduler.SchedulerEvent.TimerExpired;

/** Whether a request is forwarded, queued, rejected or failed. */
class RequestRouterTest {
    @Test
    void requestIsRejectedAndItsFunctionPreloadedWhenTheBestEstimateExceedsTheTimeLeft() {
        SchedulerFixture scheduler =
                new SchedulerFixture().start(readyInvoker("a"), readyInvoker("b"));
        for (int i = 100; i < 120; i++) {
            String target =
                    onlyCommand(scheduler.request(i, "g" + i), ForwardAttempt.class).invoker();
            scheduler.completeAttempt(i, 0, target, ResponseCode.OK, StartKind.COLD, 600_000);
        }
        List<SchedulerCommand> commands = scheduler.request(1, "f", 1_000_000, 4_000_000);
        assertEquals(1_000_000, onlyCommand(commands, RejectRequest.class).retryAfterMicros());
        assertEquals(
                1,
                onlyCommand(commands, PreloadFunction.class).instances(),
                "without a preload, a function that loads slowly would be rejected forever");
        SchedulerFixture enoughTime =
                new SchedulerFixture().start(readyInvoker("a"), readyInvoker("b"));
        assertEquals(
                1,
                commandsOfType(
                                enoughTime.request(2, "f", 4_500_000, 4_000_000),
                                ForwardAttempt.class)
                        .size());
    }

    @Test
    void requestIsForwardedWhenTheLoadTimeIsUnknown() {
        SchedulerFixture scheduler = new SchedulerFixture().start(readyInvoker("a"));
        assertEquals(
                1,
                commandsOfType(scheduler.request(1, "f", 300_000, 0), ForwardAttempt.class).size());
    }

    @Test
    void loadLongerThanTheTimeLeftRejectsOnlyOnceUnknownInstancesProveMostlyCold() {
        SchedulerFixture scheduler =
                new SchedulerFixture()
                        .start(readyInvoker("a"), readyInvoker("b"), readyInvoker("c"));
        for (int i = 1; i < 20; i++) {
            scheduler.serveWarm(i, "g" + i);
        }
        assertEquals(
                1,
                commandsOfType(scheduler.request(50, "f", 400_000, 2_000_000), ForwardAttempt.class)
                        .size());
        for (int i = 100; i < 160; i++) {
            ForwardAttempt attempt =
                    onlyCommand(
                            scheduler.request(i, "h" + i, 5_000_000, 2_000_000),
                            ForwardAttempt.class);
            scheduler.completeAttempt(
                    i, 0, attempt.invoker(), ResponseCode.OK, StartKind.COLD, 2_100_000);
        }
        assertEquals(
                1,
                commandsOfType(scheduler.request(200, "k", 400_000, 2_000_000), RejectRequest.class)
                        .size());
    }

    @Test
    void notLoadedResponsePreloadsAndRetriesElsewhereAndASecondOneWaitsForTheLoad() {
        SchedulerFixture scheduler = new SchedulerFixture();
        scheduler.reportsNotLoaded = true;
        scheduler.start(readyInvoker("a"), readyInvoker("b"));
        String target =
                onlyCommand(scheduler.request(1, "f", 4_000_000, 500_000), ForwardAttempt.class)
                        .invoker();
        List<SchedulerCommand> afterNotLoaded =
                scheduler.completeAttempt(
                        1, 0, target, ResponseCode.NOT_LOADED, StartKind.UNKNOWN, 1_000);
        assertEquals(target, onlyCommand(afterNotLoaded, PreloadFunction.class).invoker());
        String secondTarget = onlyCommand(afterNotLoaded, ForwardAttempt.class).invoker();
        assertNotEquals(target, secondTarget, "another invoker may hold an instance");
        scheduler.completeAttempt(
                1, 1, secondTarget, ResponseCode.NOT_LOADED, StartKind.UNKNOWN, 1_000);
        scheduler.now += 20_000;
        assertEquals(
                target,
                onlyCommand(
                                scheduler.feed(
                                        new TimerExpired(new SchedulerTimer.QueuedRequestRetry(1))),
                                ForwardAttempt.class)
                        .invoker(),
                "the request waited for the preload there");
    }

    @Test
    void notLoadedResponseRetriesElsewhereWhenPreloadsAreNotAccepted() {
        SchedulerFixture scheduler = new SchedulerFixture();
        scheduler.reportsNotLoaded = true;
        scheduler.acceptsPreloads = false;
        scheduler.start(readyInvoker("a"), readyInvoker("b"));
        String target = onlyCommand(scheduler.request(1, "f"), ForwardAttempt.class).invoker();
        assertNotEquals(
                target,
                onlyCommand(
                                scheduler.completeAttempt(
                                        1,
                                        0,
                                        target,
                                        ResponseCode.NOT_LOADED,
                                        StartKind.UNKNOWN,
                                        1_000),
                                ForwardAttempt.class)
                        .invoker());
    }

    @Test
    void deadlineRejectsAQueuedRequestAndFailsANonIdempotentOneInFlight() {
        SchedulerFixture queued = new SchedulerFixture().start();
        assertTrue(commandsOfType(queued.request(1, "f"), ForwardAttempt.class).isEmpty());
        queued.now += 2_996_000;
        assertEquals(
                1,
                commandsOfType(
                                queued.feed(
                                        new TimerExpired(new SchedulerTimer.RequestDeadline(1))),
                                RejectRequest.class)
                        .size());
        SchedulerFixture sent = new SchedulerFixture();
        sent.idempotency = Idempotency.NON_IDEMPOTENT;
        sent.start(readyInvoker("a"));
        sent.request(1, "f");
        sent.now += 2_996_000;
        List<SchedulerCommand> commands =
                sent.feed(new TimerExpired(new SchedulerTimer.RequestDeadline(1)));
        assertEquals(1, commandsOfType(commands, FailRequest.class).size());
        assertEquals(1, commandsOfType(commands, CancelAttempt.class).size());
        assertTrue(
                sent.completeAttempt(1, 0, "a", ResponseCode.CANCELLED, StartKind.UNKNOWN, 1)
                        .isEmpty());
    }

    @Test
    void requestIsForwardedWhenTheTimeLeftFitsAQuickRunAndElseRejected() {
        SchedulerFixture scheduler = new SchedulerFixture().start(readyInvoker("a"));
        scheduler.serveWarm(1, "f");
        assertEquals(
                1,
                commandsOfType(scheduler.request(2, "f", 60_000, 0), ForwardAttempt.class).size(),
                "60 ms fit a run that is quicker than the usual 100 ms");
        assertEquals(
                1,
                commandsOfType(scheduler.request(3, "f", 20_000, 0), RejectRequest.class).size());
    }

    @Test
    void requestsForUnknownFunctionsAreRejectedWhenAllQueuesAreLong() {
        SchedulerFixture scheduler =
                new SchedulerFixture().start(readyInvoker("a"), readyInvoker("b"));
        int rejected = 0;
        for (int i = 1; i < 30; i++) {
            List<SchedulerCommand> commands = scheduler.request(i, "f" + i);
            rejected += commandsOfType(commands, RejectRequest.class).size();
            commandsOfType(commands, ForwardAttempt.class)
                    .forEach(
                            attempt ->
                                    scheduler.feed(
                                            new AttemptCompleted(
                                                    attempt.id(),
                                                    0,
                                                    attempt.invoker(),
                                                    ResponseCode.OK,
                                                    true,
                                                    100_000,
                                                    StartKind.WARM,
                                                    -1,
                                                    Map.of("queue", 100.0))));
        }
        assertTrue(
                rejected > 10,
                "requests rejected while all queues are long (at least 11): " + rejected);
    }

    @Test
    void congestionRejectsByEstimatedFinishPlusTimeSinceArrival() {
        SchedulerFixture scheduler = new SchedulerFixture().start(readyInvoker("a"));
        scheduler.serveWarm(1, "f");
        int rejected = 0;
        for (int i = 2; i < 40; i++) {
            rejected +=
                    commandsOfType(
                                    scheduler.request(i, "f", 5_000_000, 300_000),
                                    RejectRequest.class)
                            .size();
        }
        assertTrue(
                rejected > 0 && rejected < 38,
                "rejected requests of 38 (some, not all): " + rejected);
        SchedulerFixture queued = new SchedulerFixture().start(readyInvoker("a"));
        queued.serveWarm(1, "f");
        for (int i = 2; i < 7; i++) {
            assertEquals(
                    1,
                    commandsOfType(queued.request(i, "f", 5_000_000, 300_000), ForwardAttempt.class)
                            .size());
        }
        queued.now += 700_000;
        queued.completeAttempt(2, 0, "a", ResponseCode.FULL, StartKind.UNKNOWN, 1_000);
        queued.now += 40_000;
        List<SchedulerCommand> commands =
                queued.feed(new TimerExpired(new SchedulerTimer.QueuedRequestRetry(2)));
        assertEquals(
                1,
                commandsOfType(commands, RejectRequest.class).size(),
                "740 ms since arrival plus the estimate exceed the objective");
    }

    @Test
    void fullResponseFromAWarmInvokerRetriesElsewhere() {
        SchedulerFixture scheduler =
                new SchedulerFixture().start(readyInvoker("a"), readyInvoker("b"));
        String warmInvoker = scheduler.serveWarm(1, "f");
        scheduler.request(2, "f", 5_000_000, 300_000);
        List<SchedulerCommand> commands =
                scheduler.completeAttempt(
                        2, 0, warmInvoker, ResponseCode.FULL, StartKind.UNKNOWN, 1_000);
        assertNotEquals(
                warmInvoker,
                onlyCommand(commands, ForwardAttempt.class).invoker(),
                "the invoker may stay full for the class");
    }

    @Test
    void equalEventsAndSeedsProduceEqualCommands() {
        List<List<SchedulerCommand>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            SchedulerFixture scheduler =
                    new SchedulerFixture()
                            .start(readyInvoker("a"), readyInvoker("b"), readyInvoker("c"));
            for (int i = 1; i < 50; i++) {
                scheduler.now += 7_000;
                scheduler.request(i, "f" + i % 9);
                scheduler.feed(new TimerExpired(new SchedulerTimer.QueuedRequestRetry(i)));
            }
            runs.add(scheduler.commands);
        }
        assertEquals(runs.get(0), runs.get(1));
        assertFalse(runs.get(0).isEmpty());
    }
}
