package waytrestle.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketOption;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.function.Function;

/**
 * A TCP connection on an event loop: connects, hands input to its handler and writes queued output.
 * Used on the loop's thread only. Points in time are those of {@link Loop#nowMicros}.
 *
 * <p>Input that the handler does not take is kept, up to {@code maxUnreadBytes}, and offered again
 * by {@link #offerUnreadInput}. At that limit reading stops, and TCP flow control stops the sender.
 * Output is queued without copying; {@link #pendingBytes} tells the writer when to stop producing.
 *
 * <p>A failed read or write is tried again after a pause. An established connection fails only when
 * the peer has ended it, when a read reports that it is broken, or when reads or writes have failed
 * for longer than the retry timeout of its {@link PeerRole}.
 *
 * <table>
 * <caption>States</caption>
 * <tr><th>state</th><th>entered by</th><th>left for</th></tr>
 * <tr><td>CONNECTING</td><td>{@link #open}</td><td>OPEN, CLOSED</td></tr>
 * <tr><td>OPEN</td><td>{@link #ofAccepted}, connection established</td><td>CLOSING, CLOSED</td></tr>
 * <tr><td>CLOSING</td><td>{@link #closeWhenSent} with output pending</td><td>CLOSED</td></tr>
 * <tr><td>CLOSED</td><td>{@link #close}, {@link #reset}, end by the peer, failure</td><td></td></tr>
 * </table>
 */
public final class Connection {
    private enum State {
        CONNECTING,
        OPEN,
        CLOSING,
        CLOSED
    }

    /** Bytes after which writing waits for the next turn: large responses must not delay others. */
    private static final long MAX_BYTES_PER_TURN = 256 * 1024;

    /** Most bytes that one {@link #poll} reads. */
    private static final int MAX_POLLED_BYTES = 64 * 1024;

    private final Loop loop;
    private final SocketChannel channel;
    private final PeerRole role;
    private final UnreadInput input;
    private final OutputQueue output = new OutputQueue();
    private final RetryTimer readRetry;
    private final RetryTimer writeRetry;
    private final long earliestArrivalMicros; // of input that arrived with the connection
    private final long creationMicros; // end of the selection in the turn of the creation
    private final long creationUnseen; // Loop.unseenMicros() at the creation
    private ConnectionHandler handler;
    private State state;
    private Registration registration;
    private TimerHeap.Timer connectTimer;
    private long lastTransferMicros = Loop.nowMicros();
    private long brokenCloseDelayMicros;
    private boolean endsOutputWhenSent;
    private boolean paused;

    private Connection(Loop loop, SocketChannel channel, int maxUnreadBytes, State state) {
        this.loop = loop;
        this.channel = channel;
        this.input = new UnreadInput(maxUnreadBytes, in -> handler.received(in), this::isOpen);
        this.state = state;
        this.role = state == State.OPEN ? PeerRole.CLIENT : PeerRole.SERVER;
        this.readRetry = role.newReadRetry(loop, this::resumeReading);
        this.writeRetry = role.newWriteRetry(loop, this::resumeWriting);
        this.earliestArrivalMicros = loop.previousSelectionMicros();
        this.creationMicros = loop.currentSelectionMicros();
        this.creationUnseen = loop.unseenMicros();
    }

    /**
     * Returns an open connection on an accepted channel, with a handler made for the connection.
     *
     * @throws IOException when registering fails; the channel is closed then, without a handler
     */
    public static Connection ofAccepted(
            Loop loop,
            SocketChannel channel,
            int maxUnreadBytes,
            Function<Connection, ConnectionHandler> handlerFactory)
            throws IOException {
        Connection accepted = new Connection(loop, channel, maxUnreadBytes, State.OPEN);
        accepted.setOption(StandardSocketOptions.TCP_NODELAY, true, "ignored");
        try {
            accepted.registration = loop.register(channel, SelectionKey.OP_READ, accepted::ready);
        } catch (IOException e) {
            accepted.close();
            throw e;
        }
        accepted.handler = handlerFactory.apply(accepted);
        return accepted;
    }

