package waytrestle.overload;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static waytrestle.overload.OverloadFixture.MICROS_PER_SECOND;

import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    /** A minute of 1,000 first requests a second, each of which wants a retry. */
    @Test
    void retriesAddTheirFractionOfLoadAndNoMore() {
        RetryBudget budget = OverloadFixture.retryBudget();
        long now = MICROS_PER_SECOND;
        int retries = 0;
        for (int i = 0; i < 60_000; i++) {
            budget.deposit(now);
            retries += budget.tryWithdraw(now) ? 1 : 0;
            now += 1_000;
        }
        assertTrue(
                retries <= 0.2 * 60_000 + 10 * 60 + 100 && retries >= 0.19 * 60_000,
                "retries: " + retries);
        now += 30 * MICROS_PER_SECOND;
        int retriesWithoutTraffic = 0;
        while (budget.tryWithdraw(now)) {
            retriesWithoutTraffic++;
        }
        assertTrue(
                retriesWithoutTraffic >= 90 && retriesWithoutTraffic <= 110,
                "ten seconds of the constant rate: " + retriesWithoutTraffic);
    }

    @Test
    void aRejectedRequestIsRecognisedAsRetryForAWhile() {
        RetryBudget budget = OverloadFixture.retryBudget();
        budget.recordRejection(MICROS_PER_SECOND, 77);
        assertTrue(budget.isRetry(2 * MICROS_PER_SECOND, 77));
        assertFalse(budget.isRetry(2 * MICROS_PER_SECOND, 78));
        assertFalse(budget.isRetry(2 * MICROS_PER_SECOND, 0));
        assertFalse(budget.isRetry(60 * MICROS_PER_SECOND, 77));
        for (int i = 100; i < 100_100; i++) {
            budget.recordRejection(2 * MICROS_PER_SECOND, i);
        }
        assertFalse(budget.isRetry(2 * MICROS_PER_SECOND, 100), "bounded");
    }
}
