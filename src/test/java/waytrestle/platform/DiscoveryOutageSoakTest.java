package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A short soak; many seeds are played by hand, see {@link DiscoveryOutageSoak}. */
class DiscoveryOutageSoakTest {
    private static final int CONTROLLERS = 4;
    private static final long FIRST_SEED = 2;
    private static final long LAST_SEED = 3;

    @Test
    void drawnOutagesBreakNoRule() throws Exception {
        for (long seed = FIRST_SEED; seed <= LAST_SEED; seed++) {
            DiscoveryOutageSoak.Result result = new DiscoveryOutageSoak(seed, CONTROLLERS).play();
            System.out.println("discovery outage soak: " + result);
            assertEquals("", String.join("\n", result.violations()));
            assertTrue(result.drains() > 0 && result.served() > 0, result::toString);
        }
    }
}
