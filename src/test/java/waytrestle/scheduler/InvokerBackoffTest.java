package waytrestle.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.scheduler.SchedulerFixture.commandsOfType;
import static waytrestle.scheduler.SchedulerFixture.onlyCommand;
import static waytrestle.scheduler.SchedulerFixture.readyInvoker;

import java.util.List;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;
import waytrestle.scheduler.SchedulerCommand.CancelAttempt;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerEvent.RequestAbandoned;
import waytrestle.scheduler.SchedulerEvent.RequestReceived;
import waytrestle.scheduler.SchedulerEvent.TimerExpired;

/** Backoff from invokers that cannot be reached, reset, are at capacity or no longer respond. */
class InvokerBackoffTest {
    @Test
    void invokerThatFailsFastReceivesFewRequests() {
        SchedulerFixture scheduler =
                new SchedulerFixture().start(readyInvoker("a"), readyInvoker("b"));
        String failingInvoker =
                onlyCommand(scheduler.request(1, "f"), ForwardAttempt.class).invoker();
        scheduler.completeAttempt(1, 0, failingInvoker, ResponseCode.ERROR, StartKind.UNKNOWN, 500);
        String healthyInvoker = failingInvoker.equals("a") ? "b" : "a";
        scheduler.now += 100_000;
        scheduler.completeAttempt(1, 1, healthyInvoker, ResponseCode.OK, StartKind.WARM, 100_000);
        int attemptsToFailing = 0;
        for (int i = 2; i < 40; i++) {
            String target = onlyCommand(scheduler.request(i, "f"), ForwardAttempt.class).invoker();
            attemptsToFailing += target.equals(failingInvoker) ? 1 : 0;
            scheduler.now += 100_000;
            List<SchedulerCommand> retries =
                    scheduler.completeAttempt(
                            i,
                            0,
                            target,
                            target.equals(failingInvoker) ? ResponseCode.ERROR : ResponseCode.OK,
                            StartKind.WARM,
                            100_000);
            commandsOfType(retries, ForwardAttempt.class)
                    .forEach(
                            retry ->
                                    scheduler.completeAttempt(
                                            retry.id(),
                                            1,
                                            retry.invoker(),
                                            ResponseCode.OK,
                                            StartKind.WARM,
                                            100_000));
        }
        assertTrue(
                attemptsToFailing < 4,
                "attempts sent to the failing invoker (limit 3): " + attemptsToFailing);
    }

    @Test
    void invokerReceivesAtMostOneAttemptAtATimeAfterAFailedConnection() {
        SchedulerFixture scheduler =
                new SchedulerFixture().start(readyInvoker("a"), readyInvoker("b"));
        String failingInvoker =
                onlyCommand(scheduler.request(1, "f"), ForwardAttempt.class).invoker();
        scheduler.completeAttempt(
                1, 0, failingInvoker, ResponseCode.CONNECT_FAILED, StartKind.UNKNOWN, 250_000);
        scheduler.now += 300_000;
        int attemptsToPaused = 0;
        for (int i = 2; i < 12; i++) {
            attemptsToPaused +=
                    onlyCommand(scheduler.request(i, "x" + i), ForwardAttempt.class)
                                    .invoker()
                                    .equals(failingInvoker)
                            ? 1
                            : 0;
        }
        assertTrue(
                attemptsToPaused <= 1,
                "attempts sent to the paused invoker (limit 1): " + attemptsToPaused);
    }

    @Test
    void invokerKeepsItsInstancesAfterASingleReset() {
        SchedulerFixture scheduler =
                new SchedulerFixture().start(readyInvoker("a"), readyInvoker("b"));
        String warmInvoker = scheduler.serveWarm(1, "f");
        scheduler.request(2, "f", 5_000_000, 2_000_000);
        scheduler.completeAttempt(2, 0, warmInvoker, ResponseCode.RESET, StartKind.UNKNOWN, 50_000);
        scheduler.completeAttempt(
                2,
                1,
                warmInvoker.equals("a") ? "b" : "a",
                ResponseCode.FULL,
                StartKind.UNKNOWN,
                1_000);
        scheduler.now += 5_000_000;
        assertEquals(
                warmInvoker,
                onlyCommand(scheduler.request(3, "f", 5_000_000, 2_000_000), ForwardAttempt.class)
                        .invoker());
    }

