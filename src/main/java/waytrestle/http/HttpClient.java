package waytrestle.http;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import waytrestle.net.Connection;
import waytrestle.net.IdleState;
import waytrestle.net.Loop;
import waytrestle.net.TimerHeap;

/**
 * Sends requests to one peer over a limited pool of keep-alive connections, one request at a time
 * on each. It reports how an exchange failed by what was seen on its connection; whether the peer
 * can have processed the request is for the caller to conclude.
 *
 * <p>Times are in microseconds of {@link Loop#nowMicros}. Not thread-safe: used by its event loop.
 */
public final class HttpClient {
    /** Connections tried for one request; more resets in a row are a fault of the peer. */
    private static final int MAX_CONNECTION_ATTEMPTS_PER_CALL = 3;

    final Loop loop;
    private final InetSocketAddress peer;
    final HttpLimits limits;
    private final int maxConnections;
    private final long connectTimeoutMicros;
    final long idleTimeoutMicros;
    final FairByteLimit incompleteResponses;

    /** Idle connections, the most recently used one last. */
    final ArrayDeque<PooledConnection> idle = new ArrayDeque<>();

    /** All open or connecting connections, in the order in which they were started. */
    final Set<PooledConnection> connections = new LinkedHashSet<>();

    final PeerEndDetector peerEnd = new PeerEndDetector();
    ConnectionLimit connectionLimit = new ConnectionLimit(Integer.MAX_VALUE);
    Runnable peerEndListener = () -> {};
    long responseStallMicros = Long.MAX_VALUE;
    private StrayBytesListener strayBytesListener = (peerAddress, bytes, idleMicros) -> {};
    private long reuseDelayMicros;
    private long strayResponses;
    boolean closed;

    /**
     * Creates a client without any connection.
     *
     * @param maxConnections most connections to the peer, idle ones included
     * @param connectTimeoutMicros longest time to establish a connection
     * @param idleTimeoutMicros time after which an idle connection is closed
     * @param incompleteResponses limit on the bytes of incomplete responses, of all its clients
     */
    public HttpClient(
            Loop loop,
            InetSocketAddress peer,
            HttpLimits limits,
            int maxConnections,
            long connectTimeoutMicros,
            long idleTimeoutMicros,
            FairByteLimit incompleteResponses) {
        this.incompleteResponses = incompleteResponses;
        this.loop = loop;
        this.peer = peer;
        this.limits = limits;
        this.maxConnections = maxConnections;
        this.connectTimeoutMicros = connectTimeoutMicros;
        this.idleTimeoutMicros = idleTimeoutMicros;
    }

    /**
     * Sets a listener that runs on the event loop when the peer's process appears to have ended.
     */
    public HttpClient withPeerEndListener(Runnable listener) {
        peerEndListener = listener;
        return this;
    }

    /** Sets the longest time without a byte within a response; by default there is no limit. */
    public HttpClient withResponseStallMicros(long micros) {
        responseStallMicros = micros;
        return this;
    }

    /**
     * Sets the time from a response to the next request on its connection. Guards against a
     * duplicate response that would be taken for the response to the next request.
     */
    public HttpClient withReuseDelayMicros(long micros) {
        reuseDelayMicros = micros;
        return this;
    }

    /** Sets a connection limit shared with other clients, besides {@code maxConnections}. */
    public HttpClient withConnectionLimit(ConnectionLimit shared) {
        connectionLimit = shared;
        return this;
    }

    /** Returns the number of connections, including idle ones and ones being established. */
    public int openConnections() {
        return connections.size();
    }

    /**
     * Returns when the oldest connection was established, or {@link Long#MAX_VALUE} without one.
     */
    public long oldestConnectedAtMicros() {
        for (PooledConnection connection : connections) {
            if (connection.isConnected) {
                return connection.connectedAtMicros;
            }
        }
        return Long.MAX_VALUE;
    }

    /** Receives reports of bytes from the peer that no request has asked for. */
    public interface StrayBytesListener {
        /**
         * Called once for each connection that ends for them.
         *
         * @param bytes number of bytes that were seen; more may have arrived
         * @param idleMicros time since the last response on the connection was complete
         */
        void strayBytesReceived(InetSocketAddress peer, int bytes, long idleMicros);
    }

    /** Sets the listener for bytes that no request has asked for; it runs on the event loop. */
    public HttpClient withStrayBytesListener(StrayBytesListener listener) {
        strayBytesListener = listener;
        return this;
    }

    /** Returns how often bytes such as a duplicate response arrived that no request asked for. */
    public long strayResponses() {
        return strayResponses;
    }

    /** Reads responses that the kernel holds already, if the event loop is behind. */
    public void pollIfBehind() {
        if (!loop.isBehind()) {
            return;
        }
        for (PooledConnection connection : List.copyOf(connections)) {
            if (connection.isConnected && connection.call != null) {
                connection.transport.pollIfBehind();
            }
        }
    }

    /** Closes the connections that are idle now. */
    public void closeIdle() {
        while (!idle.isEmpty()) {
            idle.poll().closeAndRelease();
        }
    }

    /** Closes idle connections now and every other connection when its exchange ends. */
    public void close() {
        closed = true;
        closeIdle();
    }