    /**
     * Starts to connect. The handler's {@code connected} is called once the connection is
     * established, or its {@code closed} on a failure or after {@code connectMicros}.
     */
    public static Connection open(
            Loop loop,
            InetSocketAddress address,
            int maxUnreadBytes,
            long connectMicros,
            ConnectionHandler handler) {
        SocketChannel channel;
        try {
            channel = SocketChannel.open();
        } catch (IOException | RuntimeException e) {
            Connection failed = new Connection(loop, null, maxUnreadBytes, State.CONNECTING);
            failed.handler = handler;
            failed.failLater(new NoSocketException(e));
            return failed;
        }
        Connection connection = new Connection(loop, channel, maxUnreadBytes, State.CONNECTING);
        connection.handler = handler;
        connection.connect(address, connectMicros);
        return connection;
    }

    private void connect(InetSocketAddress address, long connectMicros) {
        String timeout = "not connected in " + connectMicros + " us";
        connectTimer = loop.after(connectMicros, () -> fail(new SocketTimeoutException(timeout)));
        setOption(StandardSocketOptions.TCP_NODELAY, true, "ignored");
        try {
            channel.configureBlocking(false);
            boolean done = channel.connect(address);
            registration = loop.register(channel, done ? 0 : SelectionKey.OP_CONNECT, this::ready);
            if (done) {
                loop.after(0, this::established);
            }
        } catch (IOException | RuntimeException e) {
            failLater(e instanceof IOException failure ? failure : new IOException(e));
        }
    }