    @Test
    void fullResponseToAColdAttemptBlocksLoadsButNotWarmAttempts() {
        SchedulerFixture scheduler = new SchedulerFixture().start(readyInvoker("a"));
        scheduler.serveWarm(1, "f");
        scheduler.request(2, "cold");
        scheduler.completeAttempt(2, 0, "a", ResponseCode.FULL, StartKind.UNKNOWN, 1_000);
        assertEquals(1, commandsOfType(scheduler.request(3, "f"), ForwardAttempt.class).size());
        assertTrue(commandsOfType(scheduler.request(4, "cold2"), ForwardAttempt.class).isEmpty());
    }

    @Test
    void loadAnsweredWithFullNoLongerCountsAsUnderWay() {
        SchedulerFixture scheduler =
                new SchedulerFixture().start(readyInvoker("a"), readyInvoker("b"));
        String first =
                onlyCommand(scheduler.request(1, "f", 5_000_000, 900_000), ForwardAttempt.class)
                        .invoker();
        scheduler.completeAttempt(1, 0, first, ResponseCode.FULL, StartKind.UNKNOWN, 1_000);
        scheduler.now += 4_000_000;
        String secondTarget =
                onlyCommand(scheduler.request(2, "f", 1_100_000, 900_000), ForwardAttempt.class)
                        .invoker();
        assertFalse(
                secondTarget.isEmpty(),
                "the load answered with full must not count as one under way");
    }

    @Test
    void fullResponsesToOneRequestClassMoveOnlyThatClassElsewhere() {
        SchedulerFixture scheduler = new SchedulerFixture();
        scheduler.classCount = 2;
        scheduler.start(readyInvoker("a"), readyInvoker("b"));
        String warmInvoker = scheduler.serveWarm(1, "f");
        for (int i = 2; i < 6; i++) {
            scheduler.feed(
                    new RequestReceived(
                            i, 1, -1, "g" + i, 5_000_000, 0, 300, 2, 300_000, false, false));
            scheduler.completeAttempt(i, 0, warmInvoker, ResponseCode.OK, StartKind.WARM, 100_000);
            scheduler.serveWarm(20 + i, "f");
        }
        for (int i = 30; i < 36; i++) {
            ForwardAttempt attempt =
                    onlyCommand(
                            scheduler.feed(
                                    new RequestReceived(
                                            i, 1, -1, "f", 5_000_000, 0, 300, 2, 300_000, false,
                                            false)),
                            ForwardAttempt.class);
            scheduler.completeAttempt(
                    i,
                    0,
                    attempt.invoker(),
                    attempt.invoker().equals(warmInvoker) ? ResponseCode.FULL : ResponseCode.OK,
                    StartKind.WARM,
                    50_000);
            scheduler.completeAttempt(
                    i,
                    1,
                    warmInvoker.equals("a") ? "b" : "a",
                    ResponseCode.OK,
                    StartKind.WARM,
                    100_000);
            scheduler.now += 300_000;
        }
        assertNotEquals(
                warmInvoker,
                onlyCommand(
                                scheduler.feed(
                                        new RequestReceived(
                                                50, 1, -1, "f", 5_000_000, 0, 300, 2, 300_000,
                                                false, false)),
                                ForwardAttempt.class)
                        .invoker(),
                "full responses there to the second class only");
        assertEquals(
                warmInvoker,
                onlyCommand(scheduler.request(51, "f", 5_000_000, 300_000), ForwardAttempt.class)
                        .invoker());
    }

    /**
     * Sends requests for one function, with ids counted up from the given one, one after the other.
     * The attempts of the requests chosen by the predicate are reset, the others served.
     */
    private static void resetSome(
            SchedulerFixture scheduler, int firstId, int requests, IntPredicate resets) {
        for (int i = firstId; i < firstId + requests; i++) {
            String target = onlyCommand(scheduler.request(i, "f"), ForwardAttempt.class).invoker();
            scheduler.now += 60_000;
            scheduler.completeAttempt(
                    i,
                    0,
                    target,
                    resets.test(i) ? ResponseCode.RESET : ResponseCode.OK,
                    StartKind.WARM,
                    60_000);
            if (resets.test(i)) {
                scheduler.feed(new RequestAbandoned(i));
            }
        }
    }

