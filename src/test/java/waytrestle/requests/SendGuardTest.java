package waytrestle.requests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import waytrestle.requests.SendGuard.Refusal;
import waytrestle.requests.SendGuard.SendIntent;
import waytrestle.scheduler.DeduplicationScope;
import waytrestle.scheduler.Idempotency;
import waytrestle.scheduler.ResponseCode;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/** Checks which attempts, preload requests and rejections the send guard refuses. */
class SendGuardTest {
    private static final long DEDUPLICATION_WINDOW_MICROS = 8_000_000;
    private static final RequestClass IDEMPOTENT =
            requestClassOf(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
    private static final RequestClass NON_IDEMPOTENT =
            requestClassOf(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL);
    private static final RequestClass KEYED_BY_ZONE =
            requestClassOf(Idempotency.KEYED, DeduplicationScope.ZONE);

    private final SendGuard guard = new SendGuard();
    private final SendHistory history = new SendHistory();

    private static RequestClass requestClassOf(Idempotency idempotency, DeduplicationScope scope) {
        return new RequestClass(
                "c", idempotency, scope, DEDUPLICATION_WINDOW_MICROS, 0, 0, 3_000_000, 1, 0, false);
    }

    private Refusal send(RequestClass requestClass, int attempt, int zone, long nowMicros) {
        return guard.checkSend(
                history,
                new SendIntent(requestClass, attempt, zone, 0, true, true, true, nowMicros));
    }

    @Test
    void nonIdempotentRequestIsRetriedOnlyIfEachEarlierAttemptIsProvedNotToHaveRun() {
        assertNull(send(NON_IDEMPOTENT, 0, 0, 1));
        assertNull(send(NON_IDEMPOTENT, 0, 0, 2), "first attempt sent again on another connection");
        assertEquals(
                Refusal.MAY_HAVE_RUN,
                send(NON_IDEMPOTENT, 1, 0, 3),
                "first attempt still in flight");
        history.recordEnd(0, ResponseCode.FULL);
        assertNull(send(NON_IDEMPOTENT, 1, 0, 4));
        history.recordEnd(1, ResponseCode.RESET);
        assertEquals(Refusal.MAY_HAVE_RUN, send(NON_IDEMPOTENT, 2, 0, 5));
        assertEquals(2, guard.violations());
    }

    @Test
    void idempotentRequestIsRetriedAndMayBeRejectedAfterAttemptsThatMayHaveRun() {
        assertNull(send(IDEMPOTENT, 0, 0, 1));
        assertNull(send(IDEMPOTENT, 1, 1, 2));
        history.recordEnd(0, ResponseCode.TIMEOUT);
        assertNull(send(IDEMPOTENT, 2, 0, 3));
        assertTrue(guard.mayReject(history, IDEMPOTENT));
    }

    @Test
    void keyedRequestIsRetriedOnlyWithinItsDeduplicationScopeAndWindow() {
        assertNull(send(KEYED_BY_ZONE, 0, 2, 1_000));
        assertNull(send(KEYED_BY_ZONE, 1, 2, 1_000 + DEDUPLICATION_WINDOW_MICROS));
        assertEquals(Refusal.OTHER_GROUP, send(KEYED_BY_ZONE, 2, 3, 2_000));
        assertEquals(
                Refusal.WINDOW_PASSED,
                send(KEYED_BY_ZONE, 2, 2, 1_001 + DEDUPLICATION_WINDOW_MICROS));
    }

    @Test
    void attemptWithoutWaitingClientOrReadyInvokerIsRefusedButIsNoViolation() {
        SendIntent withoutClient = new SendIntent(IDEMPOTENT, 0, 0, 0, false, true, true, 1);
        SendIntent invokerNotReady = new SendIntent(IDEMPOTENT, 0, 0, 0, true, false, true, 1);
        assertEquals(Refusal.CLIENT_GONE, guard.checkSend(history, withoutClient));
        assertEquals(Refusal.INVOKER_NOT_READY, guard.checkSend(history, invokerNotReady));
        assertEquals(0, guard.violations(), "refusals without a possible effect are no violations");
        assertNull(history.firstThatMayHaveRun(-1), "refused attempts are not recorded as sent");
    }

    @Test
    void attemptsAndPreloadsAreRefusedAfterTheReadinessLeaseExpires() {
        SendIntent leaseExpired = new SendIntent(IDEMPOTENT, 0, 0, 0, true, true, false, 1);
        assertEquals(Refusal.READINESS_EXPIRED, guard.checkSend(history, leaseExpired));
        assertEquals(Refusal.READINESS_EXPIRED, guard.checkPreload(true, false));
        assertEquals(Refusal.INVOKER_NOT_READY, guard.checkPreload(false, false));
        assertNull(guard.checkPreload(true, true));
        assertEquals(2, guard.counts().get(Refusal.READINESS_EXPIRED));
    }

    @Test
    void rejectionOfNonIdempotentRequestIsRefusedWhileAnAttemptMayHaveRun() {
        assertTrue(guard.mayReject(history, NON_IDEMPOTENT));
        assertNull(send(NON_IDEMPOTENT, 0, 0, 1));
        assertFalse(
                guard.mayReject(history, NON_IDEMPOTENT), "the attempt in flight may still run");
        history.recordEnd(0, ResponseCode.NOT_LOADED);
        assertTrue(guard.mayReject(history, NON_IDEMPOTENT));
        assertEquals(1, guard.counts().get(Refusal.REJECTED_AFTER_EFFECT));
    }
}
