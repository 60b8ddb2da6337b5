package waytrestle.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.scheduler.SchedulerFixture.every;
import static waytrestle.scheduler.SchedulerFixture.one;
import static waytrestle.scheduler.SchedulerFixture.ready;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import waytrestle.scheduler.SchedulerCommand.CancelAttempt;
import waytrestle.scheduler.SchedulerCommand.FailRequest;
import waytrestle.scheduler.SchedulerCommand.ForwardAttempt;
import waytrestle.scheduler.SchedulerCommand.PreloadFunction;
import waytrestle.scheduler.SchedulerCommand.RejectRequest;
import waytrestle.scheduler.SchedulerCommand.SetTimer;
import waytrestle.scheduler.SchedulerCommand.SubscribeToEndpoints;
import waytrestle.scheduler.SchedulerEvent.AttemptCompleted;
import waytrestle.scheduler.SchedulerEvent.EndpointUpdateFailed;
import waytrestle.scheduler.SchedulerEvent.EndpointsUpdated;
import waytrestle.scheduler.SchedulerEvent.PreloadCompleted;
import waytrestle.scheduler.SchedulerEvent.RequestAbandoned;
import waytrestle.scheduler.SchedulerEvent.RequestReceived;
import waytrestle.scheduler.SchedulerEvent.TimerExpired;

class FinishTimeSchedulerTest {
    @Test
    void staysWithTheWarmInvokerThoughAnotherRanksHigher() {
        SchedulerFixture bed = new SchedulerFixture().start(ready("a"), ready("b"), ready("c"));
        for (int i = 100; i < 120; i++) {
            bed.warm(i, "g" + i);
        }
        String first = one(bed.request(1, "f"), ForwardAttempt.class).invoker();
        String second =
                one(
                                bed.ended(1, 0, first, ResponseCode.FULL, StartKind.UNKNOWN, 1_000),
                                ForwardAttempt.class)
                        .invoker();
        bed.ended(1, 1, second, ResponseCode.OK, StartKind.WARM, 100_000);
        bed.now += 5_000_000;
        assertEquals(second, one(bed.request(2, "f"), ForwardAttempt.class).invoker());
        bed.ended(2, 0, second, ResponseCode.OK, StartKind.WARM, 100_000);
        bed.now += 10_100_000;
        assertEquals(
                first,
                one(bed.request(3, "f"), ForwardAttempt.class).invoker(),
                "the belief lapses unused");
    }

    @Test
    void queueBeyondTheLanesSpreadsTheFunction() {
        SchedulerFixture bed = new SchedulerFixture().start(ready("a"), ready("b"));
        String first = null;
        boolean spread = false;
        for (long id = 1; id <= 14; id++) {
            String to =
                    one(bed.request(id, "f", 5_000_000, 300_000), ForwardAttempt.class).invoker();
            first = first == null ? to : first;
            spread |= !to.equals(first);
        }
        assertTrue(spread, "a long queue costs more than a load elsewhere");
    }

    @Test
    void controllersMeetAtTheSameColdInvoker() {
        for (int f = 0; f < 20; f++) {
            SchedulerFixture one = new SchedulerFixture().start(ready("a"), ready("b"), ready("c"));
            SchedulerFixture two = new SchedulerFixture().start(ready("c"), ready("a"), ready("b"));
            assertEquals(
                    one(one.request(1, "f" + f), ForwardAttempt.class).invoker(),
                    one(two.request(9, "f" + f), ForwardAttempt.class).invoker());
        }
    }

    @Test
    void refusesWhenTheBestEstimateExceedsTheTimeLeftAndOrdersTheLoad() {
        SchedulerFixture bed = new SchedulerFixture().start(ready("a"), ready("b"));
        for (int i = 100; i < 120; i++) {
            String to = one(bed.request(i, "g" + i), ForwardAttempt.class).invoker();
            bed.ended(i, 0, to, ResponseCode.OK, StartKind.COLD, 600_000);
        }
        List<SchedulerCommand> out = bed.request(1, "f", 1_000_000, 4_000_000);
        assertEquals(1_000_000, one(out, RejectRequest.class).retryAfterMicros());
        assertEquals(
                1,
                one(out, PreloadFunction.class).instances(),
                "or a slow function would be refused for ever");
        SchedulerFixture fits = new SchedulerFixture().start(ready("a"), ready("b"));
        assertEquals(
                1, every(fits.request(2, "f", 4_500_000, 4_000_000), ForwardAttempt.class).size());
    }

    @Test
    void unmeasuredLoadCountsNoughtForRefusal() {
        SchedulerFixture bed = new SchedulerFixture().start(ready("a"));
        assertEquals(1, every(bed.request(1, "f", 300_000, 0), ForwardAttempt.class).size());
    }

