package waytrestle.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TransferRetryTest {
    private static final long RETRY_TIMEOUT_MICROS = 2_000_000;

    private final TransferRetry retry = new TransferRetry(RETRY_TIMEOUT_MICROS);

    @Test
    void backoffDoublesUpToItsMaximum() {
        assertEquals(1_000, retry.recordFailure(0));
        assertEquals(2_000, retry.recordFailure(1_000));
        assertEquals(4_000, retry.recordFailure(3_000));
        long backoffMicros = 0;
        for (int i = 0; i < 10; i++) {
            backoffMicros = retry.recordFailure(10_000 + i);
        }
        assertEquals(50_000, backoffMicros);
    }

    @Test
    void failingTransferIsGivenUpAfterTheRetryTimeoutAndStartsAnewAfterASuccess() {
        retry.recordFailure(0);
        assertTrue(retry.recordFailure(RETRY_TIMEOUT_MICROS) > 0);
        assertEquals(TransferRetry.GIVE_UP, retry.recordFailure(RETRY_TIMEOUT_MICROS + 1));
        retry.recordSuccess();
        assertFalse(retry.isFailing());
        assertEquals(1_000, retry.recordFailure(RETRY_TIMEOUT_MICROS + 2));
    }
}
