package waytrestle.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against a request that is sent on a check result from before a pause of the process. */
class WithdrawalCheckTest {
    private static final long PAUSE_MICROS = 3_600_000;

    private long nowMicros;
    private int checks;
    private long reportedDelayMicros;

    /**
     * Returns a check during whose first calls the process pauses and the request is not withdrawn;
     * later calls give {@code resultAfterwards}.
     */
    private WithdrawalCheck checkPausedDuring(int pausedChecks, ExchangeFailure resultAfterwards) {
        Withdrawal withdrawal =
                new Withdrawal() {
                    @Override
                    public ExchangeFailure failureIfWithdrawn() {
                        checks++;
                        if (checks > pausedChecks) {
                            return resultAfterwards;
                        }
                        nowMicros += PAUSE_MICROS;
                        return null;
                    }

                    @Override
                    public void writeDelayed(long micros) {
                        reportedDelayMicros = micros;
                    }
                };
        return new WithdrawalCheck(withdrawal, () -> nowMicros);
    }

    @Test
    void checksOnceWhenProcessIsNotPaused() {
        assertNull(checkPausedDuring(0, null).failureIfWithdrawn());
        assertEquals(1, checks);
    }

    @Test
    void checksAgainAfterPauseDuringCheck() {
        assertEquals(
                ExchangeFailure.NO_ROOM,
                checkPausedDuring(1, ExchangeFailure.NO_ROOM).failureIfWithdrawn());
        assertEquals(2, checks);
    }

    @Test
    void sendsAfterThreeChecksThatWereAllPaused() {
        assertNull(checkPausedDuring(Integer.MAX_VALUE, null).failureIfWithdrawn());
        assertEquals(3, checks);
    }

    @Test
    void checkIsOutdatedByPauseAfterIt() {
        WithdrawalCheck check = checkPausedDuring(0, null);
        check.failureIfWithdrawn();
        assertFalse(check.isOutdated());
        nowMicros += PAUSE_MICROS;
        assertTrue(check.isOutdated());
    }

    @Test
    void reportsPauseBetweenLastCheckAndWrite() {
        WithdrawalCheck check = checkPausedDuring(0, null);
        check.failureIfWithdrawn();
        check.requestWritten();
        assertEquals(0, reportedDelayMicros);
        nowMicros += PAUSE_MICROS;
        check.requestWritten();
        assertEquals(PAUSE_MICROS, reportedDelayMicros);
    }
}