    @Test
    void aGuessThatOftenFindsACopyIsNotRefusedForALoadThatOutlastsTheRequest() {
        SchedulerFixture bed = new SchedulerFixture().start(ready("a"), ready("b"), ready("c"));
        for (int i = 1; i < 20; i++) {
            bed.warm(i, "g" + i);
        }
        assertEquals(
                1, every(bed.request(50, "f", 400_000, 2_000_000), ForwardAttempt.class).size());
        for (int i = 100; i < 160; i++) {
            ForwardAttempt send =
                    one(bed.request(i, "h" + i, 5_000_000, 2_000_000), ForwardAttempt.class);
            bed.ended(i, 0, send.invoker(), ResponseCode.OK, StartKind.COLD, 2_100_000);
        }
        assertEquals(
                1, every(bed.request(200, "k", 400_000, 2_000_000), RejectRequest.class).size());
    }

    @Test
    void whereInvokersMissTheRequestAsksFirstAndTheMissOrdersTheCopy() {
        SchedulerFixture bed = new SchedulerFixture();
        bed.missAnswers = true;
        bed.start(ready("a"), ready("b"));
        String to = one(bed.request(1, "f", 4_000_000, 500_000), ForwardAttempt.class).invoker();
        List<SchedulerCommand> missed =
                bed.ended(1, 0, to, ResponseCode.NOT_LOADED, StartKind.UNKNOWN, 1_000);
        assertEquals(to, one(missed, PreloadFunction.class).invoker());
        String next = one(missed, ForwardAttempt.class).invoker();
        assertNotEquals(to, next, "another may hold a copy, and a miss costs little");
        bed.ended(1, 1, next, ResponseCode.NOT_LOADED, StartKind.UNKNOWN, 1_000);
        bed.now += 20_000;
        assertEquals(
                to,
                one(
                                bed.feed(
                                        new TimerExpired(new SchedulerTimer.QueuedRequestRetry(1))),
                                ForwardAttempt.class)
                        .invoker(),
                "waits for the load");
    }

    @Test
    void missesWithoutOrdersMoveOn() {
        SchedulerFixture bed = new SchedulerFixture();
        bed.missAnswers = true;
        bed.orders = false;
        bed.start(ready("a"), ready("b"));
        String to = one(bed.request(1, "f"), ForwardAttempt.class).invoker();
        assertNotEquals(
                to,
                one(
                                bed.ended(
                                        1,
                                        0,
                                        to,
                                        ResponseCode.NOT_LOADED,
                                        StartKind.UNKNOWN,
                                        1_000),
                                ForwardAttempt.class)
                        .invoker());
    }

