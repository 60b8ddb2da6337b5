package waytrestle.requests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import waytrestle.requests.IdempotencyStore.KeyedRequest;
import waytrestle.requests.IdempotencyStore.LookupResult.Completed;
import waytrestle.requests.IdempotencyStore.LookupResult.InFlight;
import waytrestle.requests.IdempotencyStore.LookupResult.NewRequest;
import waytrestle.requests.RequestOutcome.Failed;
import waytrestle.requests.RequestOutcome.Reason;
import waytrestle.requests.RequestOutcome.Rejected;
import waytrestle.requests.RequestOutcome.Served;
import waytrestle.scheduler.Idempotency;

/** The memory of ids: joined, given again, forgotten, and what gives way at its bounds. */
class IdempotencyStoreTest {
    private static final long START = 1_000; // wall seconds at the gateway's start
    private static final long SECOND = 1_000_000;
    private long now = 50 * SECOND, wall = START + 10, calls;
    private IdempotencyStore memory =
            new IdempotencyStore(new IdempotencyStore.Bounds(4, 1 << 20, 300), START);

    private KeyedRequest arrival(String id, Idempotency repeat) {
        return new KeyedRequest(id, repeat, repeat == Idempotency.KEYED ? 8 * SECOND : 0, wall, 7);
    }

    private IdempotencyStore.LookupResult arrive(KeyedRequest a) {
        return memory.lookUp(now, wall, a);
    }

    private long begin(KeyedRequest a) {
        assertInstanceOf(NewRequest.class, arrive(a));
        memory.requestStarted(++calls, a);
        return calls;
    }

    private KeyedRequest ended(String id, Idempotency repeat, RequestOutcome end, long mayRunAt) {
        KeyedRequest a = arrival(id, repeat);
        memory.requestCompleted(now, begin(a), end, mayRunAt);
        return a;
    }

    private Reason why(IdempotencyStore.LookupResult v) {
        RequestOutcome end = assertInstanceOf(Completed.class, v).outcome();
        return end instanceof Failed f ? f.reason() : ((Rejected) end).reason();
    }

    @Test
    void anOpenCallIsJoinedAndItsEndGivenAgain() {
        for (Idempotency repeat : Idempotency.values()) {
            KeyedRequest a = arrival("id-" + repeat, repeat);
            long call = begin(a);
            assertEquals(new InFlight(call), arrive(a));
            Served answer = new Served("text/plain", new byte[] {1});
            memory.requestCompleted(now, call, answer, now);
            assertEquals(new Completed(answer), arrive(a));
        }
    }

    @Test
    void aFailureThatMayHaveRunIsGivenAgainAndARefusalIsNot() {
        Failed failure = new Failed(Reason.ATTEMPTS_FAILED, true);
        assertEquals(
                new Completed(failure),
                arrive(ended("a", Idempotency.NON_IDEMPOTENT, failure, now)));
        assertEquals(
                new NewRequest(0),
                arrive(
                        ended(
                                "b",
                                Idempotency.NON_IDEMPOTENT,
                                new Rejected(Reason.NO_FINISH_IN_TIME, 0),
                                0)));
        assertEquals(1, memory.size());
    }

    @Test
    void whatItsClientLeftIsNewOnlyWhereRunningAgainIsHarmless() {
        Failed left = new Failed(Reason.ABANDONED, true);
        assertEquals(new NewRequest(0), arrive(ended("a", Idempotency.IDEMPOTENT, left, now)));
        assertEquals(
                new NewRequest(0),
                arrive(ended("b", Idempotency.NON_IDEMPOTENT, left, 0)),
                "never sent");
        assertEquals(
                new Completed(left), arrive(ended("c", Idempotency.NON_IDEMPOTENT, left, now)));
    }

    @Test
    void aKeyedRefusalThatMayHaveRunIsNewOnlyWithinItsWindow() {
        KeyedRequest a =
                ended("k", Idempotency.KEYED, new Rejected(Reason.NO_FINISH_IN_TIME, 0), now);
        assertEquals(new NewRequest(now + 8 * SECOND), arrive(a));
        long first = now;
        now += 3 * SECOND;
        memory.requestStarted(++calls, a);
        memory.requestCompleted(now, calls, new Rejected(Reason.NO_FINISH_IN_TIME, 0), now);
        assertEquals(
                new NewRequest(first + 8 * SECOND),
                arrive(a),
                "the window begins with the first that may have run");
        now = first + 8 * SECOND;
        assertEquals(Reason.DEDUPLICATION_WINDOW_PASSED, why(arrive(a)));
    }

    @Test
    void anotherPayloadUnderAnIdIsTurnedAway() {
        KeyedRequest a = arrival("a", Idempotency.IDEMPOTENT);
        begin(a);
        assertEquals(
                Reason.PAYLOAD_MISMATCH,
                why(arrive(new KeyedRequest("a", Idempotency.IDEMPOTENT, 0, wall, 8))));
    }

