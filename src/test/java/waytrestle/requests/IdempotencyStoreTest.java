package waytrestle.requests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import waytrestle.Bytes;
import waytrestle.requests.IdempotencyStore.Bounds;
import waytrestle.requests.IdempotencyStore.KeyedRequest;
import waytrestle.requests.IdempotencyStore.LookupResult;
import waytrestle.requests.IdempotencyStore.LookupResult.Completed;
import waytrestle.requests.IdempotencyStore.LookupResult.InFlight;
import waytrestle.requests.IdempotencyStore.LookupResult.NewRequest;
import waytrestle.requests.RequestOutcome.Failed;
import waytrestle.requests.RequestOutcome.Reason;
import waytrestle.requests.RequestOutcome.Rejected;
import waytrestle.requests.RequestOutcome.Served;
import waytrestle.scheduler.Idempotency;

/**
 * Checks the lookup result of repeats, that is, requests with a known idempotency key, and what the
 * idempotency store evicts at its bounds.
 */
class IdempotencyStoreTest {
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long START_WALL_SECONDS = 1_000;
    private static final long TOLERANCE_SECONDS = 300;
    private static final long DEDUPLICATION_WINDOW_MICROS = 8 * MICROS_PER_SECOND;
    private static final long PAYLOAD_DIGEST = 7;
    private static final int MAX_ENTRIES = 4;
    private static final Served EMPTY_RESPONSE = responseOf(0);

    private long now = 50 * MICROS_PER_SECOND;
    private long wallSeconds = START_WALL_SECONDS + 10;
    private long lastRequestId;
    private IdempotencyStore store = storeOf(MAX_ENTRIES, 1 << 20);

    private static IdempotencyStore storeOf(int maxEntries, long maxBytes) {
        return new IdempotencyStore(
                new Bounds(maxEntries, maxBytes, TOLERANCE_SECONDS), START_WALL_SECONDS);
    }

    private static Served responseOf(int bytes) {
        return new Served("", new byte[bytes]);
    }

    /**
     * A small response in chunks comes in an array of 16 KiB. Guards against a store that counts
     * the bytes and keeps the array: within half a minute it filled the heap.
     */
    @Test
    void keptResponseRetainsAndCountsItsOwnSizeAlone() {
        Bytes small = Bytes.of(List.of(new byte[16 * 1024]), /* lastLength= */ 52);
        KeyedRequest request = request("a", Idempotency.IDEMPOTENT);
        long requestId = ++lastRequestId;
        store.requestStarted(requestId, request);
        long bytesBefore = store.bytes();
        store.requestCompleted(now, requestId, new Served("", small, -1), now);
        Completed kept = assertInstanceOf(Completed.class, lookUp(request));
        Bytes body = assertInstanceOf(Served.class, kept.outcome()).body();
        assertEquals(small, body);
        assertEquals(52, body.retainedBytes());
        assertEquals(52, store.bytes() - bytesBefore);
    }

    private KeyedRequest request(String key, Idempotency idempotency) {
        return requestSignedAt(key, idempotency, wallSeconds);
    }

    private static KeyedRequest requestSignedAt(
            String key, Idempotency idempotency, long signedAtSeconds) {
        long windowMicros = idempotency == Idempotency.KEYED ? DEDUPLICATION_WINDOW_MICROS : 0;
        return new KeyedRequest(key, idempotency, windowMicros, signedAtSeconds, PAYLOAD_DIGEST);
    }

    private LookupResult lookUp(KeyedRequest request) {
        return store.lookUp(now, wallSeconds, request);
    }

    private long start(KeyedRequest request) {
        assertInstanceOf(NewRequest.class, lookUp(request));
        store.requestStarted(++lastRequestId, request);
        return lastRequestId;
    }

    private KeyedRequest completed(
            String key, Idempotency idempotency, RequestOutcome outcome, long mayHaveRunSince) {
        KeyedRequest request = request(key, idempotency);
        store.requestCompleted(now, start(request), outcome, mayHaveRunSince);
        return request;
    }

    private static Reason reasonOf(LookupResult result) {
        RequestOutcome outcome = assertInstanceOf(Completed.class, result).outcome();
        if (outcome instanceof Failed failed) {
            return failed.reason();
        }
        return ((Rejected) outcome).reason();
    }

    @Test
    void repeatJoinsTheRequestInFlightAndThenGetsItsOutcome() {
        for (Idempotency idempotency : Idempotency.values()) {
            KeyedRequest request = request("key-" + idempotency, idempotency);
            long requestId = start(request);
            assertEquals(new InFlight(requestId), lookUp(request));
            Served response = new Served("text/plain", new byte[] {1});
            store.requestCompleted(now, requestId, response, now);
            assertEquals(new Completed(response), lookUp(request));
        }
    }

