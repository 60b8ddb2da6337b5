package waytrestle.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** An answer from before a stop of the process counts for nothing. */
class WithdrawalCheckTest {
    private static final long STOP_MICROS = 3_600_000;

    private long nowMicros;
    private int questions;
    private long delayedMicros;

    private WithdrawalCheck stoppedDuring(int stoppedQuestions, ExchangeFailure afterwards) {
        Withdrawal withdrawal =
                new Withdrawal() {
                    @Override
                    public ExchangeFailure failureIfWithdrawn() {
                        questions++;
                        if (questions > stoppedQuestions) {
                            return afterwards;
                        }
                        nowMicros += STOP_MICROS;
                        return null;
                    }

                    @Override
                    public void writeDelayed(long micros) {
                        delayedMicros = micros;
                    }
                };
        return new WithdrawalCheck(withdrawal, () -> nowMicros);
    }

    @Test
    void anAnswerThatTookNoTimeCounts() {
        assertNull(stoppedDuring(0, null).failureIfWithdrawn());
        assertEquals(1, questions);
    }

    @Test
    void aQuestionDuringWhichTheProcessWasStoppedIsAskedAgain() {
        assertEquals(
                ExchangeFailure.NO_ROOM,
                stoppedDuring(1, ExchangeFailure.NO_ROOM).failureIfWithdrawn());
        assertEquals(2, questions);
    }

    @Test
    void theNumberOfQuestionsIsBounded() {
        assertNull(stoppedDuring(Integer.MAX_VALUE, null).failureIfWithdrawn());
        assertEquals(3, questions);
    }

    @Test
    void anAnswerIsOutdatedByAStopBehindIt() {
        WithdrawalCheck check = stoppedDuring(0, null);
        check.failureIfWithdrawn();
        assertFalse(check.isOutdated());
        nowMicros += STOP_MICROS;
        assertTrue(check.isOutdated());
    }

    @Test
    void aStopBetweenTheLastQuestionAndTheWriteIsTold() {
        WithdrawalCheck check = stoppedDuring(0, null);
        check.failureIfWithdrawn();
        check.requestWritten();
        assertEquals(0, delayedMicros);
        nowMicros += STOP_MICROS;
        check.requestWritten();
        assertEquals(STOP_MICROS, delayedMicros);
    }
}