    @ParameterizedTest
    @EnumSource(
            value = ResponseCode.class,
            names = {"FULL", "CONNECT_FAILED"})
    void provedAttemptsMoveOnForEveryClass(ResponseCode code) {
        for (Idempotency repeat : Idempotency.values()) {
            SchedulerFixture bed = new SchedulerFixture();
            bed.repeat = repeat;
            bed.start(ready("a"), ready("b"));
            String to = one(bed.request(1, "f"), ForwardAttempt.class).invoker();
            assertNotEquals(
                    to,
                    one(bed.ended(1, 0, to, code, StartKind.UNKNOWN, 1_000), ForwardAttempt.class)
                            .invoker());
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = ResponseCode.class,
            names = {"ERROR", "RESET", "TIMEOUT", "CANCELLED"})
    void unprovedAttemptsAreNeverRepeatedForUnsafeRequests(ResponseCode code) {
        SchedulerFixture bed = new SchedulerFixture();
        bed.repeat = Idempotency.NON_IDEMPOTENT;
        bed.start(ready("a"), ready("b"));
        String to = one(bed.request(1, "f"), ForwardAttempt.class).invoker();
        List<SchedulerCommand> out = bed.ended(1, 0, to, code, StartKind.UNKNOWN, 1_000);
        assertEquals(1, every(out, FailRequest.class).size());
        assertTrue(
                every(out, ForwardAttempt.class).isEmpty()
                        && every(out, RejectRequest.class).isEmpty());
    }

    @Test
    void keyedRepeatsStayInTheCellAndWindow() {
        SchedulerFixture bed = new SchedulerFixture();
        bed.repeat = Idempotency.KEYED;
        bed.start(
                new InvokerEndpoint("a", 0, 1, 0, EndpointState.READY, 1, 0),
                new InvokerEndpoint("b", 0, 2, 0, EndpointState.READY, 1, 0),
                new InvokerEndpoint("c", 0, 1, 0, EndpointState.READY, 1, 0),
                new InvokerEndpoint("d", 0, 2, 0, EndpointState.READY, 1, 0));
        Map<String, String> mate = Map.of("a", "c", "c", "a", "b", "d", "d", "b");
        String to = one(bed.request(1, "f"), ForwardAttempt.class).invoker();
        assertEquals(
                mate.get(to),
                one(
                                bed.ended(1, 0, to, ResponseCode.ERROR, StartKind.UNKNOWN, 1_000),
                                ForwardAttempt.class)
                        .invoker());
        String late = one(bed.request(2, "g", 5_000_000, 0), ForwardAttempt.class).invoker();
        bed.now += 3_000_000;
        List<SchedulerCommand> out =
                bed.ended(2, 0, late, ResponseCode.ERROR, StartKind.UNKNOWN, 3_000_000);
        assertEquals(
                1,
                every(out, FailRequest.class).size(),
                "the cell no longer remembers, and it may have run");
    }

    @Test
    void drainingAndGoneInvokersGetNothing() {
        SchedulerFixture bed = new SchedulerFixture().start(ready("a"), ready("b"));
        bed.feed(
                new EndpointsUpdated(
                        false,
                        false,
                        List.of(new InvokerEndpoint("a", 0, 0, 0, EndpointState.DRAINING, 1, 0))));
        for (int i = 1; i < 9; i++) {
            assertEquals("b", one(bed.request(i, "f" + i), ForwardAttempt.class).invoker());
        }
        bed.feed(new EndpointsUpdated(true, false, List.of(ready("c"))));
        assertEquals("c", one(bed.request(20, "g"), ForwardAttempt.class).invoker());
    }

    @Test
    void freshStartClearsTheBelief() {
        SchedulerFixture bed = new SchedulerFixture().start(ready("a"), ready("b"));
        String home = bed.warm(1, "f");
        long upSince = bed.now - 11_000_000;
        bed.feed(
                new EndpointsUpdated(
                        false,
                        false,
                        List.of(
                                new InvokerEndpoint(
                                        home, 0, 0, 0, EndpointState.READY, 1, upSince))));
        String to = one(bed.request(2, "f", 5_000_000, 2_000_000), ForwardAttempt.class).invoker();
        List<SchedulerCommand> out =
                bed.ended(2, 0, to, ResponseCode.FULL, StartKind.UNKNOWN, 1_000);
        assertEquals(
                1,
                every(out, ForwardAttempt.class).size(),
                "full for a load moves on, full for a warm copy waits");
    }

    @Test
    void manyControllersTogetherKeepTheBudgetOfAFreshInvoker() {
        int most = 0;
        int all = 0;
        int[] windows = new int[40];
        for (int me = 0; me < 150; me++) {
            SchedulerFixture bed = new SchedulerFixture();
            bed.controllers = 150;
            bed.start(
                    ready("warm"),
                    new InvokerEndpoint("new", 0, 0, 0, EndpointState.READY, 1, bed.now));
            bed.control = new FinishTimeScheduler(bed.settings(), 1_000 + me);
            bed.feed(
                    new EndpointsUpdated(
                            true,
                            true,
                            List.of(
                                    ready("warm"),
                                    new InvokerEndpoint(
                                            "new", 0, 0, 0, EndpointState.READY, 1, bed.now))));
            long start = bed.now;
            for (int i = 1; i < 200; i++) {
                bed.now = start + i * 25_000L;
                bed.feed(new TimerExpired(new SchedulerTimer.Maintenance()));
                for (ForwardAttempt send : every(bed.request(i, "f" + i), ForwardAttempt.class)) {
                    boolean fresh = send.invoker().equals("new");
                    all++;
                    windows[(int) ((bed.now - start) / 250_000)] += fresh ? 1 : 0;
                    // The warm invoker serves each controller once a second, whatever it is asked.
                    bed.ended(
                            i,
                            0,
                            send.invoker(),
                            i % 40 == 0 && !fresh ? ResponseCode.OK : ResponseCode.FULL,
                            StartKind.WARM,
                            1_000);
                }
            }
        }
        for (int from = 0; from + 8 <= windows.length; from++) {
            int sum = 0;
            for (int w = from; w < from + 8; w++) {
                sum += windows[w];
            }
            most = Math.max(most, sum);
        }
        // Together they see 150 served a second by a warm invoker: 2 x 0.62 x 150 x 2 s at the very
        // most.
        assertTrue(
                most > 0 && most < 2 * 0.62 * 150 * 2, "sent within 2 s: " + most + " of " + all);
    }

    @Test
    void ordersAreRationed() {
        SchedulerFixture bed = new SchedulerFixture();
        bed.missAnswers = true;
        bed.freeLoads = 1;
        bed.loadRatio = 0.1;
        bed.loadPeriod = 5_000_000;
        bed.start(ready("a"), ready("b"), ready("c"), ready("d"));
        for (int i = 1; i <= 9; i++) {
            String to =
                    one(bed.request(i, "f" + i, 4_000_000, 500_000), ForwardAttempt.class)
                            .invoker();
            bed.ended(i, 0, to, ResponseCode.NOT_LOADED, StartKind.UNKNOWN, 1_000);
        }
        assertEquals(1, every(bed.all, PreloadFunction.class).size());
        String to = one(bed.request(10, "f10", 4_000_000, 500_000), ForwardAttempt.class).invoker();
        bed.ended(10, 0, to, ResponseCode.NOT_LOADED, StartKind.UNKNOWN, 1_000);
        assertEquals(2, every(bed.all, PreloadFunction.class).size(), "1 + 0.1 x 10");
    }

    @Test
    void deadlineAnswersEverything() {
        SchedulerFixture held = new SchedulerFixture().start();
        assertTrue(every(held.request(1, "f"), ForwardAttempt.class).isEmpty());
        held.now += 2_996_000;
        assertEquals(
                1,
                every(
                                held.feed(new TimerExpired(new SchedulerTimer.RequestDeadline(1))),
                                RejectRequest.class)
                        .size());
        SchedulerFixture sent = new SchedulerFixture();
        sent.repeat = Idempotency.NON_IDEMPOTENT;
        sent.start(ready("a"));
        sent.request(1, "f");
        sent.now += 2_996_000;
        List<SchedulerCommand> out =
                sent.feed(new TimerExpired(new SchedulerTimer.RequestDeadline(1)));
        assertEquals(1, every(out, FailRequest.class).size());
        assertEquals(1, every(out, CancelAttempt.class).size());
        assertTrue(sent.ended(1, 0, "a", ResponseCode.CANCELLED, StartKind.UNKNOWN, 1).isEmpty());
    }

    @Test
    void fastFailuresDoNotAttract() {
        SchedulerFixture bed = new SchedulerFixture().start(ready("a"), ready("b"));
        String bad = one(bed.request(1, "f"), ForwardAttempt.class).invoker();
        bed.ended(1, 0, bad, ResponseCode.ERROR, StartKind.UNKNOWN, 500);
        String good = bad.equals("a") ? "b" : "a";
        bed.now += 100_000;
        bed.ended(1, 1, good, ResponseCode.OK, StartKind.WARM, 100_000);
        int toBad = 0;
        for (int i = 2; i < 40; i++) {
            String to = one(bed.request(i, "f"), ForwardAttempt.class).invoker();
            toBad += to.equals(bad) ? 1 : 0;
            bed.now += 100_000;
            List<SchedulerCommand> next =
                    bed.ended(
                            i,
                            0,
                            to,
                            to.equals(bad) ? ResponseCode.ERROR : ResponseCode.OK,
                            StartKind.WARM,
                            100_000);
            every(next, ForwardAttempt.class)
                    .forEach(
                            s ->
                                    bed.ended(
                                            s.id(),
                                            1,
                                            s.invoker(),
                                            ResponseCode.OK,
                                            StartKind.WARM,
                                            100_000));
        }
        assertTrue(toBad < 4, "went to the failing invoker " + toBad + " times");
    }

    @Test
    void brokenConnectionsPauseAnInvokerAndTrialsAreSingle() {
        SchedulerFixture bed = new SchedulerFixture().start(ready("a"), ready("b"));
        String bad = one(bed.request(1, "f"), ForwardAttempt.class).invoker();
        bed.ended(1, 0, bad, ResponseCode.CONNECT_FAILED, StartKind.UNKNOWN, 250_000);
        bed.now += 300_000;
        int trials = 0;
        for (int i = 2; i < 12; i++) {
            trials +=
                    one(bed.request(i, "x" + i), ForwardAttempt.class).invoker().equals(bad)
                            ? 1
                            : 0;
        }
        assertTrue(trials <= 1);
    }

    @Test
    void renewsACopyWorthKeepingBeforeItLapses() {
        SchedulerFixture bed = new SchedulerFixture().start(ready("a"), ready("b"));
        String home = bed.warm(1, "f");
        bed.request(2, "f");
        bed.ended(2, 0, home, ResponseCode.OK, StartKind.WARM, 100_000);
        bed.now += 8_000_000;
        PreloadFunction order =
                one(
                        bed.feed(new TimerExpired(new SchedulerTimer.Maintenance())),
                        PreloadFunction.class);
        assertEquals(new PreloadFunction(home, "f", 1), order);
    }

    @Test
    void sameEventsAndSeedGiveTheSameActions() {
        List<List<SchedulerCommand>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            SchedulerFixture bed = new SchedulerFixture().start(ready("a"), ready("b"), ready("c"));
            for (int i = 1; i < 50; i++) {
                bed.now += 7_000;
                bed.request(i, "f" + i % 9);
                bed.feed(new TimerExpired(new SchedulerTimer.QueuedRequestRetry(i)));
            }
            runs.add(bed.all);
        }
        assertEquals(runs.get(0), runs.get(1));
        assertFalse(runs.get(0).isEmpty());
    }

