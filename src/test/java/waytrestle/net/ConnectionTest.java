package waytrestle.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the states of a connection, and that a closed connection stays closed. */
class ConnectionTest {
    private static final int MAX_UNREAD_BYTES = 1_024;
    private static final long CONNECT_MICROS = 1_000_000;
    private static final int WAIT_SECONDS = 10;

    private final List<Throwable> loopFailures = Collections.synchronizedList(new ArrayList<>());
    private final List<String> callbacks = Collections.synchronizedList(new ArrayList<>());
    private final CountDownLatch connected = new CountDownLatch(1);
    private Loop loop;
    private ServerSocket server;

    @BeforeEach
    void start() throws Exception {
        loop = new Loop("test", loopFailures::add).start();
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws Exception {
        server.close();
        loop.stop();
        loop.join(WAIT_SECONDS * 1_000);
        assertEquals(List.of(), loopFailures, "exceptions thrown on the loop");
    }

    /** Records each callback as text and takes all input. */
    private final class CallbackRecorder implements ConnectionHandler {
        @Override
        public void connected() {
            callbacks.add("connected");
            connected.countDown();
        }

        @Override
        public void received(ByteBuffer in) {
            callbacks.add("received");
            in.position(in.limit());
        }

        @Override
        public void closed(IOException failure) {
            callbacks.add("closed " + failure);
        }
    }

    /** A step of a test that runs on the loop's thread. */
    private interface ConnectionStep {
        void run(Connection connection);
    }

    /**
     * Returns a connection to the test's server, after it was established and the step has run on
     * the loop.
     */
    private Connection connectAndRun(ConnectionStep step) throws Exception {
        Connection[] opened = new Connection[1];
        InetSocketAddress address =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
        loop.execute(
                () ->
                        opened[0] =
                                Connection.open(
                                        loop,
                                        address,
                                        MAX_UNREAD_BYTES,
                                        CONNECT_MICROS,
                                        new CallbackRecorder()));
        assertTrue(
                connected.await(WAIT_SECONDS, TimeUnit.SECONDS),
                "connection not established within " + WAIT_SECONDS + " s");
        runOnLoop(() -> step.run(opened[0]));
        return opened[0];
    }

    /** Runs the step on the loop and waits until it has returned. */
    private void runOnLoop(Runnable step) throws Exception {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(
                () -> {
                    step.run();
                    done.countDown();
                });
        assertTrue(
                done.await(WAIT_SECONDS, TimeUnit.SECONDS),
                "step not run by the loop within " + WAIT_SECONDS + " s");
    }

    @Test
    void closedConnectionIgnoresAllCallsAndMakesNoCallbacks() throws Exception {
        Connection connection =
                connectAndRun(
                        established -> {
                            established.close();
                            established.send(ByteBuffer.allocate(4));
                            established.poll();
                            established.offerUnreadInput();
                            established.closeWhenSent();
                            established.close();
                        });
        assertFalse(connection.isOpen());
        assertEquals(0, connection.pendingBytes());
        assertEquals(0, connection.writtenBytes());
        assertEquals(List.of("connected"), callbacks, "callbacks after a local close");
    }

    @Test
    void closeWhenSentClosesAtOnceWithoutPendingOutput() throws Exception {
        Connection connection = connectAndRun(Connection::closeWhenSent);
        assertFalse(connection.isOpen());
    }

    @Test
    void closeWhenSentDeliversPendingOutputBeforeClosing() throws Exception {
        int bytes = 8 << 20;
        Connection connection =
                connectAndRun(
                        established -> {
                            established.send(ByteBuffer.allocate(bytes));
                            established.closeWhenSent();
                        });
        assertTrue(
                connection.isOpen(),
                bytes + " bytes exceed what the kernel takes at once, so output is pending");
        try (Socket peer = server.accept()) {
            assertEquals(bytes, peer.getInputStream().readNBytes(bytes + 1).length);
        }
        runOnLoop(() -> assertFalse(connection.isOpen()));
    }

    @Test
    void closeByThePeerClosesTheConnectionAndIsReportedOnce() throws Exception {
        CountDownLatch neverReleased = new CountDownLatch(1);
        Connection connection = connectAndRun(established -> {});
        server.accept().close();
        for (int i = 0; i < 100 && connection.isOpen(); i++) {
            neverReleased.await(20, TimeUnit.MILLISECONDS);
        }
        assertEquals(List.of("connected", "closed " + null), callbacks);
        runOnLoop(connection::poll);
        assertEquals(2, callbacks.size(), "callbacks after the connection was closed");
    }

    @Test
    void outputSentWhileConnectingIsQueuedAndDeliveredOnceConnected() throws Exception {
        Connection[] opened = new Connection[1];
        InetSocketAddress address =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
        runOnLoop(
                () -> {
                    opened[0] =
                            Connection.open(
                                    loop,
                                    address,
                                    MAX_UNREAD_BYTES,
                                    CONNECT_MICROS,
                                    new CallbackRecorder());
                    opened[0].send(ByteBuffer.allocate(5));
                    assertEquals(0, opened[0].writtenBytes());
                    assertEquals(5, opened[0].pendingBytes());
                });
        try (Socket peer = server.accept()) {
            assertEquals(5, peer.getInputStream().readNBytes(5).length);
        }
    }
}
