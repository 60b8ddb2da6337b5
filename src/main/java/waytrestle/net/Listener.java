package waytrestle.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;

/** Accepts connections on a loop; what to do with each is the acceptor's. */
public final class Listener {
    private static final int BATCH = 64; // accepts a turn: a flood must not starve what is open
    private static final long PAUSE =
            50_000; // micros after a failed accept: the connection that waits stays ready, so

    // without a pause the loop would spin until a descriptor is free

    /** Takes the next connection that the kernel has made, or null. */
    interface Source {
        SocketChannel next(ServerSocketChannel server) throws IOException;
    }

    private final Loop loop;
    private final Source source;
    private final ServerSocketChannel server;
    private final SelectionKey key;
    private final Consumer<SocketChannel> acceptor;

    public Listener(Loop loop, InetSocketAddress at, int backlog, Consumer<SocketChannel> acceptor)
            throws IOException {
        this(loop, at, backlog, ServerSocketChannel::accept, acceptor);
    }

    Listener(
            Loop loop,
            InetSocketAddress at,
            int backlog,
            Source source,
            Consumer<SocketChannel> acceptor)
            throws IOException {
        this.loop = loop;
        this.source = source;
        server = ServerSocketChannel.open();
        try {
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(at, backlog);
        } catch (IOException e) {
            server.close();
            throw new IOException(
                    "cannot listen on "
                            + at.getAddress().getHostAddress()
                            + ":"
                            + at.getPort()
                            + ": "
                            + e.getMessage(),
                    e);
        }
        this.acceptor = acceptor;
        key = loop.register(server, SelectionKey.OP_ACCEPT, k -> take(BATCH));
    }

    private void take(int most) {
        for (int i = 0; i < most && server.isOpen(); i++) {
            SocketChannel channel;
            try {
                channel = source.next(server);
            } catch (
                    IOException
                            e) { // most likely no descriptor is free; the connection waits in the
                // backlog
                pause();
                return;
            }
            if (channel == null) {
                return;
            }
            acceptor.accept(channel);
        }
    }

    private void pause() {
        if (key.isValid()) {
            key.interestOps(0);
            loop.after(
                    PAUSE,
                    () -> {
                        if (key.isValid()) {
                            key.interestOps(SelectionKey.OP_ACCEPT);
                        }
                    });
        }
    }

    /** Takes what the kernel has accepted already, which a close would reset, then closes. */
    public void takeAndClose() {
        take(Integer.MAX_VALUE);
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
