package waytrestle.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.function.Function;

/**
 * A TCP connection on a loop. Input the handler does not take is kept, up to {@code keep} bytes,
 * and offered again at {@link #offer}; at the bound reading stops, which is the back-pressure on
 * the sender. Output is queued by reference and written gathered; {@link #pending} tells the writer
 * when to stop producing.
 */
public final class Connection {
    /** Callbacks, all on the loop. After {@code closed} there are none. */
    public interface Handler {
        default void connected() {}

        /** Takes what it wants from the buffer; what remains is kept. */
        void received(ByteBuffer in);

        default void drained() {}

        /**
         * More is kept unread than may be: reading has stopped, and the peer's going would not be
         * seen.
         */
        default void crammed() {}

        /** The peer closed (null), or the connection broke. */
        void closed(IOException why);
    }

    private static final int GATHER = 16; // buffers a gathered write: more gain nothing on a socket
    private static final int SLICE =
            64 * 1024; // bytes of one buffer: the JDK copies all that is left of a heap buffer
    // for each write, however little the socket takes
    private static final long BEHIND =
            50_000; // micros: a loop behind by more looks again before it acts for a client
    private static final long TURN =
            256 * 1024; // bytes a turn: a large answer must not hold up the small ones

    /** No connection was tried: this process can have no further socket now. */
    public static final class NoSocket extends IOException {
        private static final long serialVersionUID = 1L;

        NoSocket(Exception why) {
            super("no socket is to be had: " + why.getMessage(), why);
        }
    }

    private final Loop loop;
    private final SocketChannel channel;
    private final int keep;
    private final Handler handler;
    private final ArrayDeque<ByteBuffer> out = new ArrayDeque<>();
    private SelectionKey key;
    private ByteBuffer kept = EMPTY;
    private TimerHeap.Timer connectTimer;
    private long pending,
            written,
            lastMove,
            offeredSince,
            keptSince,
            bornSince,
            bornTurn,
            bornBehind;
    private boolean closed, closeWhenSent, endOutput, offering, connecting, ended, paused, accepted;

    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    private Connection(Loop loop, SocketChannel channel, int keep, Handler handler) {
        this.loop = loop;
        this.channel = channel;
        this.keep = keep;
        this.handler = handler;
        this.lastMove = Loop.now();
        this.bornSince = loop.turnBefore();
        this.bornTurn = loop.turnAt();
        this.bornBehind = loop.behind();
    }

    /** Takes over an accepted channel; the handler is made knowing its connection. */
    public static Connection accepted(
            Loop loop, SocketChannel channel, int keep, Function<Connection, Handler> maker)
            throws IOException {
        Late late = new Late();
        Connection made = new Connection(loop, channel, keep, late);
        late.handler = maker.apply(made);
        made.accepted = true;
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        made.key = loop.register(channel, SelectionKey.OP_READ, made::ready);
        return made;
    }

