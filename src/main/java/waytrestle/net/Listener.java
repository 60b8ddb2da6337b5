package waytrestle.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;

/** Accepts connections on a loop; what to do with each is the acceptor's. */
public final class Listener {
    private static final int BATCH = 64;  // accepts a turn: a flood must not starve what is open

    private final ServerSocketChannel server;
    private final SelectionKey key;
    private final Consumer<SocketChannel> acceptor;

    public Listener(Loop loop, InetSocketAddress at, int backlog, Consumer<SocketChannel> acceptor)
            throws IOException {
        server = ServerSocketChannel.open();
        try {
            server.setOption(java.net.StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(at, backlog);
        } catch (IOException e) {
            server.close();
            throw new IOException("cannot listen on " + at.getAddress().getHostAddress() + ":" + at.getPort() + ": "
                    + e.getMessage(), e);
        }
        this.acceptor = acceptor;
        key = loop.register(server, SelectionKey.OP_ACCEPT, k -> take(BATCH));
    }

    private void take(int most) throws IOException {
        for (int i = 0; i < most && server.isOpen(); i++) {
            SocketChannel channel = server.accept();
            if (channel == null) {
                return;
            }
            acceptor.accept(channel);
        }
    }

    /** Takes what the kernel has accepted already, which a close would reset, then closes. */
    public void takeAndClose() {
        try {
            take(Integer.MAX_VALUE);
        } catch (IOException ignored) {
            // it closes all the same
        }
        close();
    }

    public int port() {
        return server.socket().getLocalPort();
    }

    public void close() {
        key.cancel();
        try {
            server.close();
        } catch (IOException ignored) {
            // nothing listens there any more either way
        }
    }
}
