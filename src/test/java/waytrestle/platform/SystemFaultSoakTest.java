package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A short soak; many seeds are played by hand, see {@link SystemFaultSoak}. */
class SystemFaultSoakTest {
    private static final int CONTROLLERS = 8;

    @Test
    void drawnFaultsBreakNoRule() throws Exception {
        for (long seed = 1; seed <= 2; seed++) {
            SystemFaultSoak.Result result = new SystemFaultSoak(seed, CONTROLLERS).play();
            System.out.println("system fault soak: " + result);
            assertEquals("", String.join("\n", result.violations()));
            assertTrue(result.faults() > 0, "no system call failed");
        }
    }
}
