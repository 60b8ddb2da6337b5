package waytrestle.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.scheduler.SchedulerFixture.allOf;
import static waytrestle.scheduler.SchedulerFixture.onlyOne;
import static waytrestle.scheduler.SchedulerFixture.ready;

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

/** What becomes of a request: forwarded, queued, rejected or failed. */
class RequestRouterTest {
    @Test
    void rejectsWhenTheBestEstimateExceedsTheTimeLeftAndPreloadsTheFunction() {
        SchedulerFixture scheduler = new SchedulerFixture().start(ready("a"), ready("b"));
        for (int i = 100; i < 120; i++) {
            String to = onlyOne(scheduler.request(i, "g" + i), ForwardAttempt.class).invoker();
            scheduler.completed(i, 0, to, ResponseCode.OK, StartKind.COLD, 600_000);
        }
        List<SchedulerCommand> commands = scheduler.request(1, "f", 1_000_000, 4_000_000);
        assertEquals(1_000_000, onlyOne(commands, RejectRequest.class).retryAfterMicros());
        assertEquals(
                1,
                onlyOne(commands, PreloadFunction.class).instances(),
                "or a slow function would be rejected for ever");
        SchedulerFixture fits = new SchedulerFixture().start(ready("a"), ready("b"));
        assertEquals(
                1, allOf(fits.request(2, "f", 4_500_000, 4_000_000), ForwardAttempt.class).size());
    }

    @Test
    void anUnknownLoadTimeRejectsNothing() {
        SchedulerFixture scheduler = new SchedulerFixture().start(ready("a"));
        assertEquals(1, allOf(scheduler.request(1, "f", 300_000, 0), ForwardAttempt.class).size());
    }

    @Test
    void aGuessThatOftenFindsAnInstanceIsNotRejectedForALoadThatOutlastsTheRequest() {
        SchedulerFixture scheduler =
                new SchedulerFixture().start(ready("a"), ready("b"), ready("c"));
        for (int i = 1; i < 20; i++) {
            scheduler.warm(i, "g" + i);
        }
        assertEquals(
                1,
                allOf(scheduler.request(50, "f", 400_000, 2_000_000), ForwardAttempt.class).size());
        for (int i = 100; i < 160; i++) {
            ForwardAttempt attempt =
                    onlyOne(
                            scheduler.request(i, "h" + i, 5_000_000, 2_000_000),
                            ForwardAttempt.class);
            scheduler.completed(
                    i, 0, attempt.invoker(), ResponseCode.OK, StartKind.COLD, 2_100_000);
        }
        assertEquals(
                1,
                allOf(scheduler.request(200, "k", 400_000, 2_000_000), RejectRequest.class).size());
    }

    @Test
    void whereNotLoadedIsReportedTheRequestIsSentFirstAndThatResponsePreloadsTheFunction() {
        SchedulerFixture scheduler = new SchedulerFixture();
        scheduler.reportsNotLoaded = true;
        scheduler.start(ready("a"), ready("b"));
        String to =
                onlyOne(scheduler.request(1, "f", 4_000_000, 500_000), ForwardAttempt.class)
                        .invoker();
        List<SchedulerCommand> missed =
                scheduler.completed(1, 0, to, ResponseCode.NOT_LOADED, StartKind.UNKNOWN, 1_000);
        assertEquals(to, onlyOne(missed, PreloadFunction.class).invoker());
        String next = onlyOne(missed, ForwardAttempt.class).invoker();
        assertNotEquals(
                to, next, "another may hold an instance, and a not-loaded response costs little");
        scheduler.completed(1, 1, next, ResponseCode.NOT_LOADED, StartKind.UNKNOWN, 1_000);
        scheduler.now += 20_000;
        assertEquals(
                to,
                onlyOne(
                                scheduler.feed(
                                        new TimerExpired(new SchedulerTimer.QueuedRequestRetry(1))),
                                ForwardAttempt.class)
                        .invoker(),
                "waits for the load");
    }

    @Test
    void withoutPreloadsANotLoadedResponseMovesTheRequestOn() {
        SchedulerFixture scheduler = new SchedulerFixture();
        scheduler.reportsNotLoaded = true;
        scheduler.acceptsPreloads = false;
        scheduler.start(ready("a"), ready("b"));
        String to = onlyOne(scheduler.request(1, "f"), ForwardAttempt.class).invoker();
        assertNotEquals(
                to,
                onlyOne(
                                scheduler.completed(
                                        1,
                                        0,
                                        to,
                                        ResponseCode.NOT_LOADED,
                                        StartKind.UNKNOWN,
                                        1_000),
                                ForwardAttempt.class)
                        .invoker());
    }