    @Test
    void whatWasSignedBeforeTheStartIsNotRunUnlessSafe() {
        KeyedRequest before = new KeyedRequest("a", Idempotency.NON_IDEMPOTENT, 0, START, 7);
        assertEquals(Reason.SIGNED_BEFORE_STORE, why(arrive(before)));
        assertEquals(
                Reason.SIGNED_BEFORE_STORE,
                why(arrive(new KeyedRequest("a", Idempotency.KEYED, 1, START - 5, 7))));
        assertInstanceOf(
                NewRequest.class,
                arrive(new KeyedRequest("a", Idempotency.IDEMPOTENT, 0, START - 5, 7)));
        assertInstanceOf(
                NewRequest.class,
                arrive(new KeyedRequest("a", Idempotency.NON_IDEMPOTENT, 0, START + 1, 7)));
    }

    @Test
    void itIsForgottenOnlyWhenNoSignatureOfItIsAcceptedAnyMore() {
        KeyedRequest a =
                ended(
                        "a",
                        Idempotency.NON_IDEMPOTENT,
                        new Failed(Reason.ATTEMPTS_FAILED, true),
                        now);
        now += 301 * SECOND;
        assertInstanceOf(
                Completed.class,
                arrive(a),
                "the wall clock stood still: its signature is still accepted");
        wall += 301;
        arrive(arrival("other", Idempotency.IDEMPOTENT));
        assertEquals(0, memory.size());
    }

    @Test
    void aWallClockThatStepsBackBringsNothingForgottenBack() {
        KeyedRequest a = ended("a", Idempotency.NON_IDEMPOTENT, new Served("", new byte[0]), now);
        now += 301 * SECOND;
        wall += 301;
        assertEquals(Reason.SIGNED_BEFORE_STORE, why(arrive(a)));
        wall -= 301;
        assertEquals(Reason.SIGNED_BEFORE_STORE, why(arrive(a)));
    }

    @Test
    void fullOfSafeEndsItLetsTheOldestGo() {
        for (int i = 0; i < 4; i++) {
            ended("s" + i, Idempotency.IDEMPOTENT, new Served("", new byte[0]), now);
        }
        begin(arrival("new", Idempotency.NON_IDEMPOTENT));
        assertEquals(4, memory.size());
        assertInstanceOf(NewRequest.class, arrive(arrival("s0", Idempotency.IDEMPOTENT)));
        assertInstanceOf(Completed.class, arrive(arrival("s3", Idempotency.IDEMPOTENT)));
    }

    /** What was let go is held nowhere, whatever older end still stands before it. */
    @Test
    void whatIsLetGoIsNotHeldOn() {
        ended("old", Idempotency.NON_IDEMPOTENT, new Served("", new byte[0]), now);
        for (int i = 0; i < 1_000; i++) {
            now += 1_000;
            ended("s" + i, Idempotency.IDEMPOTENT, new Served("", new byte[1_000]), now);
        }
        assertTrue(
                memory.size() <= 4 && memory.outcomesHeld() <= 4,
                memory.size() + " entries, " + memory.outcomesHeld() + " ends");
    }

    @Test
    void fullOfWhatMustNotRunTwiceItRefusesAndNeverForgets() {
        for (int i = 0; i < 4; i++) {
            ended("u" + i, Idempotency.NON_IDEMPOTENT, new Served("", new byte[0]), now);
        }
        for (Idempotency repeat : Idempotency.values()) {
            assertEquals(Reason.IDEMPOTENCY_STORE_FULL, why(arrive(arrival("new", repeat))));
        }
        for (int i = 0; i < 4; i++) {
            assertInstanceOf(Completed.class, arrive(arrival("u" + i, Idempotency.NON_IDEMPOTENT)));
        }
    }

    @Test
    void fullOfBytesItLetsAnswersGoButNotThatTheyWereGiven() {
        memory = new IdempotencyStore(new IdempotencyStore.Bounds(100, 4_000, 300), START);
        KeyedRequest first =
                ended("u0", Idempotency.NON_IDEMPOTENT, new Served("", new byte[1_500]), now);
        ended("u1", Idempotency.NON_IDEMPOTENT, new Served("", new byte[1_500]), now);
        ended("u2", Idempotency.NON_IDEMPOTENT, new Served("", new byte[1_500]), now);
        assertTrue(memory.bytes() <= 4_000, "bytes " + memory.bytes());
        assertEquals(Reason.RESPONSE_EVICTED, why(arrive(first)));
        assertInstanceOf(
                Served.class,
                ((Completed) arrive(arrival("u2", Idempotency.NON_IDEMPOTENT))).outcome());
    }
}
