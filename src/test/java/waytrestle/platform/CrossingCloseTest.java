package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.Test;
import waytrestle.faults.DescriptorKind;
import waytrestle.faults.Errno;
import waytrestle.faults.FaultRule;
import waytrestle.faults.SystemCall;

/** What a client sees of a connection that breaks under its request, by two faults at once. */
class CrossingCloseTest {
    /** Within this time a client takes a close for one that crossed its request. */
    private static final long CROSSING_MILLIS = 50;

    private static final String ID = PlatformFixture.correlationId(1);
    private static final String MESSAGE = PlatformFixture.request("book", ID, "", "x");

    @Test
    void aCloseUnderARequestThatRanCannotBeTakenForOneThatCrossedIt() throws Exception {
        try (PlatformFixture fixture = new PlatformFixture();
                FaultedController controller = new FaultedController(1)) {
            RunRecorder recorder = new RunRecorder(fixture.invoker);
            controller.start(fixture.configurationJson(fixture.watchServer)).awaitReady();
            FaultRule writes =
                    FaultRule.once(SystemCall.WRITE, DescriptorKind.ACCEPTED, Errno.EIO)
                            .lasting(FaultRule.UNTIL_CLOSED);
            FaultRule secondRead =
                    FaultRule.once(SystemCall.READ, DescriptorKind.ACCEPTED, Errno.ECONNRESET)
                            .after(1);
            controller.plan().set(writes, secondRead);
            try (Socket connection =
                    new Socket(InetAddress.getLoopbackAddress(), controller.port())) {
                long sent = System.nanoTime();
                PlatformFixture.write(connection, MESSAGE);
                assertEquals(-1, connection.getInputStream().read());
                long elapsedMillis = (System.nanoTime() - sent) / 1_000_000;
                assertTrue(elapsedMillis > CROSSING_MILLIS, elapsedMillis + " ms");
            }
            controller.plan().set(List.of());
            try (Socket connection =
                    new Socket(InetAddress.getLoopbackAddress(), controller.port())) {
                PlatformFixture.write(connection, MESSAGE);
                String response = PlatformFixture.readResponse(connection);
                assertTrue(
                        response.endsWith(ID), "the response that was not delivered: " + response);
            }
            assertEquals(1, recorder.runs(ID));
        }
    }
}
