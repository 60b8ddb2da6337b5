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

    private WithdrawalCheck stoppedDuring(int stoppedQuestions, ExchangeBreak afterwards) {
        Withdrawal withdrawal =
                new Withdrawal() {
                    @Override
                    public ExchangeBreak now() {
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
        assertNull(stoppedDuring(0, null).ask());
        assertEquals(1, questions);
    }

    @Test
    void aQuestionDuringWhichTheProcessWasStoppedIsAskedAgain() {
        assertEquals(ExchangeBreak.NO_ROOM, stoppedDuring(1, ExchangeBreak.NO_ROOM).ask());
        assertEquals(2, questions);
    }

    @Test
    void theNumberOfQuestionsIsBounded() {
        assertNull(stoppedDuring(Integer.MAX_VALUE, null).ask());
        assertEquals(3, questions);
    }

    @Test
    void anAnswerIsOutdatedByAStopBehindIt() {
        WithdrawalCheck check = stoppedDuring(0, null);
        check.ask();
        assertFalse(check.isOutdated());
        nowMicros += STOP_MICROS;
        assertTrue(check.isOutdated());
    }

    @Test
    void aStopBetweenTheLastQuestionAndTheWriteIsTold() {
        WithdrawalCheck check = stoppedDuring(0, null);
        check.ask();
        check.written();
        assertEquals(0, delayedMicros);
        nowMicros += STOP_MICROS;
        check.written();
        assertEquals(STOP_MICROS, delayedMicros);
    }
}