    /** Sets an option; where that fails, the connection is still good and is used without it. */
    private <T> void setOption(SocketOption<T> option, T value, String reactionToFailure) {
        try {
            if (channel != null && channel.isOpen()) {
                channel.setOption(option, value);
            }
        } catch (IOException e) {
            countFault("set_option", reactionToFailure, e);
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
        lastTransferMicros = Loop.nowMicros();
        updateInterest();
        handler.connected();
        if (isOpen() && !output.isEmpty()) {
            flush();
        }
    }

    /** Returns whether neither side has closed the connection; true also while connecting. */
    public boolean isOpen() {
        return state != State.CLOSED;
    }

    /** Returns the number of queued output bytes that the kernel has not taken yet. */
    public long pendingBytes() {
        return output.pendingBytes();
    }

    /** Returns the number of output bytes that the kernel has taken since the connection began. */
    public long writtenBytes() {
        return output.writtenBytes();
    }

    /** Returns when bytes were last read or written, or when the connection was established. */
    public long lastTransferMicros() {
        return lastTransferMicros;
    }

    /** Returns the earliest time at which the input now offered to the handler can have arrived. */
    public long offeredSinceMicros() {
        return input.offeredSinceMicros();
    }

    /** Returns the peer's address and port for the log, {@code unknown} on a closed channel. */
    public String peerAddress() {
        return SocketAddresses.remoteAddress(channel);
    }

    private void countFault(String operation, String reaction, Exception error) {
        loop.faults().count(role.faultOperation(operation), reaction, error);
    }

    /** Returns what the kernel knows of an idle connection; reads and discards up to one byte. */
    public IdleState checkIdle() {
        return loop.inputProbe().checkIdle(channel);
    }

    /**
     * Returns the first bytes behind the input that the handler has taken: the rest of the offered
     * buffer and what the kernel holds. If there are any, the handler must close the connection.
     */
    public ByteBuffer readFollowing(ByteBuffer offered) {
        return loop.inputProbe().readFollowing(channel, offered);
    }

    /**
     * Reads what the kernel holds, without waiting for the loop, to notice input or an end by the
     * peer before an idle connection is closed or a client is served. Does nothing while reading is
     * paused, input is being offered or the limit of unread input is reached.
     */
    public void poll() {
        int limit = Math.min(MAX_POLLED_BYTES, input.freeBytes());
        if (!isOpen() || state == State.CONNECTING || paused || input.isOffering() || limit <= 0) {
            return;
        }
        ByteBuffer in = ByteBuffer.allocate(limit); // the loop's read buffer may be in use
        take(SocketTransfers.read(channel, in), in);
    }

    /** Polls if the loop is behind or a failed read waits to be tried again. */
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
        long unseenMicros =
                loop.unseenMicros()
                        + (loop.previousSelectionMicros() == creationMicros ? creationUnseen : 0);
        if (role == PeerRole.CLIENT
                && transfer.hasProgressed()
                && in.hasRemaining()
                && unseenMicros > Loop.BEHIND_THRESHOLD_MICROS) {
            // Drops the input of a client that has gone since: it does not wait for a response.
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
        lastTransferMicros = Loop.nowMicros();
        in.flip();
        // Input read in the turn after the creation may have arrived together with the connection.
        input.add(
                in,
                loop.previousSelectionMicros() == creationMicros
                        ? earliestArrivalMicros
                        : loop.previousSelectionMicros());
        updateInterest();
        if (isOpen() && input.freeBytes() <= 0) {
            handler.unreadInputFull();
        }
    }

    /** Pauses or resumes reading; while it is paused, TCP flow control stops the peer's sending. */
    public void setReadingPaused(boolean isPaused) {
        paused = isPaused;
        updateInterest();
    }

    /** Offers the unread input again: after reading resumed, or when the handler can take more. */
    public void offerUnreadInput() {
        if (!input.isOffering() && isOpen()) {
            input.offerAgain();
            updateInterest();
        }
    }

    /** Queues buffers, which the caller must not use any more, and writes what the kernel takes. */
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
            lastTransferMicros = Loop.nowMicros();
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
                    failLater(transfer.error());
                }
            }
            case BROKEN -> failLater(transfer.error());
            default -> writeRetry.recordSuccess();
        }
    }

    /** Reads first, since only a read reports a broken connection, and then writes again. */
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
        if (endsOutputWhenSent) {
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

    /** Shuts down the output once all that is queued is written; the peer may go on sending. */
    public void endOutput() {
        endsOutputWhenSent = true;
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
            countFault("shutdown", "ignored", e); // the next read reports a broken connection
        }
    }

    /** Closes once all queued output is written, or at once without a callback if there is none. */
    public void closeWhenSent() {
        if (output.pendingBytes() == 0) {
            close();
        } else if (state == State.OPEN) {
            state = State.CLOSING;
        }
    }

    /**
     * Closes at once, without a callback. If the kernel holds unread input, it sends a TCP reset,
     * as intended for cancelled requests.
     */
    public void close() {
        if (!isOpen()) {
            return;
        }
        state = State.CLOSED;
        if (connectTimer != null) {
            connectTimer.cancel();
        }
        if (registration != null) {
            registration.cancelCheck();
        }
        output.clear();
        input.clear();
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            countFault("close", "ignored", e); // the file descriptor is released all the same
        }
    }

    /** Closes at once with a TCP reset, so that the peer learns that nobody waits for it. */
    public void reset() {
        setOption(StandardSocketOptions.SO_LINGER, 0, "closed_instead_of_reset");
        close();
    }

    /** Fails the connection once the loop's current task has returned. */
    private void failLater(IOException failure) {
        loop.after(0, () -> fail(failure));
    }

    private void fail(IOException failure) {
        if (!isOpen()) {
            return;
        }
        boolean broken = failure != null;
        if (broken && brokenCloseDelayMicros > 0 && loop.mayDelayClose()) {
            state = State.CLOSED;
            registration.setOperations(0);
            loop.closeAfter(brokenCloseDelayMicros, channel);
        } else {
            close();
        }
        handler.closed(failure);
    }

    /**
     * Sets how long after a failure the socket of a broken connection is closed; 0 for at once. A
     * client may take a close soon after a request for one that crossed it, and send it elsewhere.
     */
    public void delayCloseIfBroken(long micros) {
        brokenCloseDelayMicros = micros;
    }
}
