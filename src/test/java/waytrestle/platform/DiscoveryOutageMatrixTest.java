package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import waytrestle.platform.DiscoveryOutagePlay.Result;
import waytrestle.platform.SimulatedWatchServer.Loss;

/**
 * Each way in which discovery is lost, with a drain before it is felt and one while it lasts. The
 * whole matrix is played by hand, see {@link DiscoveryOutageMatrix}.
 */
class DiscoveryOutageMatrixTest {
    private static final int SIMULTANEOUS = 9;

    /** Twice the usual, so that a machine that is busy with other tests reports nothing late. */
    private static final long GRACE_MILLIS = 2_000;

    private static final long OUTAGE_MILLIS = 9_000;
    private static final long JUST_AFTER_MILLIS = 200;
    private static final long DURING_MILLIS = 5_000;
    private static final long ACCEPT_MILLIS = 1_700;
    private static final long RETURN_MILLIS = 3_000;

    /** Of the requests in the outage: far above what an outdated list alone would allow. */
    private static final double SERVED_SHARE = 0.8;

    private static OutageScenario cell(String name, Loss loss) {
        return new OutageScenario(loss + ", " + name)
                .losing(loss, OUTAGE_MILLIS)
                .withGrace(GRACE_MILLIS);
    }

    @Test
    void howeverDiscoveryIsLostDrainingInvokersGetNothingAndRequestsAreServed() throws Exception {
        List<OutageScenario> cells = new ArrayList<>();
        for (Loss loss : Loss.values()) {
            if (loss != Loss.NONE) {
                cells.add(cell("drain at it", loss).drainingAt(JUST_AFTER_MILLIS));
                cells.add(
                        cell("drain during it", loss)
                                .drainingAt(DURING_MILLIS)
                                .acceptingFor(ACCEPT_MILLIS));
            }
        }
        cells.add(
                cell("return during it", Loss.SILENT)
                        .drainingAt(JUST_AFTER_MILLIS)
                        .returningAfter(RETURN_MILLIS));
        cells.add(
                cell("controller restarts", Loss.CLOSED)
                        .drainingAt(JUST_AFTER_MILLIS)
                        .restartingAController());
        for (Result result : DiscoveryOutageMatrix.play(cells, SIMULTANEOUS)) {
            assertEquals(0, result.lateRequests() + result.latePreloads(), result::toString);
            assertTrue(result.servedShare() > SERVED_SHARE, result::toString);
            assertEquals(0, result.lost(), result::toString);
        }
    }

    @Test
    void whereHealthMayNotBeCheckedNothingIsLateAndAllIsAnsweredAtOnce() throws Exception {
        List<OutageScenario> cells =
                List.of(
                        cell("without health checks", Loss.CLOSED)
                                .drainingAt(DURING_MILLIS)
                                .withoutHealthChecks(),
                        cell("without health checks", Loss.SILENT)
                                .drainingAt(DURING_MILLIS)
                                .withoutHealthChecks());
        for (Result result : DiscoveryOutageMatrix.play(cells, SIMULTANEOUS)) {
            assertEquals(0, result.lateRequests() + result.latePreloads(), result::toString);
            assertEquals(0, result.lost(), result::toString);
            assertTrue(result.served() > 0, result::toString);
        }
    }
}
