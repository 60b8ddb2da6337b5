package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import waytrestle.platform.DiscoveryOutagePlay.Result;
import waytrestle.platform.SimulatedWatchServer.Loss;

/**
 * The incident of docs/incidents/discovery-outage.md.
 *
 * <p>Symptom: 632 requests and 1,000 preload requests reached invokers that had been draining for
 * over seven seconds. Sequence: discovery goes out of reach of all controllers; a moment later
 * invokers begin to drain and stay up; the controllers go on sending until discovery is back.
 * Cause: a controller acted on its last endpoint list whatever its age. What settled it: in three
 * controllers' logs the lines {@code invoker.state_reported ... state=DRAINING} and {@code
 * state=GONE} of one invoker, fourteen seconds apart in the list, follow each other, and all sends
 * before them were first attempts; played here, the sends last for exactly as long as the outage.
 */
class DiscoveryOutageTest {
    private static final long OUTAGE_MILLIS = 7_000;
    private static final long DRAIN_AT_MILLIS = 200;

    @Test
    void aClosedWatchServerLetsNoWorkGoToDrainingInvokersPastTheGrace() throws Exception {
        assertRuleKept(Loss.CLOSED);
    }

    @Test
    void aSilentWatchServerLetsNoWorkGoToDrainingInvokersPastTheGrace() throws Exception {
        assertRuleKept(Loss.SILENT);
    }

    private static void assertRuleKept(Loss loss) throws Exception {
        OutageScenario scenario =
                new OutageScenario(loss.name())
                        .losing(loss, OUTAGE_MILLIS)
                        .drainingAt(DRAIN_AT_MILLIS);
        Result result = new DiscoveryOutagePlay(scenario).play();
        System.out.println("discovery outage: " + result);
        assertTrue(result.requests() > 0, "no request was sent during the outage");
        assertEquals(0, result.lateRequests() + result.latePreloads(), result::toString);
    }
}
