package waytrestle.platform;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Test fixture: an address at which connections are neither established nor refused until a test
 * accepts them. Its backlog is full of connections of its own.
 */
final class DelayedAcceptServer implements AutoCloseable {
    private static final int SMALLEST_BACKLOG = 1;
    private static final int CONNECT_CHECKS = 20;
    private static final long CONNECT_CHECK_PAUSE_MILLIS = 10;

    /** The kernel retries to connect after one second, then after two more. */
    private static final int ACCEPT_TIMEOUT_MILLIS = 6_000;

    private final ServerSocket server =
            new ServerSocket(0, SMALLEST_BACKLOG, InetAddress.getLoopbackAddress());
    private final List<SocketChannel> fillers = new ArrayList<>();
    private final Set<Integer> fillerPorts = new HashSet<>();

    DelayedAcceptServer() throws Exception {
        boolean full = false;
        while (!full) {
            full = !addFiller();
        }
    }

    int port() {
        return server.getLocalPort();
    }

    /** Accepts connections and returns the first that is not a filler; null when none came. */
    Socket acceptDelayed() throws Exception {
        server.setSoTimeout(ACCEPT_TIMEOUT_MILLIS);
        try {
            while (true) {
                Socket connection = server.accept();
                if (!fillerPorts.contains(connection.getPort())) {
                    connection.setSoTimeout(ACCEPT_TIMEOUT_MILLIS);
                    return connection;
                }
                connection.close();
            }
        } catch (SocketTimeoutException e) {
            return null;
        }
    }

    /** Connects one filler; false when it found the backlog full. */
    private boolean addFiller() throws Exception {
        SocketChannel filler = SocketChannel.open();
        filler.configureBlocking(false);
        filler.connect(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()));
        for (int i = 0; i < CONNECT_CHECKS && !filler.finishConnect(); i++) {
            Thread.sleep(CONNECT_CHECK_PAUSE_MILLIS);
        }
        if (!filler.isConnected()) {
            filler.close();
            return false;
        }
        fillers.add(filler);
        fillerPorts.add(((InetSocketAddress) filler.getLocalAddress()).getPort());
        return true;
    }

    @Override
    public void close() throws Exception {
        for (SocketChannel filler : fillers) {
            filler.close();
        }
        server.close();
    }
}
