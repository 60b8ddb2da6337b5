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

/** The states of a connection, and the transitions that must not happen. */
class ConnectionTest {
    private static final int KEEP_BYTES = 1_024;
    private static final long CONNECT_MICROS = 1_000_000;
    private static final int WAIT_SECONDS = 10;

    private final List<Throwable> broken = Collections.synchronizedList(new ArrayList<>());
    private final List<String> heard = Collections.synchronizedList(new ArrayList<>());
    private final CountDownLatch connected = new CountDownLatch(1);
    private Loop loop;
    private ServerSocket server;

    @BeforeEach
    void start() throws Exception {
        loop = new Loop("test", broken::add).start();
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws Exception {
        server.close();
        loop.stop();
        loop.join(WAIT_SECONDS * 1_000);
        assertEquals(List.of(), broken);
    }

    private final class Recorder implements ConnectionHandler {
        @Override
        public void connected() {
            heard.add("connected");
            connected.countDown();
        }

        @Override
        public void received(ByteBuffer in) {
            heard.add("received");
            in.position(in.limit());
        }

        @Override
        public void closed(IOException why) {
            heard.add("closed " + why);
        }
    }

    private interface OnLoop {
        void run(Connection connection);
    }

    /** Opens a connection, waits until it is up, runs the step on the loop and waits for it. */
    private Connection afterConnecting(OnLoop step) throws Exception {
        Connection[] opened = new Connection[1];
        InetSocketAddress address =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
        loop.execute(
                () ->
                        opened[0] =
                                Connection.open(
                                        loop, address, KEEP_BYTES, CONNECT_MICROS, new Recorder()));
        assertTrue(connected.await(WAIT_SECONDS, TimeUnit.SECONDS));
        onLoop(() -> step.run(opened[0]));
        return opened[0];
    }

    private void onLoop(Runnable step) throws Exception {
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(
                () -> {
                    step.run();
                    done.countDown();
                });
        assertTrue(done.await(WAIT_SECONDS, TimeUnit.SECONDS));
    }

    @Test
    void aClosedConnectionHearsNothingAndSendsNothing() throws Exception {
        Connection connection =
                afterConnecting(
                        each -> {
                            each.close();
                            each.send(ByteBuffer.allocate(4));
                            each.poll();
                            each.offerUnreadInput();
                            each.closeWhenSent();
                            each.close();
                        });
        assertFalse(connection.isOpen());
        assertEquals(0, connection.pendingBytes());
        assertEquals(0, connection.writtenBytes());
        assertEquals(List.of("connected"), heard, "no callback after its own close");
    }

    @Test
    void aConnectionThatClosesOnceSentIsClosedAtOnceWithoutOutput() throws Exception {
        Connection connection = afterConnecting(Connection::closeWhenSent);
        assertFalse(connection.isOpen());
    }

    @Test
    void aConnectionThatIsClosingDeliversItsOutputFirst() throws Exception {
        int bytes = 8 << 20;
        Connection connection =
                afterConnecting(
                        each -> {
                            each.send(ByteBuffer.allocate(bytes));
                            each.closeWhenSent();
                        });
        assertTrue(connection.isOpen(), "more than the kernel takes at once is still to go");
        try (Socket peer = server.accept()) {
            assertEquals(bytes, peer.getInputStream().readNBytes(bytes + 1).length);
        }
        onLoop(() -> assertFalse(connection.isOpen()));
    }

    @Test
    void thePeersEndIsHeardOnceAndLeavesItClosed() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        Connection connection = afterConnecting(each -> {});
        server.accept().close();
        for (int i = 0; i < 100 && connection.isOpen(); i++) {
            ended.await(20, TimeUnit.MILLISECONDS);
        }
        assertEquals(List.of("connected", "closed " + null), heard);
        onLoop(connection::poll);
        assertEquals(2, heard.size());
    }

    @Test
    void aConnectionThatIsNotUpYetQueuesItsOutput() throws Exception {
        Connection[] opened = new Connection[1];
        InetSocketAddress address =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
        onLoop(
                () -> {
                    opened[0] =
                            Connection.open(
                                    loop, address, KEEP_BYTES, CONNECT_MICROS, new Recorder());
                    opened[0].send(ByteBuffer.allocate(5));
                    assertEquals(0, opened[0].writtenBytes());
                    assertEquals(5, opened[0].pendingBytes());
                });
        try (Socket peer = server.accept()) {
            assertEquals(5, peer.getInputStream().readNBytes(5).length);
        }
    }
}
