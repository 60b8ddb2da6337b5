package waytrestle.overload;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.overload.OverloadFixture.MICROS_PER_SECOND;

import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    /** 1,000 first requests per second for one minute, with an attempted retry for each of them. */
    @Test
    void retriesAreLimitedToRatioOfFirstRequestsPlusConstantRate() {
        RetryBudget budget = OverloadFixture.retryBudget();
        long nowMicros = MICROS_PER_SECOND;
        int retries = 0;
        for (int i = 0; i < 60_000; i++) {
            budget.deposit(nowMicros);
            retries += budget.tryWithdraw(nowMicros) ? 1 : 0;
            nowMicros += 1_000;
        }
        assertTrue(
                retries <= 0.2 * 60_000 + 10 * 60 + 100 && retries >= 0.19 * 60_000,
                "retries in one minute: " + retries);
        nowMicros += 30 * MICROS_PER_SECOND;
        int retriesWithoutTraffic = 0;
        while (budget.tryWithdraw(nowMicros)) {
            retriesWithoutTraffic++;
        }
        assertTrue(
                retriesWithoutTraffic >= 90 && retriesWithoutTraffic <= 110,
                "retries without first requests, expected ten seconds of the constant rate: "
                        + retriesWithoutTraffic);
    }

    @Test
    void rejectedRequestIsRecognisedAsRetryUntilItExpiresOrIsEvicted() {
        RetryBudget budget = OverloadFixture.retryBudget();
        budget.recordRejection(MICROS_PER_SECOND, 77);
        assertTrue(budget.isRetry(2 * MICROS_PER_SECOND, 77));
        assertFalse(budget.isRetry(2 * MICROS_PER_SECOND, 78));
        assertFalse(budget.isRetry(2 * MICROS_PER_SECOND, 0));
        assertFalse(budget.isRetry(60 * MICROS_PER_SECOND, 77));
        for (int i = 100; i < 100_100; i++) {
            budget.recordRejection(2 * MICROS_PER_SECOND, i);
        }
        assertFalse(
                budget.isRetry(2 * MICROS_PER_SECOND, 100),
                "the eldest of too many rejected requests is not recognised");
    }
}
