package waytrestle.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.function.Function;

/**
 * A TCP connection on a loop. Input the handler does not take is kept, up to {@code keep} bytes,
 * and offered again at {@link #offerUnreadInput}; at the bound reading stops, which is the
 * back-pressure on the sender. Output is queued by reference and written gathered; {@link
 * #pendingBytes} tells the writer when to stop producing.
 *
 * <p>A read or write that fails is tried again after a pause: a connection ends only when the peer
 * has ended it, when a read says that it is broken, or when it has failed for longer than its
 * patience.
 *
 * <table>
 * <caption>States</caption>
 * <tr><th>state</th><th>entered by</th><th>left for</th></tr>
 * <tr><td>CONNECTING</td><td>{@link #open}</td><td>OPEN, CLOSED</td></tr>
 * <tr><td>OPEN</td><td>{@link #ofAccepted}, the connection came up</td><td>CLOSING, CLOSED</td></tr>
 * <tr><td>CLOSING</td><td>{@link #closeWhenSent} with output pending</td><td>CLOSED</td></tr>
 * <tr><td>CLOSED</td><td>{@link #close}, {@link #reset}, the peer's end, a failure</td><td></td></tr>
 * </table>
 */
public final class Connection {
    private enum State {
        CONNECTING,
        OPEN,
        CLOSING,
        CLOSED
    }

    /** Bytes written a turn: a large answer must not hold up the small ones. */
    private static final long MAX_BYTES_PER_TURN = 256 * 1024;

    /** Bytes read outside the loop's turn, at most. */
    private static final int MAX_POLLED_BYTES = 64 * 1024;

    private final Loop loop;
    private final SocketChannel channel;
    private final PeerRole role;
    private final UnreadInput input;
    private final OutputQueue output = new OutputQueue();
    private final RetryTimer readRetry;
    private final RetryTimer writeRetry;
    private final long bornSince;
    private final long bornTurn;
    private final long bornBehind;
    private ConnectionHandler handler;
    private State state;
    private Registration registration;
    private TimerHeap.Timer connectTimer;
    private long lastMove = Loop.nowMicros();
    private long brokenCloseDelayMicros;
    private boolean outputEnds;
    private boolean paused;

    private Connection(Loop loop, SocketChannel channel, int keep, State state) {
        this.loop = loop;
        this.channel = channel;
        this.input = new UnreadInput(keep, in -> handler.received(in), this::isOpen);
        this.state = state;
        this.role = state == State.OPEN ? PeerRole.CLIENT : PeerRole.SERVER;
        this.readRetry = role.newReadRetry(loop, this::resumeReading);
        this.writeRetry = role.newWriteRetry(loop, this::resumeWriting);
        this.bornSince = loop.previousSelectionMicros();
        this.bornTurn = loop.currentSelectionMicros();
        this.bornBehind = loop.unseenMicros();
    }

    /**
     * Takes over an accepted channel; the handler is made knowing its connection.
     *
     * @throws IOException when the channel cannot be registered; it is closed then, and no handler
     *     was made
     */
    public static Connection ofAccepted(
            Loop loop,
            SocketChannel channel,
            int keep,
            Function<Connection, ConnectionHandler> maker)
            throws IOException {
        Connection made = new Connection(loop, channel, keep, State.OPEN);
        made.sendWithoutDelay();
        try {
            made.registration = loop.register(channel, SelectionKey.OP_READ, made::ready);
        } catch (IOException e) {
            made.close();
            throw e;
        }
        made.handler = maker.apply(made);
        return made;
    }

    /**
     * Begins a connection; the handler hears {@code connected} or {@code closed}, within the time
     * given.
     */
    public static Connection open(
            Loop loop,
            InetSocketAddress to,
            int keep,
            long connectMicros,
            ConnectionHandler handler) {
        SocketChannel channel;
        try {
            channel = SocketChannel.open();
        } catch (IOException | RuntimeException e) {
            Connection none = new Connection(loop, null, keep, State.CONNECTING);
            none.handler = handler;
            none.failSoon(new NoSocketException(e));
            return none;
        }
        Connection made = new Connection(loop, channel, keep, State.CONNECTING);
        made.handler = handler;
        made.connect(to, connectMicros);
        return made;
    }

    private void connect(InetSocketAddress to, long connectMicros) {
        connectTimer =
                loop.after(connectMicros, () -> fail(new SocketTimeoutException("no connection")));
        sendWithoutDelay();
        try {
            channel.configureBlocking(false);
            boolean done = channel.connect(to);
            registration = loop.register(channel, done ? 0 : SelectionKey.OP_CONNECT, this::ready);
            if (done) {
                loop.after(0, this::established);
            }
        } catch (IOException e) {
            failSoon(e);
        } catch (RuntimeException e) {
            failSoon(new IOException(e));
        }
    }