    /** A request in flight or waiting for its connection. */
    public final class Call {
        final OutgoingRequest request;
        private final ResponseHandler handler;
        final WithdrawalCheck withdrawal;
        PooledConnection connection;
        private TimerHeap.Timer deadline;
        private boolean hasEnded;
        int connectionAttempts;

        private Call(ByteBuffer[] request, Withdrawal withdrawal, ResponseHandler handler) {
            this.request = new OutgoingRequest(request);
            this.withdrawal = new WithdrawalCheck(withdrawal, Loop::nowMicros);
            this.handler = handler;
        }

        /** Ends the call if its request was withdrawn; returns whether the call has ended. */
        boolean endIfWithdrawn() {
            ExchangeFailure failure = hasEnded ? null : withdrawal.failureIfWithdrawn();
            if (failure != null) {
                fail(failure, "the request was withdrawn before it was sent");
            }
            return hasEnded;
        }

        /** Cancels the call and resets its connection, which tells the peer. */
        public void cancel() {
            fail(ExchangeFailure.CANCELLED, "cancelled");
        }

        void fail(ExchangeFailure failure, String detail) {
            if (hasEnded) {
                return;
            }
            hasEnded = true;
            deadline.cancel();
            if (connection != null) {
                connection.call = null;
                connection.reset();
            }
            loop.after(0, () -> handler.exchangeFailed(failure, detail));
        }

        void complete(HttpMessage message) {
            hasEnded = true;
            deadline.cancel();
            connection = null;
            handler.responseReceived(message);
        }
    }

    /** Sends a request that cannot be withdrawn; the parameters are those of the overload. */
    public Call call(long timeoutMicros, ResponseHandler handler, ByteBuffer... request) {
        return call(timeoutMicros, () -> null, handler, request);
    }

    /**
     * Sends a request that the caller may withdraw until its first byte is written.
     *
     * @param timeoutMicros time after which the exchange fails without a complete response
     * @param withdrawal tells right before the request is written whether it is withdrawn
     * @param request the bytes of the head and body; the caller must not change them any more
     */
    public Call call(
            long timeoutMicros,
            Withdrawal withdrawal,
            ResponseHandler handler,
            ByteBuffer... request) {
        Call call = new Call(request, withdrawal, handler);
        call.deadline =
                loop.after(
                        timeoutMicros,
                        () -> call.fail(ExchangeFailure.TIMEOUT, "no response in time"));
        if (!call.endIfWithdrawn() && !startOnIdleConnection(call)) {
            openConnectionFor(call);
        }
        return call;
    }

    /**
     * Sends the request on the most recently used idle connection, which the peer is least likely
     * to have closed, whose reuse delay has passed and on which nothing has arrived. The look at
     * the connection and the write follow each other directly: bytes that arrive between them would
     * be taken for the response. Returns false without such a connection.
     */
    private boolean startOnIdleConnection(Call call) {
        long now = Loop.nowMicros();
        for (Iterator<PooledConnection> all = idle.descendingIterator(); all.hasNext(); ) {
            PooledConnection candidate = all.next();
            if (now - candidate.lastUsedAtMicros < reuseDelayMicros) {
                continue;
            }
            IdleState state = candidate.transport.checkIdle();
            if (state == IdleState.UNKNOWN) {
                continue; // polling failed: the connection stays idle for a later call
            }
            all.remove();
            if (candidate.checkReusable(state)) {
                candidate.leaveIdle();
                candidate.assign(call);
                return true;
            }
        }
        return false;
    }

    private void openConnectionFor(Call call) {
        if (openConnections() >= maxConnections || !connectionLimit.tryAcquire()) {
            call.fail(ExchangeFailure.NO_ROOM, "all connections allowed to the peer are in use");
            return;
        }
        PooledConnection connection = new PooledConnection(this);
        connection.transport =
                Connection.open(loop, peer, limits.bodyBytes(), connectTimeoutMicros, connection);
        connections.add(connection);
        call.connectionAttempts++;
        connection.assign(call);
    }

    /** Returns whether a request that was not sent may open one more connection. */
    boolean hasConnectionAttemptLeft(Call call) {
        return !closed && call.connectionAttempts < MAX_CONNECTION_ATTEMPTS_PER_CALL;
    }

    /**
     * Sends a request, of which no byte has left, on a new connection, or fails it if no attempt is
     * left.
     */
    void resendElsewhere(Call call) {
        call.connection = null;
        if (hasConnectionAttemptLeft(call)) {
            loop.after(0, () -> openAnotherConnectionFor(call));
        } else {
            call.fail(ExchangeFailure.BEFORE_FIRST_BYTE, "bytes arrived before the request");
        }
    }

    private void openAnotherConnectionFor(Call call) {
        if (!call.endIfWithdrawn()) {
            openConnectionFor(call);
        }
    }

    /**
     * Counts and reports bytes that no request has asked for.
     *
     * @param sinceMicros when the last response on the connection was complete
     */
    void recordStrayBytes(int bytes, long sinceMicros) {
        strayResponses++;
        strayBytesListener.strayBytesReceived(peer, bytes, Loop.nowMicros() - sinceMicros);
    }
}
