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
    /** Accepts a turn: a flood must not starve the connections that are open. */
    private static final int MAX_ACCEPTS_PER_TURN = 64;

    /**
     * Pause after an accept that failed, most likely for want of a descriptor. The connection that
     * waits stays ready, so without a pause the loop would spin until a descriptor is free.
     */
    private static final long FAILED_ACCEPT_PAUSE_MICROS = 50_000;

    /**
     * How long a listener that is being closed goes on where accepting fails: what it leaves in the
     * kernel is reset, though its request may have come complete.
     */
    private static final long CLOSE_PATIENCE_MICROS = 500_000;

    private static final long CLOSE_RETRY_MICROS = 5_000;

    /** Accepts without a connection that end a close: an interrupted one looks the same. */
    private static final int EMPTY_ACCEPTS_AT_CLOSE = 3;

    /** Takes the next connection that the kernel has made, or null. */
    interface ChannelSource {
        SocketChannel next(ServerSocketChannel server) throws IOException;
    }

    private final Loop loop;
    private final ChannelSource source;
    private final ServerSocketChannel server;
    private final Registration registration;
    private final Consumer<SocketChannel> acceptor;
    private long closingSince;
    private boolean closing;

    /**
     * Listens at an address.
     *
     * @throws IOException naming the address, when it cannot be bound
     */
    public Listener(
            Loop loop, InetSocketAddress address, int backlog, Consumer<SocketChannel> acceptor)
            throws IOException {
        this(loop, address, backlog, ServerSocketChannel::accept, acceptor);
    }

    Listener(
            Loop loop,
            InetSocketAddress address,
            int backlog,
            ChannelSource source,
            Consumer<SocketChannel> acceptor)
            throws IOException {
        this.loop = loop;
        this.source = source;
        this.acceptor = acceptor;
        server = bind(address, backlog);
        try {
            registration = loop.register(server, SelectionKey.OP_ACCEPT, ready -> acceptSome());
        } catch (IOException e) {
            server.close();
            throw e;
        }
    }

    private static ServerSocketChannel bind(InetSocketAddress address, int backlog)
            throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        try {
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(address, backlog);
            return server;
        } catch (IOException e) {
            server.close();
            String where = address.getAddress().getHostAddress() + ":" + address.getPort();
            throw new IOException("cannot listen on " + where + ": " + e.getMessage(), e);
        }
    }

    private void acceptSome() {
        try {
            for (int i = 0; i < MAX_ACCEPTS_PER_TURN && acceptOne(); i++) {
                // the acceptor has it
            }
        } catch (IOException e) {
            loop.faults().count("listener.accept", "paused", e);
            pause();
        }
    }

    /** Accepts a connection; false where none waits. */
    private boolean acceptOne() throws IOException {
        SocketChannel channel = server.isOpen() ? source.next(server) : null;
        if (channel != null) {
            acceptor.accept(channel);
        }
        return channel != null;
    }

    private void pause() {
        registration.setOperations(0);
        loop.after(
                FAILED_ACCEPT_PAUSE_MICROS,
                () -> registration.setOperations(SelectionKey.OP_ACCEPT));
    }

    /**
     * Takes what the kernel has accepted already, which a close would reset, then closes: at once,
     * unless accepting fails.
     */
    public void acceptPendingAndClose() {
        if (!closing) {
            closing = true;
            closingSince = Loop.nowMicros();
            acceptRest();
        }
    }

    private void acceptRest() {
        if (!server.isOpen()) {
            return;
        }
        try {
            int empty = 0;
            while (empty < EMPTY_ACCEPTS_AT_CLOSE) {
                empty = acceptOne() ? 0 : empty + 1;
            }
        } catch (IOException e) {
            if (Loop.nowMicros() - closingSince < CLOSE_PATIENCE_MICROS) {
                loop.faults().count("listener.accept", "retried_at_close", e);
                loop.after(CLOSE_RETRY_MICROS, this::acceptRest);
                return;
            }
            loop.faults().count("listener.accept", "given_up_at_close", e);
        }
        close();
    }

    /** Whether it still takes connections. */
    public boolean isOpen() {
        return server.isOpen();
    }

    /** The port it listens at. */
    public int port() {
        return server.socket().getLocalPort();
    }

    /** Closes at once; connections that wait in the kernel are reset. */
    public void close() {
        registration.cancel();
        try {
            server.close();
        } catch (IOException ignored) {
            // nothing listens there any more either way
        }
    }
}