    @Test
    void subscribesWhereTheListMustBeAskedForAndAsksAgainAfterAFailure() {
        SchedulerFixture bed = new SchedulerFixture();
        bed.discovery = DiscoveryMode.POLL;
        bed.start(ready("a"));
        assertEquals(1, every(bed.all, SubscribeToEndpoints.class).size());
        SchedulerTimer timer = one(bed.feed(new EndpointUpdateFailed()), SetTimer.class).timer();
        assertEquals(
                1, every(bed.feed(new TimerExpired(timer)), SubscribeToEndpoints.class).size());
    }

    @Test
    void reportedQueueSteersAwayWhereRequestsInHandAreUntold() {
        SchedulerFixture bed = new SchedulerFixture().start(ready("a"), ready("b"));
        bed.warm(1, "f");
        String home = one(bed.request(2, "f", 5_000_000, 300_000), ForwardAttempt.class).invoker();
        bed.feed(
                new AttemptCompleted(
                        2,
                        0,
                        home,
                        ResponseCode.OK,
                        true,
                        100_000,
                        StartKind.WARM,
                        -1,
                        Map.of("queue", 60.0)));
        assertNotEquals(
                home, one(bed.request(3, "f", 5_000_000, 300_000), ForwardAttempt.class).invoker());
    }

