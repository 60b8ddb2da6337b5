package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import waytrestle.platform.DiscoveryOutagePlay.Result;

/**
 * A controller that has not run for seconds holds a list as old as that, with the events that
 * outdate it, and requests, waiting in the kernel.
 */
class SuspendedControllerTest {
    private static final long SUSPENDED_MILLIS = 3_000;
    private static final long DRAIN_AT_MILLIS = 300;

    @Test
    void aControllerThatIsResumedReadsItsWatchBeforeItSends() throws Exception {
        OutageScenario scenario =
                new OutageScenario("suspended")
                        .sized(4, 3, 2)
                        .drainingAt(DRAIN_AT_MILLIS)
                        .suspendingControllers(SUSPENDED_MILLIS);
        Result result = new DiscoveryOutagePlay(scenario).play();
        System.out.println("discovery outage: " + result);
        assertTrue(result.served() > 0, "it goes on serving");
        assertEquals(0, result.lateRequests() + result.latePreloads(), result::toString);
    }
}
