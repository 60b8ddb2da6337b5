package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import waytrestle.platform.DiscoveryOutagePlay.Result;
import waytrestle.platform.SimulatedWatchServer.Loss;

/**
 * A controller that has not run for seconds holds a list as old as that, with the events that
 * outdate it, and requests, waiting in the kernel.
 */
class SuspendedControllerTest {
    private static final long SUSPENDED_MILLIS = 2_500;
    private static final long DRAIN_AT_MILLIS = 300;
    private static final long OUTAGE_MILLIS = 7_000;

    @Test
    void aControllerThatIsResumedReadsItsWatchBeforeItSends() throws Exception {
        OutageScenario scenario =
                new OutageScenario("suspended")
                        .sized(4, 3, 2)
                        .drainingAt(DRAIN_AT_MILLIS)
                        .suspendingControllers(SUSPENDED_MILLIS);
        assertNothingLate(scenario);
    }

    /** The end of the watch lies behind heartbeats in the kernel: both are as old as the pause. */
    @Test
    void anOutageThatBeganWhileAControllerDidNotRunCountsFromItsBeginning() throws Exception {
        assertNothingLate(
                new OutageScenario("suspended, then closed")
                        .sized(4, 3, 2)
                        .losing(Loss.CLOSED, OUTAGE_MILLIS)
                        .drainingAt(DRAIN_AT_MILLIS)
                        .suspendingControllers(SUSPENDED_MILLIS));
    }

    private static void assertNothingLate(OutageScenario scenario) throws Exception {
        Result result = new DiscoveryOutagePlay(scenario).play();
        System.out.println("discovery outage: " + result);
        assertTrue(result.served() > 0, "it goes on serving");
        assertEquals(0, result.lateRequests() + result.latePreloads(), result::toString);
    }
}
