package waytrestle.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import waytrestle.net.Connection;
import waytrestle.net.ConnectionHandler;
import waytrestle.net.IdleState;
import waytrestle.net.Loop;
import waytrestle.net.NoSocketException;
import waytrestle.net.TimerHeap;

/**
 * Requests to one peer over a bounded pool of kept connections, one request at a time on each. It
 * reports how an exchange ended in terms of what was on the wire; what that proves is for the
 * caller to say.
 *
 * <p>Not thread-safe: used by its loop alone.
 */
public final class HttpClient {
    /** Connections begun for one request: so many resets in a row tell of the server. */
    private static final int MAX_CONNECTIONS_PER_CALL = 3;

    private final Loop loop;
    private final InetSocketAddress peer;
    private final HttpLimits limits;
    private final int maxConnections;
    private final long connectMicros;
    private final long idleMicros;
    private final FairByteLimit held;

    /** The last used at the end. */
    private final ArrayDeque<PooledConnection> idle = new ArrayDeque<>();

    /** In the order in which they were begun. */
    private final Set<PooledConnection> connections = new LinkedHashSet<>();

    private final PeerEndDetector peerEnd = new PeerEndDetector();
    private ConnectionLimit slots = new ConnectionLimit(Integer.MAX_VALUE);
    private Runnable onLost = () -> {};
    private long stallMicros = Long.MAX_VALUE;
    private long restMicros;
    private long strayResponses;
    private boolean closed;

    /**
     * Creates a client without any connection.
     *
     * @param maxConnections to the peer, idle ones included
     * @param connectMicros for a connection to come up
     * @param idleMicros for which an idle connection is kept
     * @param held the bytes that incomplete responses of this and other clients may hold
     */
    public HttpClient(
            Loop loop,
            InetSocketAddress peer,
            HttpLimits limits,
            int maxConnections,
            long connectMicros,
            long idleMicros,
            FairByteLimit held) {
        this.held = held;
        this.loop = loop;
        this.peer = peer;
        this.limits = limits;
        this.maxConnections = maxConnections;
        this.connectMicros = connectMicros;
        this.idleMicros = idleMicros;
    }

    /** Hears that all connections, kept ones used lately among them, were closed by the peer. */
    public HttpClient withPeerEndListener(Runnable listener) {
        onLost = listener;
        return this;
    }

    /** Answers of which some came and then nothing for so long are not waited for any more. */
    public HttpClient withResponseStallMicros(long micros) {
        stallMicros = micros;
        return this;
    }

    /**
     * A connection is not used again for so long after an answer: of a peer that answers twice the
     * second answer would pass for that to the next request.
     */
    public HttpClient withReuseDelayMicros(long micros) {
        restMicros = micros;
        return this;
    }

    /** Shares a bound on connections with other clients. */
    public HttpClient withConnectionLimit(ConnectionLimit shared) {
        slots = shared;
        return this;
    }

    /** Open connections, idle ones and those that are coming up included. */
    public int openConnections() {
        return connections.size();
    }

    /** When the oldest open connection came up; {@link Long#MAX_VALUE} without one. */
    public long oldestConnectedAtMicros() {
        for (PooledConnection connection : connections) {
            if (connection.isUp) {
                return connection.upSince;
            }
        }
        return Long.MAX_VALUE;
    }

    /** Idle connections. */
    public int idleConnections() {
        return idle.size();
    }

    /**
     * How often bytes came on a connection with no request out: a second answer, or part of one.
     */
    public long strayResponses() {
        return strayResponses;
    }

    /** Reads responses that have come already, where the loop has been busy elsewhere for long. */
    public void pollIfBehind() {
        if (!loop.isBehind()) {
            return;
        }
        for (PooledConnection connection : List.copyOf(connections)) {
            if (connection.isUp && connection.call != null) {
                connection.transport.pollIfBehind();
            }
        }
    }

    /** Closes the connections that are idle now. */
    public void closeIdle() {
        while (!idle.isEmpty()) {
            idle.poll().drop();
        }
    }

    /** Closes idle connections now and every other one when its exchange ends. */
    public void close() {
        closed = true;
        closeIdle();
    }

    /** A request under way. */
    public final class Call {
        private final OutgoingRequest request;
        private final ResponseHandler handler;
        private final WithdrawalCheck withdrawal;
        private PooledConnection connection;
        private TimerHeap.Timer deadline;
        private boolean hasEnded;
        private int connectionsBegun;

