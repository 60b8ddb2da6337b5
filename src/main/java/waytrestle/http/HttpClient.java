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
 * Sends requests to one peer over a limited pool of keep-alive connections, one request at a time
 * on each. It reports how an exchange failed by what was seen on its connection; whether the peer
 * can have processed the request is for the caller to conclude.
 *
 * <p>Times are in microseconds of {@link Loop#nowMicros}. Not thread-safe: used by its event loop.
 */
public final class HttpClient {
    /** Connections tried for one request; more resets in a row are a fault of the peer. */
    private static final int MAX_CONNECTION_ATTEMPTS_PER_CALL = 3;

    private final Loop loop;
    private final InetSocketAddress peer;
    private final HttpLimits limits;
    private final int maxConnections;
    private final long connectTimeoutMicros;
    private final long idleTimeoutMicros;
    private final FairByteLimit incompleteResponses;

    /** Idle connections, the most recently used one last. */
    private final ArrayDeque<PooledConnection> idle = new ArrayDeque<>();

    /** All open or connecting connections, in the order in which they were started. */
    private final Set<PooledConnection> connections = new LinkedHashSet<>();

    private final PeerEndDetector peerEnd = new PeerEndDetector();
    private ConnectionLimit connectionLimit = new ConnectionLimit(Integer.MAX_VALUE);
    private Runnable peerEndListener = () -> {};
    private long responseStallMicros = Long.MAX_VALUE;
    private long reuseDelayMicros;
    private long strayResponses;
    private boolean closed;

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

    /** Returns how often bytes such as a duplicate response arrived without a request in flight. */
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
        private final OutgoingRequest request;
        private final ResponseHandler handler;
        private final WithdrawalCheck withdrawal;
        private PooledConnection connection;
        private TimerHeap.Timer deadline;
        private boolean hasEnded;
        private int connectionAttempts;

        private Call(ByteBuffer[] request, Withdrawal withdrawal, ResponseHandler handler) {
            this.request = new OutgoingRequest(request);
            this.withdrawal = new WithdrawalCheck(withdrawal, Loop::nowMicros);
            this.handler = handler;
        }

        /** Ends the call if its request was withdrawn; returns whether the call has ended. */
        private boolean endIfWithdrawn() {
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

        private void fail(ExchangeFailure failure, String detail) {
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

        private void complete(HttpMessage message) {
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
        PooledConnection connection = takeReusableConnection();
        // Checked after polling idle connections, which takes time: right before the write.
        if (call.endIfWithdrawn()) {
            returnUnused(connection);
        } else if (connection == null) {
            openConnectionFor(call);
        } else {
            connection.idleTimer.cancel();
            connectionLimit.removeIdle(connection);
            connection.assign(call);
        }
        return call;
    }

    /** Puts a connection that was taken and not used, or null, back to the idle ones. */
    private void returnUnused(PooledConnection connection) {
        if (connection == null) {
            return;
        }
        if (closed) {
            connection.closeAndRelease();
        } else {
            idle.add(connection);
        }
    }

    /**
     * Takes the most recently used idle connection whose reuse delay has passed, which the peer is
     * least likely to have closed. Returns null without one.
     */
    private PooledConnection takeReusableConnection() {
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
                return candidate;
            }
        }
        return null;
    }

    private void openConnectionFor(Call call) {
        if (openConnections() >= maxConnections || !connectionLimit.tryAcquire()) {
            call.fail(ExchangeFailure.NO_ROOM, "all connections allowed to the peer are in use");
            return;
        }
        PooledConnection connection = new PooledConnection();
        connection.transport =
                Connection.open(loop, peer, limits.bodyBytes(), connectTimeoutMicros, connection);
        connections.add(connection);
        call.connectionAttempts++;
        connection.assign(call);
    }

    private void openAnotherConnectionFor(Call call) {
        if (!call.endIfWithdrawn()) {
            openConnectionFor(call);
        }
    }

    /** A pooled connection to the peer, with at most one request at a time. */
    private final class PooledConnection implements ConnectionHandler {
        private final ResponseReader responses = new ResponseReader(limits, incompleteResponses);
        private Connection transport;
        private Call call; // null while the connection is idle
        private TimerHeap.Timer idleTimer;
        private TimerHeap.Timer stallTimer;
        private boolean isConnected;
        private boolean isReleased;
        private long lastUsedAtMicros;
        private long connectedAtMicros;
        private long writtenBytesBeforeRequest;

        /** Returns whether an idle connection can be reused, after closing it if not. */
        private boolean checkReusable(IdleState state) {
            if (state == IdleState.UNEXPECTED_DATA) {
                strayResponses++;
                closeAndRelease();
            } else if (state == IdleState.ENDED) {
                closed(null);
            }
            return state == IdleState.USABLE;
        }

        private void assign(Call next) {
            call = next;
            next.connection = this;
            if (isConnected) {
                writeRequest();
            }
        }

        private void writeRequest() {
            writtenBytesBeforeRequest = transport.writtenBytes();
            ByteBuffer[] request = call.request.bytes();
            Call writing = call;
            if (!writing.withdrawal.isOutdated() || !writing.endIfWithdrawn()) {
                transport.send(request);
                writing.withdrawal.requestWritten();
            }
        }

        @Override
        public void connected() {
            isConnected = true;
            connectedAtMicros = Loop.nowMicros();
            // While the connection was established, the caller may have withdrawn the request.
            if (call != null && !call.endIfWithdrawn()) {
                writeRequest();
            }
        }

        @Override
        public void received(ByteBuffer in) {
            cancelStallTimer();
            try {
                HttpMessage message = responses.next(in, call != null);
                if (message == null) {
                    startStallTimer();
                } else {
                    responseCompleted(message, transport.readFollowing(in));
                }
            } catch (HttpError e) {
                fail(ExchangeFailure.MALFORMED, e.getMessage());
            }
        }

        private void startStallTimer() {
            if (responseStallMicros < Long.MAX_VALUE) {
                stallTimer = loop.after(responseStallMicros, this::failStalledResponse);
            }
        }

        private void failStalledResponse() {
            fail(ExchangeFailure.MALFORMED, "the response stopped before its end");
        }

        private void responseCompleted(HttpMessage message, ByteBuffer following) {
            boolean moreFollows = following.hasRemaining();
            Call completed = call;
            if (completed == null) {
                strayResponses++;
                closeAndRelease();
                return;
            }
            strayResponses += moreFollows ? 1 : 0;
            if (responses.mayBeCutShort(message, following)) {
                // Passing it on could serve a part of a body as the whole one.
                fail(ExchangeFailure.MALFORMED, "bytes follow the stated length of the response");
                return;
            }
            call = null;
            // A duplicate response must not be taken for the response to the next request.
            boolean mayReuse = !closed && !moreFollows && message.keepsAlive();
            if (mayReuse && transport.pendingBytes() == 0) {
                becomeIdle();
            } else {
                closeAndRelease();
            }
            completed.complete(message);
        }

        private void becomeIdle() {
            lastUsedAtMicros = Loop.nowMicros();
            idleTimer = loop.after(idleTimeoutMicros, this::closeAndRelease);
            idle.add(this);
            connectionLimit.addIdle(this, this::closeAndRelease);
        }

        private void cancelStallTimer() {
            if (stallTimer != null) {
                stallTimer.cancel();
                stallTimer = null;
            }
        }

        private void fail(ExchangeFailure failure, String detail) {
            Call failed = call;
            if (failed != null) {
                failed.fail(failure, detail);
            } else {
                closeAndRelease();
            }
        }

        @Override
        public void closed(IOException cause) {
            HttpMessage response = responses.finishAtClose();
            Call interrupted = call;
            boolean wasIdle = interrupted == null && !isReleased;
            closeAndRelease();
            reportPeerEnd(wasIdle);
            if (interrupted == null) {
                return;
            }
            if (response != null) {
                call = null;
                interrupted.complete(response);
            } else if (cause instanceof NoSocketException) {
                // No connection was tried, so the failure says nothing about the peer.
                interrupted.fail(ExchangeFailure.NO_ROOM, cause.getMessage());
            } else if (mayRetryOnNewConnection(interrupted, cause)) {
                interrupted.connection = null;
                loop.after(0, () -> openAnotherConnectionFor(interrupted));
            } else {
                interrupted.fail(
                        failureByProgress(),
                        cause == null ? "the peer closed" : String.valueOf(cause.getMessage()));
            }
        }

        private void reportPeerEnd(boolean wasIdle) {
            if (wasIdle) {
                peerEnd.idleConnectionClosed(Loop.nowMicros(), lastUsedAtMicros);
            }
            if (connections.isEmpty() && !closed && peerEnd.consumeProcessEnd(Loop.nowMicros())) {
                loop.after(0, peerEndListener);
            }
        }

        private ExchangeFailure failureByProgress() {
            if (!isConnected) {
                return ExchangeFailure.NO_CONNECTION;
            }
            boolean nothingWritten = transport.writtenBytes() == writtenBytesBeforeRequest;
            return nothingWritten
                    ? ExchangeFailure.BEFORE_FIRST_BYTE
                    : ExchangeFailure.AFTER_FIRST_BYTE;
        }

        /** Returns whether no byte was written, no connection refused and an attempt is left. */
        private boolean mayRetryOnNewConnection(Call interrupted, IOException cause) {
            boolean refused =
                    cause instanceof ConnectException || cause instanceof SocketTimeoutException;
            return failureByProgress() != ExchangeFailure.AFTER_FIRST_BYTE
                    && !refused
                    && !closed
                    && interrupted.connectionAttempts < MAX_CONNECTION_ATTEMPTS_PER_CALL;
        }

        private void reset() {
            transport.reset();
            closeAndRelease();
        }

        private void closeAndRelease() {
            if (isReleased) {
                return;
            }
            isReleased = true;
            cancelStallTimer();
            responses.release();
            connections.remove(this);
            connectionLimit.release();
            connectionLimit.removeIdle(this);
            idle.remove(this);
            if (idleTimer != null) {
                idleTimer.cancel();
            }
            transport.close();
        }
    }
}
