package waytrestle.requests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import waytrestle.Bytes;
import waytrestle.requests.RequestOutcome.Failed;
import waytrestle.requests.RequestOutcome.Reason;
import waytrestle.requests.RequestOutcome.Rejected;
import waytrestle.requests.RequestOutcome.Served;
import waytrestle.scheduler.DeduplicationScope;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.ResponseCode;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/** The desk: who is told what, once, in time. */
class PendingRequestsTest {
    private static final long TICK = 10_000, SECOND = 1_000_000;
    private static final Served ANSWER = new Served("t", new byte[] {1});

    private static RequestClass kind(Idempotency repeat, DeduplicationScope group) {
        return new RequestClass(
                repeat.name(), repeat, group, 2 * SECOND, SECOND, 0, 3 * SECOND, 1, 0.3, false);
    }

    private final PendingRequests desk =
            new PendingRequests(
                    List.of(
                            kind(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                            kind(Idempotency.KEYED, DeduplicationScope.CELL),
                            kind(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL)),
                    3,
                    TICK,
                    new IdempotencyStore(new IdempotencyStore.Bounds(1_000, 1 << 20, 300), 0),
                    AdmissionControl.ADMIT_ALL,
                    true);
    private final List<PendingRequests.Command> last = new ArrayList<>();
    private long now = 5 * SECOND;

    private List<PendingRequests.Command> on(PendingRequests.Event event) {
        last.clear();
        desk.handle(now, 1_000, event, last::add);
        return List.copyOf(last);
    }

    private PendingRequests.RequestArrived arrived(long waiter, int kind, String id, long left) {
        Idempotency repeat = Idempotency.values()[kind];
        return new PendingRequests.RequestArrived(
                waiter,
                kind,
                -1,
                0,
                id == null
                        ? null
                        : new IdempotencyStore.KeyedRequest(id, repeat, 2 * SECOND, 1_000, 7),
                left);
    }

    private <T extends PendingRequests.Command> T one(Class<T> type) {
        List<T> found = last.stream().filter(type::isInstance).map(type::cast).toList();
        assertEquals(1, found.size(), "of " + type.getSimpleName() + " in " + last);
        return found.get(0);
    }

    private long begin(long waiter, int kind, String id) {
        on(arrived(waiter, kind, id, 3 * SECOND));
        return one(PendingRequests.StartRequest.class).requestId();
    }

    private RequestOutcome endOf(long waiter) {
        return last.stream()
                .filter(
                        a ->
                                a instanceof PendingRequests.RespondToClient x
                                        && x.clientId() == waiter)
                .map(a -> ((PendingRequests.RespondToClient) a).outcome())
                .findFirst()
                .orElse(null);
    }

    @Test
    void aRepeatJoinsAndBothGetTheOneEnd() {
        long call = begin(1, 2, "a");
        on(arrived(2, 2, "a", 3 * SECOND));
        assertTrue(last.stream().noneMatch(x -> x instanceof PendingRequests.StartRequest));
        on(new PendingRequests.AttemptForwarded(call, 0));
        on(new PendingRequests.AttemptCompleted(call, 0, ResponseCode.OK, ANSWER, true, "200"));
        assertEquals(ANSWER, endOf(1));
        assertEquals(ANSWER, endOf(2));
        on(arrived(3, 2, "a", SECOND));
        assertEquals(ANSWER, endOf(3), "after the end it is given again");
    }

    @Test
    void aJoinedWaiterWithLessTimeIsToldThatItIsStillOpen() {
        long call = begin(1, 2, "a");
        on(arrived(2, 2, "a", SECOND));
        long wake = one(PendingRequests.SetDeadlineTimer.class).afterMicros();
        assertTrue(wake < SECOND);
        now += wake;
        on(new PendingRequests.DeadlineExpired(2));
        assertEquals(new Failed(Reason.STILL_IN_FLIGHT, true), endOf(2));
        on(new PendingRequests.AttemptForwarded(call, 0));
        on(new PendingRequests.AttemptCompleted(call, 0, ResponseCode.OK, ANSWER, true, "200"));
        assertEquals(ANSWER, endOf(1));
        assertEquals(null, endOf(2), "nothing after an answer");
    }

    @Test
    void whatComesWithItsTimeGoneIsRefusedUnsent() {
        on(arrived(1, 2, "a", TICK));
        assertEquals(new Rejected(Reason.NO_FINISH_IN_TIME, 0), endOf(1));
        begin(2, 2, "a");
        on(arrived(3, 2, "a", -5));
        assertEquals(new Failed(Reason.STILL_IN_FLIGHT, true), endOf(3));
    }

    @Test
    void theCallGoesOnUntilTheLastOfItsWaitersLeft() {
        long call = begin(1, 0, "a");
        on(arrived(2, 0, "a", 3 * SECOND));
        assertEquals(List.of(), on(new PendingRequests.ClientDisconnected(1)));
        on(new PendingRequests.ClientDisconnected(2));
        assertEquals(call, one(PendingRequests.AbandonRequest.class).requestId());
        assertEquals(0, desk.inFlight());
        assertEquals(0, desk.waitingClients());
    }

    @Test
    void aRefusalIsGivenOnlyWhereItIsProvedHarmless() {
        for (int kind = 0; kind < 3; kind++) {
            for (ResponseCode code :
                    new ResponseCode[] {
                        ResponseCode.RESET, ResponseCode.FULL, null
                    }) { // null: still out
                long call = begin(10, kind, "r" + kind + code);
                on(new PendingRequests.AttemptForwarded(call, 0));
                if (code != null) {
                    on(new PendingRequests.AttemptCompleted(call, 0, code, null, false, "x"));
                }
                on(new PendingRequests.SchedulerRejectedRequest(call, 500, 9 * SECOND));
                boolean harmless = kind == 0 || code == ResponseCode.FULL;
                RequestOutcome end = endOf(10);
                RequestOutcome.AttemptSummary tried =
                        new RequestOutcome.AttemptSummary(1, code == null ? "" : "x");
                assertEquals(
                        harmless
                                ? new Rejected(Reason.NO_FINISH_IN_TIME, 500, tried)
                                : new Failed(
                                        code == null
                                                ? Reason.ATTEMPTS_FAILED
                                                : Reason.CONNECTION_LOST,
                                        true,
                                        tried),
                        end,
                        kind + " " + code);
            }
        }
    }

    /**
     * A keyed call that may have run is harmless to repeat while invokers drop repeats, and not
     * after.
     */
    @Test
    void aKeyedCallIsRefusedWithinItsWindowOnly() {
        PendingRequests all =
                new PendingRequests(
                        List.of(kind(Idempotency.KEYED, DeduplicationScope.ALL)),
                        9,
                        TICK,
                        new IdempotencyStore(new IdempotencyStore.Bounds(9, 1 << 20, 300), 0),
                        AdmissionControl.ADMIT_ALL,
                        true);
        for (long after : new long[] {SECOND, 2 * SECOND + 1}) {
            List<PendingRequests.Command> out = new ArrayList<>();
            all.handle(
                    now,
                    1_000,
                    new PendingRequests.RequestArrived(after, 0, -1, 0, null, 3 * SECOND),
                    out::add);
            long call =
                    out.stream()
                            .filter(PendingRequests.StartRequest.class::isInstance)
                            .map(a -> ((PendingRequests.StartRequest) a).requestId())
                            .findFirst()
                            .get();
            all.handle(now, 1_000, new PendingRequests.AttemptForwarded(call, 0), out::add);
            all.handle(
                    now + after,
                    1_000,
                    new PendingRequests.SchedulerRejectedRequest(call, 0, -1),
                    out::add);
            RequestOutcome end =
                    ((PendingRequests.RespondToClient) out.get(out.size() - 1)).outcome();
            assertEquals(after < 2 * SECOND, end instanceof Rejected, end.toString());
            now += 5 * SECOND;
        }
    }

    @Test
    void theBackstopAnswersWhatTheModuleForgot() {
        long call = begin(1, 2, "a");
        on(new PendingRequests.AttemptForwarded(call, 0));
        now += 3 * SECOND - TICK / 2;
        on(new PendingRequests.DeadlineExpired(1));
        assertEquals(
                new Failed(
                        Reason.DEADLINE_EXCEEDED, true, new RequestOutcome.AttemptSummary(1, "")),
                endOf(1));
        assertEquals(call, one(PendingRequests.AbandonRequest.class).requestId());
    }

    @Test
    void tooManyOpenAndStoppingAreRefusedUnsentButRepeatsStillJoin() {
        begin(1, 0, "a");
        begin(2, 0, "b");
        begin(3, 0, "c");
        on(arrived(4, 0, "d", SECOND));
        assertEquals(new Rejected(Reason.TOO_MANY_IN_FLIGHT, 0), endOf(4));
        on(new PendingRequests.ShutdownStarted());
        on(arrived(5, 0, "a", SECOND));
        assertEquals(null, endOf(5));
        on(arrived(6, 0, "e", SECOND));
        assertInstanceOf(Rejected.class, endOf(6));
        on(new PendingRequests.ShutdownGraceExpired());
        assertEquals(
                4, last.stream().filter(a -> a instanceof PendingRequests.RespondToClient).count());
        assertEquals(0, desk.inFlight());
    }

    @Test
    void aCallWhoseDecisionFailedIsFailedAtOnce() {
        long call = begin(1, 2, "a");
        on(new PendingRequests.SchedulerThrew(call));
        assertEquals(new Failed(Reason.INTERNAL_ERROR, false), endOf(1));
    }

    /**
     * Whatever comes in whatever order: one answer a waiter unless it left, before its time is up,
     * none after.
     */
    @Property(tries = 300, seed = "42")
    void everyWaiterIsAnsweredOnceAndInTime(@ForAll long seed) {
        Random random = new Random(seed);
        Map<Long, Long> deadline = new HashMap<>();
        Map<Long, Integer> answers = new HashMap<>();
        List<Long> left = new ArrayList<>();
        List<Long> known = new ArrayList<>(List.of(1L));
        PriorityQueue<long[]> wakes = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
        long waiter = 0;
        for (int step = 0; step < 120 || !wakes.isEmpty(); step++) {
            long next = now + random.nextInt(100_000);
            PendingRequests.Event event;
            if (!wakes.isEmpty() && (wakes.peek()[0] <= next || step >= 120)) {
                now = Math.max(now, wakes.peek()[0]);
                event = new PendingRequests.DeadlineExpired(wakes.poll()[1]);
            } else {
                now = next;
                long call = known.get(random.nextInt(known.size()));
                event =
                        switch (random.nextInt(9)) {
                            case 0, 1, 2 -> {
                                long time = SECOND / 2 + random.nextInt(2_000_000);
                                deadline.put(++waiter, now + time);
                                yield arrived(
                                        waiter,
                                        random.nextInt(3),
                                        random.nextInt(4) == 0 ? null : "i" + random.nextInt(6),
                                        time);
                            }
                            case 3 -> {
                                long who = 1 + random.nextInt((int) waiter + 1);
                                left.add(who);
                                yield new PendingRequests.ClientDisconnected(who);
                            }
                            case 4 -> new PendingRequests.AttemptForwarded(call, random.nextInt(3));
                            case 5 -> {
                                ResponseCode code =
                                        ResponseCode.values()[
                                                random.nextInt(ResponseCode.values().length)];
                                yield new PendingRequests.AttemptCompleted(
                                        call,
                                        random.nextInt(3),
                                        code,
                                        code == ResponseCode.OK
                                                ? ANSWER
                                                : random.nextInt(3) == 0
                                                        ? new RequestOutcome.FunctionError(
                                                                500,
                                                                "t",
                                                                Bytes.NONE,
                                                                true,
                                                                RequestOutcome.AttemptSummary.NONE)
                                                        : null,
                                        random.nextBoolean(),
                                        "x");
                            }
                            case 6 ->
                                    new PendingRequests.SchedulerRejectedRequest(
                                            call, 5, random.nextInt(9) - 2);
                            case 7 -> new PendingRequests.SchedulerFailedRequest(call);
                            default -> new PendingRequests.SchedulerThrew(call);
                        };
            }
            for (PendingRequests.Command action : on(event)) {
                if (action instanceof PendingRequests.RespondToClient a) {
                    assertEquals(
                            1,
                            answers.merge(a.clientId(), 1, Integer::sum),
                            "answers to one waiter");
                    assertTrue(now <= deadline.get(a.clientId()), "past its time");
                } else if (action instanceof PendingRequests.StartRequest b) {
                    known.add(b.requestId());
                } else if (action instanceof PendingRequests.SetDeadlineTimer w) {
                    wakes.add(new long[] {now + w.afterMicros(), w.clientId()});
                }
            }
        }
        deadline.keySet()
                .forEach(
                        w ->
                                assertTrue(
                                        answers.containsKey(w) || left.contains(w),
                                        "no answer to " + w));
        assertEquals(0, desk.inFlight());
    }
}
