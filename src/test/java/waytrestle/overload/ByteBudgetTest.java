package waytrestle.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ByteBudgetTest {
    @Test
    void bodiesThatDoNotFitWaitInOrderWhileSmallBodyOvertakes() {
        ByteBudget budget = new ByteBudget(1_000_000);
        assertTrue(budget.tryReserve(1, 800_000));
        assertFalse(
                budget.tryReserve(2, 200_000),
                "a large body cannot use the tenth reserved for small bodies");
        assertFalse(
                budget.tryReserve(3, 100_000),
                "a body that fits waits behind an earlier waiting body");
        assertTrue(budget.tryReserve(4, 16_000), "a small body overtakes waiting bodies");
        assertFalse(budget.canEverReserve(950_000));
        List<Long> reservedIds = new ArrayList<>();
        budget.release(1, reservedIds::add);
        assertEquals(List.of(2L, 3L), reservedIds);
        budget.tryReserve(5, 800_000);
        budget.release(5, reservedIds::add);
        assertEquals(
                2, reservedIds.size(), "releasing a body that still waits reserves no other body");
        budget.reserve(2, 500_000);
        for (long id = 2; id <= 4; id++) {
            budget.release(id, reservedIds::add);
        }
        assertEquals(0, budget.reservedBytes());
        assertEquals(0, budget.pendingReservations());
    }
}