    @Test
    void requestsThatWaitForLoadsAreNoQueue() {
        SchedulerFixture bed = new SchedulerFixture().start(ready("a"), ready("b"));
        bed.warm(1, "f");
        String home = one(bed.request(2, "f", 5_000_000, 300_000), ForwardAttempt.class).invoker();
        bed.feed(
                new AttemptCompleted(
                        2,
                        0,
                        home,
                        ResponseCode.OK,
                        true,
                        100_000,
                        StartKind.WARM,
                        -1,
                        Map.of("queue", 900.0, "x1", 900.0)));
        assertEquals(
                home, one(bed.request(3, "f", 5_000_000, 300_000), ForwardAttempt.class).invoker());
    }

    @Test
    void aFullWarmInvokerMovesTheRequestOn() {
        SchedulerFixture bed = new SchedulerFixture().start(ready("a"), ready("b"));
        String home = bed.warm(1, "f");
        bed.request(2, "f", 5_000_000, 300_000);
        List<SchedulerCommand> out =
                bed.ended(2, 0, home, ResponseCode.FULL, StartKind.UNKNOWN, 1_000);
        assertNotEquals(
                home,
                one(out, ForwardAttempt.class).invoker(),
                "it may turn this class away for long");
    }

    @Test
    void fullForOneClassLeavesTheInvokerToTheOthers() {
        SchedulerFixture bed = new SchedulerFixture();
        bed.classes = 2;
        bed.start(ready("a"), ready("b"));
        String home = bed.warm(1, "f");
        for (int i = 2; i < 6; i++) {
            bed.feed(
                    new RequestReceived(
                            i, 1, -1, "g" + i, 5_000_000, 0, 300, 2, 300_000, false, false));
            bed.ended(i, 0, home, ResponseCode.OK, StartKind.WARM, 100_000);
            bed.warm(20 + i, "f");
        }
        for (int i = 30; i < 36; i++) {
            ForwardAttempt send =
                    one(
                            bed.feed(
                                    new RequestReceived(
                                            i, 1, -1, "f", 5_000_000, 0, 300, 2, 300_000, false,
                                            false)),
                            ForwardAttempt.class);
            bed.ended(
                    i,
                    0,
                    send.invoker(),
                    send.invoker().equals(home) ? ResponseCode.FULL : ResponseCode.OK,
                    StartKind.WARM,
                    50_000);
            bed.ended(i, 1, home.equals("a") ? "b" : "a", ResponseCode.OK, StartKind.WARM, 100_000);
            bed.now += 300_000;
        }
        assertNotEquals(
                home,
                one(
                                bed.feed(
                                        new RequestReceived(
                                                50, 1, -1, "f", 5_000_000, 0, 300, 2, 300_000,
                                                false, false)),
                                ForwardAttempt.class)
                        .invoker(),
                "turned away there");
        assertEquals(
                home,
                one(bed.request(51, "f", 5_000_000, 300_000), ForwardAttempt.class).invoker());
    }

    @Test
    void anInvokerLetGoAfterItLeftTheListIsTakenUpAgain() {
        SchedulerFixture bed = new SchedulerFixture().start(ready("a"));
        bed.warm(1, "f");
        bed.feed(
                new EndpointsUpdated(
                        false,
                        false,
                        List.of(new InvokerEndpoint("a", 0, 0, 0, EndpointState.GONE, 1, 0))));
        bed.feed(new TimerExpired(new SchedulerTimer.Maintenance()));
        assertTrue(
                bed.ordered("a", "f", 1).isEmpty(),
                "an order's late answer must not bring it back");
        assertTrue(every(bed.request(2, "f"), ForwardAttempt.class).isEmpty());
        bed.feed(new EndpointsUpdated(false, false, List.of(ready("a"))));
        assertEquals("a", one(bed.request(3, "f"), ForwardAttempt.class).invoker());
    }