    @Test
    void repeatAfterFailureThatMayHaveRunGetsTheFailure() {
        Failed failure = new Failed(Reason.ATTEMPTS_FAILED, true);
        KeyedRequest request = completed("a", Idempotency.NON_IDEMPOTENT, failure, now);
        assertEquals(new Completed(failure), lookUp(request));
    }

    @Test
    void repeatAfterRejectionIsNewAndItsKeyIsNotStored() {
        Failed failure = new Failed(Reason.ATTEMPTS_FAILED, true);
        completed("a", Idempotency.NON_IDEMPOTENT, failure, now);
        Rejected rejection = new Rejected(Reason.NO_FINISH_IN_TIME, 0);
        KeyedRequest rejected = completed("b", Idempotency.NON_IDEMPOTENT, rejection, 0);
        assertEquals(new NewRequest(0), lookUp(rejected));
        assertEquals(1, store.size());
    }

    @Test
    void repeatOfAbandonedRequestIsNewOnlyIfRunningAgainIsHarmless() {
        Failed abandoned = new Failed(Reason.ABANDONED, true);
        assertEquals(
                new NewRequest(0), lookUp(completed("a", Idempotency.IDEMPOTENT, abandoned, now)));
        assertEquals(
                new NewRequest(0),
                lookUp(completed("b", Idempotency.NON_IDEMPOTENT, abandoned, 0)),
                "request of which no attempt was forwarded");
        assertEquals(
                new Completed(abandoned),
                lookUp(completed("c", Idempotency.NON_IDEMPOTENT, abandoned, now)));
    }

    @Test
    void repeatOfRejectedKeyedRequestIsNewOnlyWithinItsDeduplicationWindow() {
        Rejected rejection = new Rejected(Reason.NO_FINISH_IN_TIME, 0);
        KeyedRequest request = completed("k", Idempotency.KEYED, rejection, now);
        assertEquals(new NewRequest(now + DEDUPLICATION_WINDOW_MICROS), lookUp(request));
        long firstForwardedAtMicros = now;
        now += 3 * MICROS_PER_SECOND;
        store.requestStarted(++lastRequestId, request);
        store.requestCompleted(now, lastRequestId, rejection, now);
        assertEquals(
                new NewRequest(firstForwardedAtMicros + DEDUPLICATION_WINDOW_MICROS),
                lookUp(request),
                "the window begins with the first attempt that may have run");
        now = firstForwardedAtMicros + DEDUPLICATION_WINDOW_MICROS;
        assertEquals(Reason.DEDUPLICATION_WINDOW_PASSED, reasonOf(lookUp(request)));
    }

    @Test
    void repeatWithAnotherPayloadFailsWithPayloadMismatch() {
        start(request("a", Idempotency.IDEMPOTENT));
        KeyedRequest other =
                new KeyedRequest("a", Idempotency.IDEMPOTENT, 0, wallSeconds, PAYLOAD_DIGEST + 1);
        assertEquals(Reason.PAYLOAD_MISMATCH, reasonOf(lookUp(other)));
    }

    @Test
    void requestSignedBeforeStoreCreationIsNewOnlyIfIdempotent() {
        assertEquals(
                Reason.SIGNED_BEFORE_STORE,
                reasonOf(
                        lookUp(
                                requestSignedAt(
                                        "a", Idempotency.NON_IDEMPOTENT, START_WALL_SECONDS))));
        assertEquals(
                Reason.SIGNED_BEFORE_STORE,
                reasonOf(lookUp(requestSignedAt("a", Idempotency.KEYED, START_WALL_SECONDS - 5))));
        assertInstanceOf(
                NewRequest.class,
                lookUp(requestSignedAt("a", Idempotency.IDEMPOTENT, START_WALL_SECONDS - 5)));
        assertInstanceOf(
                NewRequest.class,
                lookUp(requestSignedAt("a", Idempotency.NON_IDEMPOTENT, START_WALL_SECONDS + 1)));
    }

    @Test
    void completedEntryExpiresOnlyWhenItsSignatureIsNoLongerAccepted() {
        Failed failure = new Failed(Reason.ATTEMPTS_FAILED, true);
        KeyedRequest request = completed("a", Idempotency.NON_IDEMPOTENT, failure, now);
        now += (TOLERANCE_SECONDS + 1) * MICROS_PER_SECOND;
        assertInstanceOf(
                Completed.class,
                lookUp(request),
                "signature still accepted, since the wall clock stood still");
        wallSeconds += TOLERANCE_SECONDS + 1;
        lookUp(request("other", Idempotency.IDEMPOTENT));
        assertEquals(0, store.size());
    }