    /** An option that cannot be set is no reason to give a good connection up. */
    private void sendWithoutDelay() {
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        } catch (IOException e) {
            countFault("set_option", "ignored", e);
        }
    }

    private void finishConnect() {
        try {
            if (!channel.finishConnect()) {
                return;
            }
        } catch (IOException e) {
            fail(e);
            return;
        }
        established();
    }

    private void established() {
        if (state != State.CONNECTING) {
            return;
        }
        state = State.OPEN;
        connectTimer.cancel();
        lastMove = Loop.nowMicros();
        updateInterest();
        handler.connected();
        if (isOpen() && !output.isEmpty()) {
            flush();
        }
    }

    /** Whether it has not been closed from either side. */
    public boolean isOpen() {
        return state != State.CLOSED;
    }

    /** Bytes queued and not yet taken by the kernel. */
    public long pendingBytes() {
        return output.pendingBytes();
    }

    /** Bytes that the kernel has taken since the connection began. */
    public long writtenBytes() {
        return output.writtenBytes();
    }

    /** Monotonic micros of the last byte in either direction. */
    public long lastTransferMicros() {
        return lastMove;
    }

    /** The earliest time at which the input now offered can have come. */
    public long offeredSinceMicros() {
        return input.offeredSinceMicros();
    }

    /** The peer's address and port for the log. */
    public String peerAddress() {
        return SocketAddresses.remoteAddress(channel);
    }

    private void countFault(String operation, String reaction, Exception error) {
        loop.faults().count(role.faultOperation(operation), reaction, error);
    }

    /**
     * Asks the kernel whether anything has come on an idle connection, or its other side has ended
     * it.
     */
    public IdleState checkIdle() {
        return IdleState.ofRead(SocketTransfers.read(channel, loop.oneByteBuffer()));
    }

    /**
     * Takes in what the kernel holds, ahead of the loop: for whoever is about to act on this side's
     * idleness, or for a client that may have gone. What has come is handed to the handler as ever;
     * an end is told to it.
     */
    public void poll() {
        int room = Math.min(MAX_POLLED_BYTES, input.freeBytes());
        if (!isOpen() || state == State.CONNECTING || paused || input.isOffering() || room <= 0) {
            return;
        }
        ByteBuffer in = ByteBuffer.allocate(room); // the loop's own buffer may be in use
        take(SocketTransfers.read(channel, in), in);
    }

    /** The same, where the loop has been busy elsewhere for long, or the last read has failed. */
    public void pollIfBehind() {
        if (loop.isBehind() || readRetry.isPending()) {
            poll();
        }
    }

    private void ready(int operations) {
        if (state == State.CONNECTING) {
            if ((operations & SelectionKey.OP_CONNECT) != 0) {
                finishConnect();
            }
            return;
        }
        if (isOpen() && (operations & SelectionKey.OP_READ) != 0) {
            read();
        }
        if (isOpen() && (operations & SelectionKey.OP_WRITE) != 0) {
            flush();
        }
    }

    private void read() {
        ByteBuffer in = loop.readBuffer();
        in.limit(Math.max(1, Math.min(in.capacity(), input.freeBytes())));
        Transfer transfer = SocketTransfers.read(channel, in);
        long behind =
                loop.unseenMicros() + (loop.previousSelectionMicros() == bornTurn ? bornBehind : 0);
        if (role == PeerRole.CLIENT
                && transfer.hasProgressed()
                && in.hasRemaining()
                && behind > Loop.BEHIND_THRESHOLD_MICROS) {
            // Who sent this may have gone since: nobody waits for it.
            Transfer next = SocketTransfers.read(channel, in);
            if (next.status() == Transfer.Status.ENDED || next.status() == Transfer.Status.BROKEN) {
                transfer = next;
            }
        }
        take(transfer, in);
    }

    private void take(Transfer transfer, ByteBuffer in) {
        switch (transfer.status()) {
            case PROGRESS -> {
                readRetry.recordSuccess();
                takeInput(in);
            }
            case WOULD_BLOCK -> readRetry.recordSuccess();
            case FAILED -> readFailed(transfer.error());
            case ENDED -> fail(null);
            case BROKEN -> fail(transfer.error());
        }
    }

    private void readFailed(IOException error) {
        if (readRetry.recordFailure(error)) {
            updateInterest();
        } else {
            fail(error);
        }
    }

    private void resumeReading() {
        poll();
        updateInterest();
    }

    private void takeInput(ByteBuffer in) {
        lastMove = Loop.nowMicros();
        in.flip();
        // What came with the connection, or right behind it, may have waited for as long as the
        // connection itself.
        input.add(
                in,
                loop.previousSelectionMicros() == bornTurn
                        ? bornSince
                        : loop.previousSelectionMicros());
        updateInterest();
        if (isOpen() && input.freeBytes() <= 0) {
            handler.unreadInputFull();
        }
    }

    /**
     * Stops reading, so that the peer's sending stops too; {@link #offerUnreadInput} after resuming
     * goes on.
     */
    public void setReadingPaused(boolean stopsReading) {
        paused = stopsReading;
        updateInterest();
    }

    /** Offers kept input again, after the handler became able to take more. */
    public void offerUnreadInput() {
        if (!input.isOffering() && isOpen()) {
            input.offerAgain();
            updateInterest();
        }
    }

    /** Queues buffers, which must not be touched after, and writes what the kernel takes now. */
    public void send(ByteBuffer... buffers) {
        if (!isOpen()) {
            return;
        }
        for (ByteBuffer buffer : buffers) {
            output.add(buffer);
        }
        if (state != State.CONNECTING && !writeRetry.isPending()) {
            flush();
        }
    }

    private void flush() {
        boolean hadOutput = output.pendingBytes() > 0;
        long turnBytes = 0;
        while (!output.isEmpty() && turnBytes < MAX_BYTES_PER_TURN) {
            Transfer transfer = SocketTransfers.write(channel, output.nextBuffers());
            if (!transfer.hasProgressed()) {
                writeStopped(transfer);
                break;
            }
            writeRetry.recordSuccess();
            output.recordWritten(transfer.bytes());
            lastMove = Loop.nowMicros();
            turnBytes += transfer.bytes();
        }
        updateInterest();
        if (hadOutput && output.pendingBytes() == 0) {
            outputDrained();
        }
    }

    private void writeStopped(Transfer transfer) {
        switch (transfer.status()) {
            case FAILED -> {
                if (!writeRetry.recordFailure(transfer.error())) {
                    failSoon(transfer.error());
                }
            }
            case BROKEN -> failSoon(transfer.error());
            default -> writeRetry.recordSuccess();
        }
    }

    /** A broken connection says so when it is read; any other is written to again. */
    private void resumeWriting() {
        poll();
        if (isOpen()) {
            flush();
        }
    }

    private void outputDrained() {
        if (state == State.CLOSING) {
            close();
            handler.closed(null);
            return;
        }
        if (outputEnds) {
            shutOutput();
        }
        handler.outputWritten();
    }

    private void updateInterest() {
        if (!isOpen() || state == State.CONNECTING || registration == null) {
            return;
        }
        boolean reads = input.freeBytes() > 0 && !paused && !readRetry.isPending();
        boolean writes = !output.isEmpty() && !writeRetry.isPending();
        registration.setOperations(
                (reads ? SelectionKey.OP_READ : 0) | (writes ? SelectionKey.OP_WRITE : 0));
    }

    /** Ends this side once all queued output has gone; the other may go on sending. */
    public void endOutput() {
        outputEnds = true;
        if (output.pendingBytes() == 0) {
            shutOutput();
        }
    }

    private void shutOutput() {
        try {
            if (isOpen()) {
                channel.shutdownOutput();
            }
        } catch (IOException e) {
            countFault("shutdown", "ignored", e); // a broken connection says so when it is read
        }
    }

    /** Closes once all queued output has gone. */
    public void closeWhenSent() {
        if (output.pendingBytes() == 0) {
            close();
        } else if (state == State.OPEN) {
            state = State.CLOSING;
        }
    }

    /**
     * Closes at once, without a callback. Unread input makes the kernel send a reset, as meant for
     * a cancel.
     */
    public void close() {
        if (!isOpen()) {
            return;
        }
        state = State.CLOSED;
        if (connectTimer != null) {
            connectTimer.cancel();
        }
        output.clear();
        input.clear();
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            countFault("close", "ignored", e); // the descriptor is gone either way
        }
    }

    /** Closes with a reset, so that the peer sees at once that nobody waits. */
    public void reset() {
        try {
            if (channel != null && channel.isOpen()) {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            }
        } catch (IOException e) {
            countFault("set_option", "closed_instead_of_reset", e);
        }
        close();
    }

    /** Fails it after the caller's own step. */
    private void failSoon(IOException why) {
        loop.after(0, () -> fail(why));
    }

    private void fail(IOException why) {
        if (!isOpen()) {
            return;
        }
        boolean broken = why != null;
        if (broken && brokenCloseDelayMicros > 0 && loop.mayDelayClose()) {
            state = State.CLOSED;
            registration.setOperations(0);
            loop.closeAfter(brokenCloseDelayMicros, channel);
        } else {
            close();
        }
        handler.closed(why);
    }

    /**
     * From now on, if the connection is found to be broken, the peer is to see its end so much
     * later; 0 for at once. What a peer sees soon after it has sent a request, it may take for a
     * close that crossed the request, and send the request elsewhere.
     */
    public void delayCloseIfBroken(long micros) {
        brokenCloseDelayMicros = micros;
    }
}