        private Call(ByteBuffer[] request, Withdrawal withdrawal, ResponseHandler handler) {
            this.request = new OutgoingRequest(request);
            this.withdrawal = new WithdrawalCheck(withdrawal, Loop::nowMicros);
            this.handler = handler;
        }

        /** Whether it is not to be written any more, and has ended by that. */
        private boolean withdrawn() {
            ExchangeFailure how = hasEnded ? null : withdrawal.failureIfWithdrawn();
            if (how != null) {
                end(how, "withdrawn before it was sent");
            }
            return hasEnded;
        }

        /** Ends it as cancelled and closes its connection, which is how the peer learns of it. */
        public void cancel() {
            end(ExchangeFailure.CANCELLED, "cancelled");
        }

        private void end(ExchangeFailure how, String why) {
            if (hasEnded) {
                return;
            }
            hasEnded = true;
            deadline.cancel();
            if (connection != null) {
                connection.call = null;
                connection.reset();
            }
            loop.after(0, () -> handler.exchangeFailed(how, why));
        }

        private void answered(HttpMessage message) {
            hasEnded = true;
            deadline.cancel();
            connection = null;
            handler.responseReceived(message);
        }
    }

    /** Sends a request; the head and body are handed over. */
    public Call call(long withinMicros, ResponseHandler handler, ByteBuffer... request) {
        return call(withinMicros, () -> null, handler, request);
    }

    /**
     * The same; until its first byte is written it may be withdrawn, however late a connection
     * comes up.
     */
    public Call call(
            long withinMicros,
            Withdrawal withdrawal,
            ResponseHandler handler,
            ByteBuffer... request) {
        Call call = new Call(request, withdrawal, handler);
        call.deadline =
                loop.after(
                        withinMicros, () -> call.end(ExchangeFailure.TIMEOUT, "no answer in time"));
        PooledConnection connection = takeIdle();
        // Asked behind the looks at idle connections, which take time: right before it is written.
        if (call.withdrawn()) {
            giveBack(connection);
        } else if (connection == null) {
            openConnectionFor(call);
        } else {
            connection.idleTimer.cancel();
            slots.removeIdle(connection);
            connection.begin(call);
        }
        return call;
    }

    /** Returns a connection, if any, that was taken and not used. */
    private void giveBack(PooledConnection connection) {
        if (connection == null) {
            return;
        }
        if (closed) {
            connection.drop();
        } else {
            idle.add(connection);
        }
    }

    /**
     * The last used that has rested is the least likely to have been closed by the peer; null
     * without one.
     */
    private PooledConnection takeIdle() {
        long now = Loop.nowMicros();
        for (Iterator<PooledConnection> all = idle.descendingIterator(); all.hasNext(); ) {
            PooledConnection candidate = all.next();
            if (now - candidate.usedAt < restMicros) {
                continue;
            }
            IdleState state = candidate.transport.checkIdle();
            if (state == IdleState.UNKNOWN) {
                continue; // the look failed: it stays idle, and is looked at the next time
            }
            all.remove();
            if (candidate.isUsable(state)) {
                return candidate;
            }
        }
        return null;
    }

    private void openConnectionFor(Call call) {
        if (openConnections() >= maxConnections || !slots.tryAcquire()) {
            call.end(
                    ExchangeFailure.NO_ROOM,
                    "all connections that may be made to the invoker are in use");
            return;
        }
        PooledConnection connection = new PooledConnection();
        connection.transport =
                Connection.open(loop, peer, limits.bodyBytes(), connectMicros, connection);
        connections.add(connection);
        call.connectionsBegun++;
        connection.begin(call);
    }

    private void openAnotherConnectionFor(Call call) {
        if (!call.withdrawn()) {
            openConnectionFor(call);
        }
    }

    /** A connection to the peer, with at most one request at a time. */
    private final class PooledConnection implements ConnectionHandler {
        private final ResponseReader responses = new ResponseReader(limits, held);
        private Connection transport;
        private Call call;
        private TimerHeap.Timer idleTimer;
        private TimerHeap.Timer stallTimer;
        private boolean isUp;
        private boolean isDropped;
        private long usedAt;
        private long upSince;
        private long writtenBefore;

        /** Whether an idle one may be used again; if not it is dropped. */
        private boolean isUsable(IdleState state) {
            if (state == IdleState.UNEXPECTED_DATA) {
                strayResponses++;
                drop();
            } else if (state == IdleState.ENDED) {
                closed(null);
            }
            return state == IdleState.USABLE;
        }

        private void begin(Call next) {
            call = next;
            next.connection = this;
            if (isUp) {
                write();
            }
        }