    @Test
    void requestWithExpiredEntryFailsAfterTheWallClockStepsBack() {
        KeyedRequest request = completed("a", Idempotency.NON_IDEMPOTENT, EMPTY_RESPONSE, now);
        now += (TOLERANCE_SECONDS + 1) * MICROS_PER_SECOND;
        wallSeconds += TOLERANCE_SECONDS + 1;
        assertEquals(Reason.SIGNED_BEFORE_STORE, reasonOf(lookUp(request)));
        wallSeconds -= TOLERANCE_SECONDS + 1;
        assertEquals(Reason.SIGNED_BEFORE_STORE, reasonOf(lookUp(request)));
    }

    @Test
    void storeAtItsEntryBoundEvictsTheOldestIdempotentEntry() {
        for (int i = 0; i < MAX_ENTRIES; i++) {
            completed("idempotent" + i, Idempotency.IDEMPOTENT, EMPTY_RESPONSE, now);
        }
        start(request("new", Idempotency.NON_IDEMPOTENT));
        assertEquals(MAX_ENTRIES, store.size());
        assertInstanceOf(NewRequest.class, lookUp(request("idempotent0", Idempotency.IDEMPOTENT)));
        assertInstanceOf(Completed.class, lookUp(request("idempotent3", Idempotency.IDEMPOTENT)));
    }

    /**
     * Guards against a memory leak: an old entry that cannot be evicted must not prevent the
     * outcomes of later, evicted entries from being removed.
     */
    @Test
    void evictionBehindAnEntryThatCannotBeEvictedKeepsEntriesAndOutcomesWithinTheBound() {
        completed("old", Idempotency.NON_IDEMPOTENT, EMPTY_RESPONSE, now);
        for (int i = 0; i < 1_000; i++) {
            now += 1_000;
            completed("idempotent" + i, Idempotency.IDEMPOTENT, responseOf(1_000), now);
        }
        assertTrue(
                store.size() <= MAX_ENTRIES && store.completedEntries() <= MAX_ENTRIES,
                store.size() + " entries, " + store.completedEntries() + " outcomes");
    }

    @Test
    void storeFullOfNonIdempotentEntriesRejectsNewRequestsAndKeepsItsEntries() {
        for (int i = 0; i < MAX_ENTRIES; i++) {
            completed("unsafe" + i, Idempotency.NON_IDEMPOTENT, EMPTY_RESPONSE, now);
        }
        for (Idempotency idempotency : Idempotency.values()) {
            assertEquals(
                    Reason.IDEMPOTENCY_STORE_FULL, reasonOf(lookUp(request("new", idempotency))));
        }
        for (int i = 0; i < MAX_ENTRIES; i++) {
            assertInstanceOf(
                    Completed.class, lookUp(request("unsafe" + i, Idempotency.NON_IDEMPOTENT)));
        }
    }

    @Test
    void storeAtItsByteBoundEvictsTheOldestResponseBodiesButKeepsTheirEntries() {
        store = storeOf(100, 4_000);
        KeyedRequest oldest =
                completed("unsafe0", Idempotency.NON_IDEMPOTENT, responseOf(1_500), now);
        completed("unsafe1", Idempotency.NON_IDEMPOTENT, responseOf(1_500), now);
        KeyedRequest newest =
                completed("unsafe2", Idempotency.NON_IDEMPOTENT, responseOf(1_500), now);
        assertTrue(store.bytes() <= 4_000, "estimated memory: " + store.bytes() + " bytes");
        assertEquals(Reason.RESPONSE_EVICTED, reasonOf(lookUp(oldest)));
        assertInstanceOf(Served.class, ((Completed) lookUp(newest)).outcome());
    }

    @Test
    void unsignedEntryExpiresByTheMonotonicClockWhateverTheWallClockShows() {
        KeyedRequest unsigned =
                requestSignedAt("u", Idempotency.NON_IDEMPOTENT, KeyedRequest.UNSIGNED);
        store.requestCompleted(now, start(unsigned), EMPTY_RESPONSE, now);
        wallSeconds += 3_600;
        assertInstanceOf(
                Completed.class,
                lookUp(unsigned),
                "entry kept although the wall clock stepped forward");
        wallSeconds -= 7_200;
        now += TOLERANCE_SECONDS * MICROS_PER_SECOND;
        assertInstanceOf(Completed.class, lookUp(unsigned));
        now++;
        assertInstanceOf(
                NewRequest.class,
                lookUp(unsigned),
                "entry expired although the wall clock stepped back");
        assertEquals(0, store.size());
    }
}