    @Test
    void theDeadlineEndsEveryRequest() {
        SchedulerFixture queued = new SchedulerFixture().start();
        assertTrue(allOf(queued.request(1, "f"), ForwardAttempt.class).isEmpty());
        queued.now += 2_996_000;
        assertEquals(
                1,
                allOf(
                                queued.feed(
                                        new TimerExpired(new SchedulerTimer.RequestDeadline(1))),
                                RejectRequest.class)
                        .size());
        SchedulerFixture sent = new SchedulerFixture();
        sent.idempotency = Idempotency.NON_IDEMPOTENT;
        sent.start(ready("a"));
        sent.request(1, "f");
        sent.now += 2_996_000;
        List<SchedulerCommand> commands =
                sent.feed(new TimerExpired(new SchedulerTimer.RequestDeadline(1)));
        assertEquals(1, allOf(commands, FailRequest.class).size());
        assertEquals(1, allOf(commands, CancelAttempt.class).size());
        assertTrue(
                sent.completed(1, 0, "a", ResponseCode.CANCELLED, StartKind.UNKNOWN, 1).isEmpty());
    }

    @Test
    void aRequestWithLittleTimeLeftIsSentWhereAQuickRunFits() {
        SchedulerFixture scheduler = new SchedulerFixture().start(ready("a"));
        scheduler.warm(1, "f");
        assertEquals(
                1,
                allOf(scheduler.request(2, "f", 60_000, 0), ForwardAttempt.class).size(),
                "usual run 100 ms");
        assertEquals(1, allOf(scheduler.request(3, "f", 20_000, 0), RejectRequest.class).size());
    }

    @Test
    void congestionRejectsGuessesToo() {
        SchedulerFixture scheduler = new SchedulerFixture().start(ready("a"), ready("b"));
        int rejected = 0;
        for (int i = 1; i < 30; i++) {
            List<SchedulerCommand> commands = scheduler.request(i, "f" + i);
            rejected += allOf(commands, RejectRequest.class).size();
            allOf(commands, ForwardAttempt.class)
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
                "all queues are long, though no function was requested twice: " + rejected);
    }

    @Test
    void congestionRejectsEarlyAndTimeAlreadyQueuedCounts() {
        SchedulerFixture scheduler = new SchedulerFixture().start(ready("a"));
        scheduler.warm(1, "f");
        int rejected = 0;
        for (int i = 2; i < 40; i++) {
            rejected +=
                    allOf(scheduler.request(i, "f", 5_000_000, 300_000), RejectRequest.class)
                            .size();
        }
        assertTrue(rejected > 0 && rejected < 38, "rejected " + rejected);
        SchedulerFixture queued = new SchedulerFixture().start(ready("a"));
        queued.warm(1, "f");
        for (int i = 2; i < 7; i++) {
            assertEquals(
                    1,
                    allOf(queued.request(i, "f", 5_000_000, 300_000), ForwardAttempt.class).size());
        }
        queued.now += 700_000;
        queued.completed(2, 0, "a", ResponseCode.FULL, StartKind.UNKNOWN, 1_000);
        queued.now += 40_000;
        List<SchedulerCommand> commands =
                queued.feed(new TimerExpired(new SchedulerTimer.QueuedRequestRetry(2)));
        assertEquals(
                1,
                allOf(commands, RejectRequest.class).size(),
                "too late for the objective by now");
    }

    @Test
    void aWarmInvokerAtCapacityMovesTheRequestOn() {
        SchedulerFixture scheduler = new SchedulerFixture().start(ready("a"), ready("b"));
        String known = scheduler.warm(1, "f");
        scheduler.request(2, "f", 5_000_000, 300_000);
        List<SchedulerCommand> commands =
                scheduler.completed(2, 0, known, ResponseCode.FULL, StartKind.UNKNOWN, 1_000);
        assertNotEquals(
                known,
                onlyOne(commands, ForwardAttempt.class).invoker(),
                "it may reject this class for long");
    }

    @Test
    void equalEventsAndSeedGiveEqualCommands() {
        List<List<SchedulerCommand>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            SchedulerFixture scheduler =
                    new SchedulerFixture().start(ready("a"), ready("b"), ready("c"));
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
