package waytrestle.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ByteBudgetTest {
    @Test
    void bodiesWaitInOrderAndNoneIsDropped() {
        ByteBudget budget = new ByteBudget(1_000_000);
        assertTrue(budget.tryReserve(1, 800_000));
        assertFalse(budget.tryReserve(2, 200_000), "a tenth is kept for small bodies");
        assertFalse(budget.tryReserve(3, 100_000), "behind the one that waits");
        assertTrue(budget.tryReserve(4, 16_000), "a small body passes");
        assertFalse(budget.canEverReserve(950_000));
        List<Long> granted = new ArrayList<>();
        budget.release(1, granted::add);
        assertEquals(List.of(2L, 3L), granted);
        budget.tryReserve(5, 800_000);
        budget.release(5, granted::add);
        assertEquals(2, granted.size(), "releasing a body that still waits grants nothing");
        budget.reserve(2, 500_000);
        for (long id = 2; id <= 4; id++) {
            budget.release(id, granted::add);
        }
        assertEquals(0, budget.reservedBytes());
        assertEquals(0, budget.pendingReservations());
    }
}