    /**
     * Begins a connection; the handler hears {@code connected} or {@code closed}, within the time
     * given.
     */
    public static Connection open(
            Loop loop, InetSocketAddress to, int keep, long connectMicros, Handler handler) {
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open();
            Connection made = new Connection(loop, channel, keep, handler);
            made.connecting = true;
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            made.connectTimer =
                    loop.after(
                            connectMicros,
                            () -> made.fail(new SocketTimeoutException("no connection in time")));
            boolean done = channel.connect(to);
            made.key = loop.register(channel, done ? 0 : SelectionKey.OP_CONNECT, made::ready);
            if (done) {
                loop.after(0, made::established);
            }
            return made;
        } catch (IOException | RuntimeException e) {
            Connection made = new Connection(loop, channel, keep, handler);
            IOException why =
                    channel == null
                            ? new NoSocket(e)
                            : e instanceof IOException io ? io : new IOException(e);
            loop.after(0, () -> made.fail(why));
            return made;
        }
    }

    private static final class Late implements Handler {
        private Handler handler;

        @Override
        public void received(ByteBuffer in) {
            handler.received(in);
        }

        @Override
        public void drained() {
            handler.drained();
        }

        @Override
        public void crammed() {
            handler.crammed();
        }

        @Override
        public void closed(IOException why) {
            handler.closed(why);
        }
    }

    public boolean isOpen() {
        return !closed;
    }

    /** What an idle connection is found to be, before the loop has come to it. */
    public enum Idle {
        FIT,
        SPOKE,
        ENDED
    }

    /**
     * Asks the kernel whether anything has come on an idle connection, or its other side has ended
     * it.
     */
    public Idle idle() {
        try {
            int n = channel.read(loop.oneByte());
            return n == 0 ? Idle.FIT : n > 0 ? Idle.SPOKE : Idle.ENDED;
        } catch (IOException e) {
            return Idle.ENDED;
        }
    }

    /**
     * Takes in what the kernel holds, ahead of the loop: for whoever is about to act on this side's
     * idleness, or for a client that may have gone. What has come is handed to the handler as ever;
     * an end is told to it.
     */
    public void poll() {
        int room = keep - kept.remaining();
        if (closed || connecting || paused || offering || room <= 0) {
            return;
        }
        try {
            ByteBuffer in = ByteBuffer.allocate(room); // the loop's own buffer may be in use
            take(channel.read(in), in);
        } catch (IOException e) {
            fail(e);
        }
    }

    /** The same, where the loop has been busy elsewhere for so long that it matters. */
    public void pollIfBehind() {
        if (loop.behind() > BEHIND) {
            poll();
        }
    }

    /** Bytes queued and not yet taken by the kernel. */
    public long pending() {
        return pending;
    }

    /** Bytes that the kernel has taken since the connection began. */
    public long written() {
        return written;
    }

    /** Monotonic micros of the last byte in either direction. */
    public long lastMove() {
        return lastMove;
    }

    /** The earliest time at which the input now offered can have come. */
    public long offeredSince() {
        return offeredSince;
    }

    public int kept() {
        return kept.remaining();
    }

    public InetAddress address() {
        try {
            return channel.getRemoteAddress() instanceof InetSocketAddress at
                    ? at.getAddress()
                    : null;
        } catch (IOException e) {
            return null;
        }
    }

    public String peer() {
        try {
            return String.valueOf(channel.getRemoteAddress());
        } catch (IOException e) {
            return "unknown";
        }
    }

    private void ready(SelectionKey ignored) {
        try {
            if (key.isConnectable()) {
                channel.finishConnect();
                established();
                return;
            }
            if (key.isReadable()) {
                read();
            }
            if (!closed && key.isValid() && key.isWritable()) {
                flush();
            }
        } catch (IOException e) {
            fail(e);
        }
    }

    private void established() {
        if (closed || !connecting) {
            return;
        }
        connecting = false;
        connectTimer.cancel();
        lastMove = Loop.now();
        interest();
        handler.connected();
        if (!closed && !out.isEmpty()) {
            send();
        }
    }

    private void read() throws IOException {
        ByteBuffer in = loop.readBuffer();
        in.limit(Math.max(1, Math.min(in.capacity(), keep - kept.remaining())));
        int n = channel.read(in);
        long behind = loop.behind() + (loop.turnBefore() == bornTurn ? bornBehind : 0);
        if (accepted && n > 0 && in.hasRemaining() && behind > BEHIND) {
            n =
                    channel.read(in) < 0
                            ? -1
                            : in.position(); // who sent this may have gone since: nobody waits
            // for it
        }
        take(n, in);
    }

    private void take(int n, ByteBuffer in) throws IOException {
        if (n < 0) {
            ended = true;
            fail(null);
            return;
        }
        if (n == 0) {
            return;
        }
        lastMove = Loop.now();
        in.flip();
        if (kept.hasRemaining()) {
            ByteBuffer joined = ByteBuffer.allocate(kept.remaining() + in.remaining());
            kept = joined.put(kept).put(in).flip();
            offer();
        } else {
            offering = true;
            // What came with the connection, or right behind it, may have waited for as long as the
            // connection itself.
            offeredSince = loop.turnBefore() == bornTurn ? bornSince : loop.turnBefore();
            try {
                handler.received(in);
            } finally {
                offering = false;
            }
            if (in.hasRemaining() && !closed) {
                keptSince = offeredSince;
                kept = ByteBuffer.allocate(in.remaining()).put(in).flip();
            }
        }
        interest();
        if (!closed && kept.remaining() >= keep) {
            handler.crammed();
        }
    }

    /**
     * Stops reading, so that the peer's sending stops too; {@link #offer} after resuming goes on.
     */
    public void pause(boolean on) {
        paused = on;
        interest();
    }

    /** Offers kept input again, after the handler became able to take more. */
    public void offer() {
        if (offering || closed) {
            return;
        }
        offering = true;
        offeredSince = keptSince;
        try {
            int before = -1;
            while (!closed && kept.hasRemaining() && kept.remaining() != before) {
                before = kept.remaining();
                handler.received(kept);
            }
        } finally {
            offering = false;
        }
        if (!kept.hasRemaining()) {
            kept = EMPTY;
        }
        interest();
    }

    /** Queues buffers, which must not be touched after, and writes what the kernel takes now. */
    public void send(ByteBuffer... buffers) {
        if (closed) {
            return;
        }
        for (ByteBuffer buffer : buffers) {
            pending += buffer.remaining();
            while (buffer.remaining() > SLICE) {
                out.add(buffer.slice(buffer.position(), SLICE));
                buffer.position(buffer.position() + SLICE);
            }
            if (buffer.hasRemaining()) {
                out.add(buffer);
            }
        }
        if (!connecting) {
            try {
                flush();
            } catch (IOException e) {
                loop.after(0, () -> fail(e)); // not within the caller's own step
            }
        }
    }

    private void flush() throws IOException {
        boolean had = pending > 0;
        long turn = 0;
        while (!out.isEmpty()) {
            ByteBuffer[] some = new ByteBuffer[Math.min(GATHER, out.size())];
            int i = 0;
            for (ByteBuffer buffer : out) {
                if (i == some.length) {
                    break;
                }
                some[i++] = buffer;
            }
            long n = channel.write(some);
            written += n;
            pending -= n;
            if (n > 0) {
                lastMove = Loop.now();
            }
            while (!out.isEmpty() && !out.peek().hasRemaining()) {
                out.poll();
            }
            turn += n;
            if (n == 0 || turn >= TURN) {
                break;
            }
        }
        interest();
        if (had && pending == 0) {
            if (closeWhenSent) {
                close();
                handler.closed(null);
            } else {
                if (endOutput) {
                    shutOutput();
                }
                handler.drained();
            }
        }
    }

    private void interest() {
        if (closed || connecting || key == null || !key.isValid()) {
            return;
        }
        int ops =
                (kept.remaining() < keep && !paused ? SelectionKey.OP_READ : 0)
                        | (out.isEmpty() ? 0 : SelectionKey.OP_WRITE);
        if (key.interestOps() != ops) {
            key.interestOps(ops);
        }
    }

    /** Ends this side once all queued output has gone; the other may go on sending. */
    public void endOutput() {
        endOutput = true;
        if (pending == 0) {
            shutOutput();
        }
    }

    private void shutOutput() {
        try {
            if (!closed) {
                channel.shutdownOutput();
            }
        } catch (IOException ignored) {
            // it broke, which the next read tells
        }
    }

    /** Closes once all queued output has gone. */
    public void closeWhenSent() {
        closeWhenSent = true;
        if (pending == 0) {
            close();
        }
    }

    /**
     * Closes at once, without a callback. Unread input makes the kernel send a reset, as meant for
     * a cancel.
     */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (connectTimer != null) {
            connectTimer.cancel();
        }
        out.clear();
        pending = 0;
        kept = EMPTY;
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException ignored) {
            // the descriptor is gone either way
        }
    }

    /** Closes with a reset, so that the peer sees at once that nobody waits. */
    public void reset() {
        try {
            if (channel != null && channel.isOpen()) {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            }
        } catch (IOException ignored) {
            // an ordinary close then
        }
        close();
    }

    private void fail(IOException why) {
        if (!closed) {
            close();
            handler.closed(ended ? null : why);
        }
    }
}