        private void write() {
            writtenBefore = transport.writtenBytes();
            ByteBuffer[] request = call.request.bytes();
            Call writing = call;
            if (!writing.withdrawal.isOutdated() || !writing.withdrawn()) {
                transport.send(request);
                writing.withdrawal.requestWritten();
            }
        }

        @Override
        public void connected() {
            isUp = true;
            upSince = Loop.nowMicros();
            // It may have come up late: what it was made for may have been withdrawn meanwhile.
            if (call != null && !call.withdrawn()) {
                write();
            }
        }

        @Override
        public void received(ByteBuffer in) {
            cancelStallTimer();
            try {
                HttpMessage message = responses.next(in, call != null);
                if (message == null) {
                    awaitRest();
                } else {
                    completed(message, in.hasRemaining());
                }
            } catch (HttpError e) {
                fail(ExchangeFailure.MALFORMED, e.getMessage());
            }
        }

        private void awaitRest() {
            if (stallMicros < Long.MAX_VALUE) {
                stallTimer = loop.after(stallMicros, this::stalled);
            }
        }

        private void stalled() {
            fail(ExchangeFailure.MALFORMED, "the answer stopped short");
        }

        private void completed(HttpMessage message, boolean moreFollows) {
            Call answered = call;
            if (answered == null) {
                strayResponses++;
                drop();
                return;
            }
            strayResponses += moreFollows ? 1 : 0;
            call = null;
            // A second response must not reach the connection's next request.
            boolean reusable =
                    !closed
                            && !moreFollows
                            && message.keepsAlive()
                            && transport.pendingBytes() == 0;
            if (reusable) {
                becomeIdle();
            } else {
                drop();
            }
            answered.answered(message);
        }

        private void becomeIdle() {
            usedAt = Loop.nowMicros();
            idleTimer = loop.after(idleMicros, this::drop);
            idle.add(this);
            slots.addIdle(this, this::drop);
        }

        private void cancelStallTimer() {
            if (stallTimer != null) {
                stallTimer.cancel();
                stallTimer = null;
            }
        }

        private void fail(ExchangeFailure how, String why) {
            Call broken = call;
            if (broken != null) {
                broken.end(how, why);
            } else {
                drop();
            }
        }

        @Override
        public void closed(IOException why) {
            HttpMessage complete = responses.finishAtClose();
            Call broken = call;
            boolean wasIdle = broken == null && !isDropped;
            drop();
            noteClose(wasIdle);
            if (broken == null) {
                return;
            }
            if (complete != null) {
                call = null;
                broken.answered(complete);
            } else if (why instanceof NoSocketException) {
                // Nothing was sent, and nobody refused: it tells of this connection alone.
                broken.end(ExchangeFailure.NO_ROOM, why.getMessage());
            } else if (mayBeSentAgain(broken, why)) {
                broken.connection = null;
                loop.after(0, () -> openAnotherConnectionFor(broken));
            } else {
                broken.end(
                        howItBroke(),
                        why == null ? "the peer closed" : String.valueOf(why.getMessage()));
            }
        }

        private void noteClose(boolean wasIdle) {
            if (wasIdle) {
                peerEnd.idleConnectionClosed(Loop.nowMicros(), usedAt);
            }
            if (connections.isEmpty() && !closed && peerEnd.consumeProcessEnd(Loop.nowMicros())) {
                loop.after(0, onLost);
            }
        }

        private ExchangeFailure howItBroke() {
            if (!isUp) {
                return ExchangeFailure.NO_CONNECTION;
            }
            boolean nothingWritten = transport.writtenBytes() == writtenBefore;
            return nothingWritten
                    ? ExchangeFailure.BEFORE_FIRST_BYTE
                    : ExchangeFailure.AFTER_FIRST_BYTE;
        }

        /** Nothing of it was written, and nobody has refused the connection. */
        private boolean mayBeSentAgain(Call broken, IOException why) {
            boolean refused =
                    why instanceof ConnectException || why instanceof SocketTimeoutException;
            return howItBroke() != ExchangeFailure.AFTER_FIRST_BYTE
                    && !refused
                    && !closed
                    && broken.connectionsBegun < MAX_CONNECTIONS_PER_CALL;
        }

        private void reset() {
            transport.reset();
            drop();
        }

        private void drop() {
            if (isDropped) {
                return;
            }
            isDropped = true;
            cancelStallTimer();
            responses.release();
            connections.remove(this);
            slots.release();
            slots.removeIdle(this);
            idle.remove(this);
            if (idleTimer != null) {
                idleTimer.cancel();
            }
            transport.close();
        }
    }
}
