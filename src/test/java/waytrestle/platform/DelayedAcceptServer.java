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
 * An address at which connections neither come up nor fail until told: its backlog is full of
 * connections of its own.
 */
final class DelayedAcceptServer implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<SocketChannel> fillers = new ArrayList<>();
    private final Set<Integer> ports = new HashSet<>();

    DelayedAcceptServer() throws Exception {
        for (boolean full = false; !full; ) {
            SocketChannel filler = SocketChannel.open();
            filler.configureBlocking(false);
            filler.connect(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()));
            for (int i = 0; i < 20 && !filler.finishConnect(); i++) {
                Thread.sleep(10);
            }
            full = !filler.isConnected();
            if (full) {
                filler.close();
            } else {
                fillers.add(filler);
                ports.add(((InetSocketAddress) filler.getLocalAddress()).getPort());
            }
        }
    }

    int port() {
        return server.getLocalPort();
    }

    /** Lets connections come up, and gives the first that is not its own; null when none came. */
    Socket open() throws Exception {
        server.setSoTimeout(6_000); // the kernel asks again after one second, then after two more
        try {
            for (Socket s = server.accept(); ; s = server.accept()) {
                if (!ports.contains(s.getPort())) {
                    s.setSoTimeout(6_000);
                    return s;
                }
                s.close();
            }
        } catch (SocketTimeoutException none) {
            return null;
        }
    }

    @Override
    public void close() throws Exception {
        for (SocketChannel each : fillers) {
            each.close();
        }
        server.close();
    }
}
