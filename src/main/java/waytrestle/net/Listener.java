package waytrestle.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;

/**
 * Accepts TCP connections on an event loop and hands each to a consumer, which then owns it. Only
 * the constructor, {@link #isOpen} and {@link #port} may be called from other threads than the
 * loop's.
 */
public final class Listener {
    /**
     * Most connections accepted in one turn of the loop: a flood of new connections must not starve
     * those that are open.
     */
    private static final int MAX_ACCEPTS_PER_TURN = 64;

    /**
     * Pause after an accept that failed, most likely because the process has no free file
     * descriptor. The listener stays ready while a connection waits in the kernel, so without a
     * pause the loop would spin until a descriptor is free.
     */
    private static final long FAILED_ACCEPT_PAUSE_MICROS = 50_000;

    /**
     * How long a closing listener tries again when accepting fails. The close resets the
     * connections that still wait in the kernel, even those whose request has arrived completely.
     */
    private static final long CLOSE_RETRY_TIMEOUT_MICROS = 500_000;

    private static final long CLOSE_RETRY_INTERVAL_MICROS = 5_000;

    /**
     * Number of accepts in a row without a connection after which a closing listener considers the
     * kernel's queue empty. One is not enough: an accept that a signal interrupts returns no
     * connection either.
     */
    private static final int EMPTY_ACCEPTS_AT_CLOSE = 3;

    /** Accepts the next connection that waits in the kernel; replaced in tests. */
    interface ChannelSource {
        /** Returns the accepted connection, or null if none waits. */
        SocketChannel next(ServerSocketChannel server) throws IOException;
    }

    private final Loop loop;
    private final ChannelSource channelSource;
    private final ServerSocketChannel server;
    private final Registration registration;
    private final Consumer<SocketChannel> channelConsumer;
    private long closingSince;
    private boolean closing;

    /**
     * Listens at an address. May be called from any thread.
     *
     * @param backlog most connections that wait in the kernel to be accepted
     * @param channelConsumer is given each accepted channel, on the loop's thread
     * @throws IOException when the address cannot be bound, which the message names, or when the
     *     listener cannot be registered with the loop
     */
    public Listener(
            Loop loop,
            InetSocketAddress address,
            int backlog,
            Consumer<SocketChannel> channelConsumer)
            throws IOException {
        this(loop, address, backlog, ServerSocketChannel::accept, channelConsumer);
    }

    Listener(
            Loop loop,
            InetSocketAddress address,
            int backlog,
            ChannelSource channelSource,
            Consumer<SocketChannel> channelConsumer)
            throws IOException {
        this.loop = loop;
        this.channelSource = channelSource;
        this.channelConsumer = channelConsumer;
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
            String addressText = address.getAddress().getHostAddress() + ":" + address.getPort();
            throw new IOException("cannot listen on " + addressText + ": " + e.getMessage(), e);
        }
    }

    private void acceptSome() {
        try {
            for (int i = 0; i < MAX_ACCEPTS_PER_TURN && acceptOne(); i++) {
                // acceptOne hands the connection to the consumer
            }
        } catch (IOException e) {
            loop.faults().count("listener.accept", "paused", e);
            pause();
        }
    }

    /** Accepts a connection and hands it to the consumer; returns false if none waits. */
    private boolean acceptOne() throws IOException {
        SocketChannel channel = server.isOpen() ? channelSource.next(server) : null;
        if (channel != null) {
            channelConsumer.accept(channel);
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
     * Accepts the connections that wait in the kernel, which a close would reset, then closes the
     * listener. Both are done at return unless accepting fails; then accepting is tried again for
     * up to 500 ms before the close.
     */
    public void acceptPendingAndClose() {
        if (!closing) {
            closing = true;
            closingSince = Loop.nowMicros();
            acceptPending();
        }
    }

    private void acceptPending() {
        if (!server.isOpen()) {
            return;
        }
        try {
            int emptyAccepts = 0;
            while (emptyAccepts < EMPTY_ACCEPTS_AT_CLOSE) {
                emptyAccepts = acceptOne() ? 0 : emptyAccepts + 1;
            }
        } catch (IOException e) {
            if (Loop.nowMicros() - closingSince < CLOSE_RETRY_TIMEOUT_MICROS) {
                loop.faults().count("listener.accept", "retried_at_close", e);
                loop.after(CLOSE_RETRY_INTERVAL_MICROS, this::acceptPending);
                return;
            }
            loop.faults().count("listener.accept", "given_up_at_close", e);
        }
        close();
    }

    /** Returns whether the listener has not been closed. */
    public boolean isOpen() {
        return server.isOpen();
    }

    /** Returns the local TCP port, also where port 0 was asked for. */
    public int port() {
        return server.socket().getLocalPort();
    }

    /** Closes at once; the kernel resets connections that wait to be accepted. */
    public void close() {
        registration.cancel();
        try {
            server.close();
        } catch (IOException ignored) {
            // The listening socket is released even if close fails.
        }
    }
}
