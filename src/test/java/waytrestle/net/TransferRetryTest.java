package waytrestle.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TransferRetryTest {
    private static final long PATIENCE_MICROS = 2_000_000;

    private final TransferRetry retry = new TransferRetry(PATIENCE_MICROS);

    @Test
    void theWaitDoublesUpToABound() {
        assertEquals(1_000, retry.recordFailure(0));
        assertEquals(2_000, retry.recordFailure(1_000));
        assertEquals(4_000, retry.recordFailure(3_000));
        long wait = 0;
        for (int i = 0; i < 10; i++) {
            wait = retry.recordFailure(10_000 + i);
        }
        assertEquals(50_000, wait);
    }

    @Test
    void aFailureThatLastsIsGivenUpAndOneThatPassedStartsAnew() {
        retry.recordFailure(0);
        assertTrue(retry.recordFailure(PATIENCE_MICROS) > 0);
        assertEquals(TransferRetry.GIVE_UP, retry.recordFailure(PATIENCE_MICROS + 1));
        retry.recordSuccess();
        assertFalse(retry.isFailing());
        assertEquals(1_000, retry.recordFailure(PATIENCE_MICROS + 2));
    }
}
