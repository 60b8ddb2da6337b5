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

class SendGuardTest {
    private static final long WINDOW_MICROS = 8_000_000;
    private static final RequestClass SAFE =
            classOf(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
    private static final RequestClass UNSAFE =
            classOf(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL);
    private static final RequestClass KEYED_BY_ZONE =
            classOf(Idempotency.KEYED, DeduplicationScope.ZONE);

    private final SendGuard guard = new SendGuard();
    private final SendHistory history = new SendHistory();

    private static RequestClass classOf(Idempotency idempotency, DeduplicationScope scope) {
        return new RequestClass(
                "c", idempotency, scope, WINDOW_MICROS, 0, 0, 3_000_000, 1, 0, false);
    }

    private Refusal send(RequestClass requestClass, int attempt, int zone, long nowMicros) {
        return guard.checkSend(
                history,
                new SendIntent(requestClass, attempt, zone, 0, true, true, true, nowMicros));
    }

    @Test
    void anUnsafeRequestIsSentAgainOnlyWhereEachAttemptIsProvedNotToHaveRun() {
        assertNull(send(UNSAFE, 0, 0, 1));
        assertNull(send(UNSAFE, 0, 0, 2), "the same attempt on another connection");
        assertEquals(Refusal.MAY_HAVE_RUN, send(UNSAFE, 1, 0, 3), "the first is still out");
        history.recordEnd(0, ResponseCode.FULL);
        assertNull(send(UNSAFE, 1, 0, 4));
        history.recordEnd(1, ResponseCode.RESET);
        assertEquals(Refusal.MAY_HAVE_RUN, send(UNSAFE, 2, 0, 5));
        assertEquals(2, guard.violations());
    }

    @Test
    void aSafeRequestIsSentAgainWhateverRan() {
        assertNull(send(SAFE, 0, 0, 1));
        assertNull(send(SAFE, 1, 1, 2));
        history.recordEnd(0, ResponseCode.TIMEOUT);
        assertNull(send(SAFE, 2, 0, 3));
        assertTrue(guard.mayReject(history, SAFE));
    }

    @Test
    void aKeyedRequestIsSentAgainInItsGroupAndWindowAlone() {
        assertNull(send(KEYED_BY_ZONE, 0, 2, 1_000));
        assertNull(send(KEYED_BY_ZONE, 1, 2, 1_000 + WINDOW_MICROS));
        assertEquals(Refusal.OTHER_GROUP, send(KEYED_BY_ZONE, 2, 3, 2_000));
        assertEquals(Refusal.WINDOW_PASSED, send(KEYED_BY_ZONE, 2, 2, 1_001 + WINDOW_MICROS));
    }

    @Test
    void nothingIsSentForAClientThatHasGoneOrToAnInvokerThatLeft() {
        SendIntent gone = new SendIntent(SAFE, 0, 0, 0, false, true, true, 1);
        SendIntent left = new SendIntent(SAFE, 0, 0, 0, true, false, true, 1);
        assertEquals(Refusal.CLIENT_GONE, guard.checkSend(history, gone));
        assertEquals(Refusal.INVOKER_NOT_READY, guard.checkSend(history, left));
        assertEquals(0, guard.violations(), "that is how it is meant to end");
        assertNull(history.firstThatMayHaveRun(-1), "nothing was sent");
    }

    @Test
    void nothingIsSentToAnInvokerWhoseReadinessIsNoLongerKnown() {
        SendIntent outdated = new SendIntent(SAFE, 0, 0, 0, true, true, false, 1);
        assertEquals(Refusal.READINESS_EXPIRED, guard.checkSend(history, outdated));
        assertEquals(Refusal.READINESS_EXPIRED, guard.checkPreload(true, false));
        assertEquals(Refusal.INVOKER_NOT_READY, guard.checkPreload(false, false));
        assertNull(guard.checkPreload(true, true));
        assertEquals(2, guard.counts().get(Refusal.READINESS_EXPIRED));
    }

    @Test
    void aRejectionAfterAnEffectIsRefused() {
        assertTrue(guard.mayReject(history, UNSAFE));
        assertNull(send(UNSAFE, 0, 0, 1));
        assertFalse(guard.mayReject(history, UNSAFE), "it may still run");
        history.recordEnd(0, ResponseCode.NOT_LOADED);
        assertTrue(guard.mayReject(history, UNSAFE));
        assertEquals(1, guard.counts().get(Refusal.REJECTED_AFTER_EFFECT));
    }
}