    @Test
    void upkeepCostsByCopiesBelievedNotByFunctionsTimesInvokers() {
        long few = quickestUpkeep(10);
        long many = quickestUpkeep(100);
        assertTrue(
                many < 4 * few,
                "ten times the invokers, the same copies: " + few + " and " + many + " ns");
    }

    private static long quickestUpkeep(int invokers) {
        SchedulerFixture bed = new SchedulerFixture();
        InvokerEndpoint[] fleet = new InvokerEndpoint[invokers];
        for (int i = 0; i < invokers; i++) {
            fleet[i] = ready("w" + i);
        }
        bed.start(fleet);
        for (int i = 1; i <= 3_000; i++) {
            bed.feed(
                    new RequestReceived(
                            i, 0, -1, "f" + i % 1_500, 3_000_000, 0, 300, 2, 0, false, false));
        }
        long quickest = Long.MAX_VALUE;
        for (int i = 0; i < 300; i++) {
            long start = System.nanoTime();
            bed.feed(new TimerExpired(new SchedulerTimer.Maintenance()));
            quickest = Math.min(quickest, System.nanoTime() - start);
        }
        return quickest;
    }

    @Test
    void oneResetIsNoProofOfADeadProcess() {
        SchedulerFixture bed = new SchedulerFixture().start(ready("a"), ready("b"));
        String home = bed.warm(1, "f");
        bed.request(2, "f", 5_000_000, 2_000_000);
        bed.ended(2, 0, home, ResponseCode.RESET, StartKind.UNKNOWN, 50_000);
        bed.ended(2, 1, home.equals("a") ? "b" : "a", ResponseCode.FULL, StartKind.UNKNOWN, 1_000);
        bed.now += 5_000_000;
        assertEquals(
                home,
                one(bed.request(3, "f", 5_000_000, 2_000_000), ForwardAttempt.class).invoker());
    }

    @Test
    void callsWithLittleTimeLeftAreSentWhereAQuickRunFits() {
        SchedulerFixture bed = new SchedulerFixture().start(ready("a"));
        bed.warm(1, "f");
        assertEquals(
                1,
                every(bed.request(2, "f", 60_000, 0), ForwardAttempt.class).size(),
                "usual run 100 ms");
        assertEquals(1, every(bed.request(3, "f", 20_000, 0), RejectRequest.class).size());
    }

    @Test
    void callersOfAHotFunctionStartAtPlacesOfTheirOwn() {
        Set<String> hot = new TreeSet<>();
        Set<String> rare = new TreeSet<>();
        InvokerEndpoint[] fleet = new InvokerEndpoint[20];
        for (int i = 0; i < fleet.length; i++) {
            fleet[i] = ready("w" + i);
        }
        for (int seed = 0; seed < 30; seed++) {
            SchedulerFixture bed = new SchedulerFixture();
            bed.start(fleet);
            bed.control = new FinishTimeScheduler(bed.settings(), seed);
            bed.feed(new EndpointsUpdated(true, true, List.of(fleet)));
            for (int i = 1; i <= 40; i++) {
                String f = i % 2 == 0 ? "hot" : "other" + i;
                for (ForwardAttempt send : every(bed.request(i, f), ForwardAttempt.class)) {
                    bed.ended(
                            i, 0, send.invoker(), ResponseCode.ERROR, StartKind.LOAD_FAILED, 1_000);
                    if (i > 20) {
                        (i % 2 == 0 ? hot : rare).add((i % 2 == 0 ? "" : f + " ") + send.invoker());
                    }
                }
            }
        }
        assertTrue(hot.size() >= 5, "half of all calls need several invokers: " + hot);
        assertEquals(10, rare.size(), "a rare function has one home: " + rare);
    }

    @Test
    void aReportedCrowdFades() {
        for (long later : new long[] {0, 8_000_000}) {
            SchedulerFixture bed = new SchedulerFixture().start(ready("a"), ready("b"));
            String home = bed.warm(1, "f");
            bed.request(2, "f", 5_000_000, 300_000);
            bed.feed(
                    new AttemptCompleted(
                            2,
                            0,
                            home,
                            ResponseCode.OK,
                            true,
                            100_000,
                            StartKind.WARM,
                            -1,
                            Map.of("queue", 60.0)));
            bed.now += later;
            String to =
                    one(bed.request(3, "f", 5_000_000, 300_000), ForwardAttempt.class).invoker();
            assertEquals(later > 0, home.equals(to), "after " + later);
        }
    }