    @Test
    void frequentResetsThatAreUsualDoNotPutAnInvokerIntoSlowStart() {
        SchedulerFixture scheduler = new SchedulerFixture();
        scheduler.idempotency = Idempotency.NON_IDEMPOTENT;
        scheduler.start(readyInvoker("a"));
        resetSome(scheduler, 1, 60, i -> i % 4 == 0 || i % 4 == 1); // two in a row of every four
        scheduler.now += 2_000_000; // longer than any pause after these resets
        int sent = 0;
        for (int i = 100; i < 140; i++) {
            sent += commandsOfType(scheduler.request(i, "f"), ForwardAttempt.class).size();
            scheduler.now += 10_000;
            scheduler.completeAttempt(i, 0, "a", ResponseCode.OK, StartKind.WARM, 10_000);
        }
        assertEquals(40, sent, "attempts to an invoker that is not in its slow start");
    }

    @Test
    void simultaneousResetsOfAllAttemptsPutAnInvokerIntoSlowStart() {
        SchedulerFixture scheduler = new SchedulerFixture();
        scheduler.idempotency = Idempotency.NON_IDEMPOTENT;
        scheduler.start(readyInvoker("a"));
        resetSome(scheduler, 1, 40, i -> false);
        for (int i = 50; i < 54; i++) {
            onlyCommand(scheduler.request(i, "f"), ForwardAttempt.class);
        }
        for (int i = 50; i < 54; i++) {
            scheduler.completeAttempt(i, 0, "a", ResponseCode.RESET, StartKind.UNKNOWN, 1_000);
        }
        scheduler.now += 2_000_000;
        int sent = 0;
        for (int i = 100; i < 120; i++) {
            List<SchedulerCommand> commands = scheduler.request(i, "f");
            sent += commandsOfType(commands, ForwardAttempt.class).size();
            if (i == 100) {
                scheduler.completeAttempt(100, 0, "a", ResponseCode.OK, StartKind.COLD, 60_000);
            }
        }
        assertTrue(
                sent >= 1 && sent < 12, "attempts within the slow-start budget (1 to 11): " + sent);
    }

    /**
     * Sends requests to a warm invoker that then does not respond, and runs the maintenance.
     * Returns the cancelled attempts, after checking that each is retried at another invoker.
     */
    private static List<CancelAttempt> cancelledAfterSilence(
            boolean reportsNotLoaded, Idempotency idempotency, int requests, long silenceMicros) {
        SchedulerFixture scheduler = new SchedulerFixture();
        scheduler.reportsNotLoaded = reportsNotLoaded;
        scheduler.idempotency = idempotency;
        scheduler.start(readyInvoker("a"), readyInvoker("b"));
        String warmInvoker = scheduler.serveWarm(1, "f");
        for (int i = 2; i < 2 + requests; i++) {
            assertEquals(
                    warmInvoker,
                    onlyCommand(scheduler.request(i, "f"), ForwardAttempt.class).invoker());
        }
        scheduler.now += silenceMicros;
        List<SchedulerCommand> commands =
                scheduler.feed(new TimerExpired(new SchedulerTimer.Maintenance()));
        for (CancelAttempt cancel : commandsOfType(commands, CancelAttempt.class)) {
            ForwardAttempt retry =
                    onlyCommand(
                            scheduler.completeAttempt(
                                    cancel.id(),
                                    cancel.attempt(),
                                    warmInvoker,
                                    ResponseCode.CANCELLED,
                                    StartKind.UNKNOWN,
                                    silenceMicros),
                            ForwardAttempt.class);
            assertTrue(
                    !retry.invoker().equals(warmInvoker),
                    "retried at the silent invoker " + warmInvoker);
        }
        return commandsOfType(commands, CancelAttempt.class);
    }

    @Test
    void idempotentAttemptsAtASilentInvokerAreCancelledAndRetriedElsewhere() {
        assertEquals(2, cancelledAfterSilence(true, Idempotency.IDEMPOTENT, 2, 1_500_000).size());
        assertEquals(
                0,
                cancelledAfterSilence(true, Idempotency.NON_IDEMPOTENT, 2, 1_500_000).size(),
                "non-idempotent attempts may have run");
        assertEquals(
                0,
                cancelledAfterSilence(true, Idempotency.IDEMPOTENT, 1, 1_500_000).size(),
                "a single attempt may just take long");
        assertEquals(
                0,
                cancelledAfterSilence(true, Idempotency.IDEMPOTENT, 2, 300_000).size(),
                "300 ms are too short for silence");
        assertEquals(
                0,
                cancelledAfterSilence(false, Idempotency.IDEMPOTENT, 2, 1_500_000).size(),
                "without not-loaded responses the attempts may wait for a load");
    }
}
