package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.Test;
import waytrestle.faults.DescriptorKind;
import waytrestle.faults.Errno;
import waytrestle.faults.FaultRule;
import waytrestle.faults.SystemCall;

/**
 * What a client sees of a connection that breaks under its request, by two faults at once.
 *
 * <p>The break has to come after the request is on its way. It came at the second read once, which
 * on a busy machine is made right behind the first: a loop that is more than 50 ms late looks for
 * the client's end before it handles what the client sent. The request then had not run, and the
 * close after 3 ms was the right one.
 */
class CrossingCloseTest {
    /** More than a loop ever waits, so that it knows that it is late when it is resumed. */
    private static final long SUSPENDED_MILLIS = 1_500;

    private static final String ID = PlatformFixture.correlationId(1);
    private static final String MESSAGE = PlatformFixture.request("book", ID, "", "x");

    private static final FaultRule BROKEN_WRITES =
            FaultRule.once(SystemCall.WRITE, DescriptorKind.ACCEPTED, Errno.EIO)
                    .lasting(FaultRule.UNTIL_CLOSED);
    private static final FaultRule BROKEN_READS =
            FaultRule.once(SystemCall.READ, DescriptorKind.ACCEPTED, Errno.ECONNRESET);

    @Test
    void aCloseUnderARequestThatRanCannotBeTakenForOneThatCrossedIt() throws Exception {
        try (PlatformFixture fixture = new PlatformFixture();
                FaultedController controller = new FaultedController(1)) {
            RunRecorder recorder = new RunRecorder(fixture.invoker);
            recorder.onRun(() -> controller.plan().set(BROKEN_WRITES, BROKEN_READS));
            controller.start(fixture.configurationJson(fixture.watchServer)).awaitReady();
            try (Socket connection = connect(controller)) {
                long sent = System.nanoTime();
                PlatformFixture.write(connection, MESSAGE);
                assertEquals(-1, connection.getInputStream().read());
                long elapsedMillis = (System.nanoTime() - sent) / 1_000_000;
                assertTrue(elapsedMillis > RepeatingClient.CROSSING_MILLIS, elapsedMillis + " ms");
            }
            controller.plan().set(List.of());
            assertDeliveredWhenRepeated(controller);
            assertEquals(1, recorder.runs(ID));
        }
    }

    /**
     * The lateness has to be noticed after each pause of the process. It was not after a stop by a
     * signal: the selector's wait is interrupted by it and returns with nothing found, and what had
     * come during the stop was found a turn later, as if it had just come. The request ran, and the
     * client saw the end of its connection 103 to 120 ms after the pause.
     */
    @Test
    void aRequestWhoseConnectionBreaksBeforeItIsHandledDoesNotRun() throws Exception {
        try (PlatformFixture fixture = new PlatformFixture();
                FaultedController controller = new FaultedController(1)) {
            RunRecorder recorder = new RunRecorder(fixture.invoker);
            controller.start(fixture.configurationJson(fixture.watchServer)).awaitReady();
            controller.plan().set(BROKEN_WRITES, BROKEN_READS.after(1));
            controller.suspend();
            try (Socket connection = connect(controller)) {
                PlatformFixture.write(connection, MESSAGE);
                Thread.sleep(SUSPENDED_MILLIS);
                controller.resume();
                assertEquals(-1, connection.getInputStream().read());
            }
            assertEquals(0, recorder.runs(ID));
            controller.plan().set(List.of());
            assertDeliveredWhenRepeated(controller);
            assertEquals(1, recorder.runs(ID));
        }
    }

    private static Socket connect(FaultedController controller) throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), controller.port());
    }

    private static void assertDeliveredWhenRepeated(FaultedController controller) throws Exception {
        try (Socket connection = connect(controller)) {
            PlatformFixture.write(connection, MESSAGE);
            String response = PlatformFixture.readResponse(connection);
            assertTrue(response.endsWith(ID), "the response that was not delivered: " + response);
        }
    }
}