    @Test
    void theJamGuardHoldsForGuessesToo() {
        SchedulerFixture bed = new SchedulerFixture().start(ready("a"), ready("b"));
        int refused = 0;
        for (int i = 1; i < 30; i++) {
            List<SchedulerCommand> out = bed.request(i, "f" + i);
            refused += every(out, RejectRequest.class).size();
            every(out, ForwardAttempt.class)
                    .forEach(
                            send ->
                                    bed.feed(
                                            new AttemptCompleted(
                                                    send.id(),
                                                    0,
                                                    send.invoker(),
                                                    ResponseCode.OK,
                                                    true,
                                                    100_000,
                                                    StartKind.WARM,
                                                    -1,
                                                    Map.of("queue", 100.0))));
        }
        assertTrue(
                refused > 10,
                "all queues are long, though no function was called twice: " + refused);
    }

    @Test
    void fullForALoadLeavesWarmCopiesThereInUse() {
        SchedulerFixture bed = new SchedulerFixture().start(ready("a"));
        bed.warm(1, "f");
        bed.request(2, "cold");
        bed.ended(2, 0, "a", ResponseCode.FULL, StartKind.UNKNOWN, 1_000);
        assertEquals(1, every(bed.request(3, "f"), ForwardAttempt.class).size());
        assertTrue(every(bed.request(4, "cold2"), ForwardAttempt.class).isEmpty());
    }

    @Test
    void aJamRefusesEarlyAndTimeAlreadyHeldCounts() {
        SchedulerFixture bed = new SchedulerFixture().start(ready("a"));
        bed.warm(1, "f");
        int refused = 0;
        for (int i = 2; i < 40; i++) {
            refused += every(bed.request(i, "f", 5_000_000, 300_000), RejectRequest.class).size();
        }
        assertTrue(refused > 0 && refused < 38, "refused " + refused);
        SchedulerFixture held = new SchedulerFixture().start(ready("a"));
        held.warm(1, "f");
        for (int i = 2; i < 7; i++) {
            assertEquals(
                    1,
                    every(held.request(i, "f", 5_000_000, 300_000), ForwardAttempt.class).size());
        }
        held.now += 700_000;
        held.ended(2, 0, "a", ResponseCode.FULL, StartKind.UNKNOWN, 1_000);
        held.now += 40_000;
        List<SchedulerCommand> out =
                held.feed(new TimerExpired(new SchedulerTimer.QueuedRequestRetry(2)));
        assertEquals(1, every(out, RejectRequest.class).size(), "too late for the aim by now");
    }

    @Test
    void loadsTurnedAwayAreForgotten() {
        SchedulerFixture bed = new SchedulerFixture().start(ready("a"), ready("b"));
        String first = one(bed.request(1, "f", 5_000_000, 900_000), ForwardAttempt.class).invoker();
        bed.ended(1, 0, first, ResponseCode.FULL, StartKind.UNKNOWN, 1_000);
        bed.now += 4_000_000;
        String again = one(bed.request(2, "f", 1_100_000, 900_000), ForwardAttempt.class).invoker();
        assertFalse(again.isEmpty(), "a load turned away must not go on counting as one under way");
    }

    /**
     * Calls of one function at one invoker, so many out at a time, of which some break, told apart
     * by the test.
     */
    private static void breakSome(SchedulerFixture bed, int from, int calls, IntPredicate breaks) {
        for (int i = from; i < from + calls; i++) {
            String to = one(bed.request(i, "f"), ForwardAttempt.class).invoker();
            bed.now += 60_000;
            bed.ended(
                    i,
                    0,
                    to,
                    breaks.test(i) ? ResponseCode.RESET : ResponseCode.OK,
                    StartKind.WARM,
                    60_000);
            if (breaks.test(i)) {
                bed.feed(new RequestAbandoned(i));
            }
        }
    }

    @Test
    void connectionsThatBreakEverywhereLeaveNoInvokerForFresh() {
        SchedulerFixture bed = new SchedulerFixture();
        bed.repeat = Idempotency.NON_IDEMPOTENT;
        bed.start(ready("a"));
        breakSome(bed, 1, 60, i -> i % 4 == 0 || i % 4 == 1); // two in a row, again and again
        bed.now += 2_000_000; // a pause, if there was one, is over
        int sent = 0;
        for (int i = 100; i < 140; i++) {
            sent += every(bed.request(i, "f"), ForwardAttempt.class).size();
            bed.now += 10_000;
            bed.ended(i, 0, "a", ResponseCode.OK, StartKind.WARM, 10_000);
        }
        assertEquals(40, sent, "an invoker taken for fresh would get some of these alone");
    }

    @Test
    void anInvokerWhoseAttemptsAllBreakAtOnceIsTakenForFresh() {
        SchedulerFixture bed = new SchedulerFixture();
        bed.repeat = Idempotency.NON_IDEMPOTENT;
        bed.start(ready("a"));
        breakSome(bed, 1, 40, i -> false);
        for (int i = 50; i < 54; i++) {
            one(bed.request(i, "f"), ForwardAttempt.class);
        }
        for (int i = 50; i < 54; i++) {
            bed.ended(i, 0, "a", ResponseCode.RESET, StartKind.UNKNOWN, 1_000);
        }
        bed.now += 2_000_000;
        int sent = 0;
        for (int i = 100; i < 120; i++) {
            List<SchedulerCommand> out = bed.request(i, "f");
            sent += every(out, ForwardAttempt.class).size();
            if (i == 100) {
                bed.ended(100, 0, "a", ResponseCode.OK, StartKind.COLD, 60_000);
            }
        }
        assertTrue(sent >= 1 && sent < 12, "within the budget of a fresh one: " + sent);
    }

    @Test
    void aBrokenOrderIsAskedForAgainWhereItWasAndItsCopyIsStillBelieved() {
        SchedulerFixture bed = new SchedulerFixture();
        bed.missAnswers = true;
        bed.start(ready("a"), ready("b"));
        String to = one(bed.request(1, "f"), ForwardAttempt.class).invoker();
        PreloadFunction order =
                one(
                        bed.ended(1, 0, to, ResponseCode.NOT_LOADED, StartKind.UNKNOWN, 1_000),
                        PreloadFunction.class);
        assertEquals(to, order.invoker());
        List<SchedulerCommand> out =
                bed.feed(new PreloadCompleted(to, "f", ResponseCode.RESET, 5_000, 0));
        assertEquals(to, one(out, PreloadFunction.class).invoker());
        int orders = 1;
        for (; orders < 100 && every(out, PreloadFunction.class).size() == 1; orders++) {
            out = bed.feed(new PreloadCompleted(to, "f", ResponseCode.RESET, 5_000, 0));
        }
        assertTrue(orders < 10, "not for ever: " + orders);
        bed.now += 10_000_000;
        out = bed.feed(new PreloadCompleted(to, "f", ResponseCode.CONNECT_FAILED, 5_000, 0));
        assertTrue(
                every(out, PreloadFunction.class).isEmpty(),
                "at a process that has ended it is not");
    }

    /** Some calls out at a warm invoker that then gives no sign, and what the upkeep takes back. */
    private static List<CancelAttempt> takenBack(
            boolean missAnswers, Idempotency repeat, int calls, long silence) {
        SchedulerFixture bed = new SchedulerFixture();
        bed.missAnswers = missAnswers;
        bed.repeat = repeat;
        bed.start(ready("a"), ready("b"));
        String home = bed.warm(1, "f");
        for (int i = 2; i < 2 + calls; i++) {
            assertEquals(home, one(bed.request(i, "f"), ForwardAttempt.class).invoker());
        }
        bed.now += silence;
        List<SchedulerCommand> out = bed.feed(new TimerExpired(new SchedulerTimer.Maintenance()));
        for (CancelAttempt cancel : every(out, CancelAttempt.class)) {
            ForwardAttempt again =
                    one(
                            bed.ended(
                                    cancel.id(),
                                    cancel.attempt(),
                                    home,
                                    ResponseCode.CANCELLED,
                                    StartKind.UNKNOWN,
                                    silence),
                            ForwardAttempt.class);
            assertTrue(!again.invoker().equals(home), "not sent there again");
        }
        return every(out, CancelAttempt.class);
    }

    @Test
    void callsAtAnInvokerThatFellSilentAreTakenBackWhereTheyMayBeRepeated() {
        assertEquals(2, takenBack(true, Idempotency.IDEMPOTENT, 2, 1_500_000).size());
        assertEquals(
                0,
                takenBack(true, Idempotency.NON_IDEMPOTENT, 2, 1_500_000).size(),
                "they may have run");
        assertEquals(
                0,
                takenBack(true, Idempotency.IDEMPOTENT, 1, 1_500_000).size(),
                "one may just be long");
        assertEquals(
                0, takenBack(true, Idempotency.IDEMPOTENT, 2, 300_000).size(), "too soon to tell");
        assertEquals(
                0,
                takenBack(false, Idempotency.IDEMPOTENT, 2, 1_500_000).size(),
                "they may wait for a load there");
    }

    @Test
    void aControllerThatBeganWithMissesFindsThatCopiesStand() {
        SchedulerFixture bed = new SchedulerFixture();
        bed.missAnswers = true;
        bed.start(ready("a"), ready("b"), ready("c"));
        int refused = 0;
        for (int i = 1; i <= 300; i++) {
            List<SchedulerCommand> out = bed.request(i, "f" + i, 2_400_000, 3_000_000);
            bed.now += 10_000;
            for (ForwardAttempt send : every(out, ForwardAttempt.class)) {
                boolean misses = i <= 2; // all other functions stand wherever they are asked for
                bed.ended(
                        i,
                        0,
                        send.invoker(),
                        misses ? ResponseCode.NOT_LOADED : ResponseCode.OK,
                        StartKind.UNKNOWN,
                        misses ? 1_000 : 60_000);
            }
            refused += i > 200 && every(out, RejectRequest.class).size() > 0 ? 1 : 0;
        }
        assertEquals(0, refused, "of the last hundred");
    }
}
