package waytrestle.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import waytrestle.net.Connection;
import waytrestle.net.ConnectionHandler;
import waytrestle.net.IdleState;
import waytrestle.net.Loop;
import waytrestle.net.NoSocketException;
import waytrestle.net.TimerHeap;

/**
 * One connection of an {@link HttpClient}, with at most one request at a time.
 *
 * <table>
 * <caption>States</caption>
 * <tr><th>state</th><th>what a received byte leads to</th></tr>
 * <tr><td>connecting, or request assigned and no byte of it written</td><td>closed; the request, which has not left,
 * goes to another connection</td></tr>
 * <tr><td>request outstanding: a byte of it is written</td><td>part of its response</td></tr>
 * <tr><td>idle</td><td>closed</td></tr>
 * <tr><td>released: closed and no longer counted</td><td>-</td></tr>
 * </table>
 *
 * <p>Not thread-safe: used by the client's event loop.
 */
final class PooledConnection implements ConnectionHandler {
    private final HttpClient pool;
    private final ResponseReader responses;
    Connection transport;
    HttpClient.Call call; // null while the connection is idle
    private TimerHeap.Timer idleTimer;
    private TimerHeap.Timer stallTimer;
    boolean isConnected;
    private boolean isReleased;
    long lastUsedAtMicros;
    long connectedAtMicros;
    private long writtenBytesBeforeRequest;

    PooledConnection(HttpClient pool) {
        this.pool = pool;
        this.responses = new ResponseReader(pool.limits, pool.incompleteResponses);
    }

    /** Returns whether an idle connection can be reused, after closing it if not. */
    boolean checkReusable(IdleState state) {
        if (state == IdleState.UNEXPECTED_DATA) {
            strayBytesReceived(1);
        } else if (state == IdleState.ENDED) {
            closed(null);
        }
        return state == IdleState.USABLE;
    }

    /** Assigns a request, which is written at once if the connection is established. */
    void assign(HttpClient.Call next) {
        call = next;
        next.connection = this;
        if (isConnected) {
            writeRequest();
        }
    }

    /** Ends the idle state of a connection that was taken out of the idle ones. */
    void leaveIdle() {
        idleTimer.cancel();
        pool.connectionLimit.removeIdle(this);
    }

    private void writeRequest() {
        writtenBytesBeforeRequest = transport.writtenBytes();
        HttpClient.Call writing = call;
        if (writing.withdrawal.isOutdated()) {
            if (writing.endIfWithdrawn()) {
                return;
            }
            if (transport.checkIdle() == IdleState.UNEXPECTED_DATA) {
                strayBytesReceived(1); // arrived while the withdrawal was checked
                return;
            }
        }
        transport.send(writing.request.bytes());
        writing.withdrawal.requestWritten();
    }

    @Override
    public void connected() {
        isConnected = true;
        connectedAtMicros = Loop.nowMicros();
        // While the connection was established, the caller may have withdrawn the request.
        if (call == null || call.endIfWithdrawn()) {
            return;
        }
        if (transport.checkIdle() == IdleState.UNEXPECTED_DATA) {
            strayBytesReceived(1);
        } else {
            writeRequest();
        }
    }

    @Override
    public void received(ByteBuffer in) {
        if (!isRequestOutstanding()) {
            int bytes = in.remaining();
            in.position(in.limit());
            strayBytesReceived(bytes);
            return;
        }
        cancelStallTimer();
        try {
            HttpMessage message = responses.next(in);
            if (message == null) {
                startStallTimer();
            } else {
                responseCompleted(message, transport.readFollowing(in));
            }
        } catch (HttpError e) {
            fail(ExchangeFailure.MALFORMED, e.getMessage());
        }
    }

    /** Returns whether a byte of a request was written to which no complete response has come. */
    private boolean isRequestOutstanding() {
        return call != null && transport.writtenBytes() > writtenBytesBeforeRequest;
    }

    /**
     * Ends the connection because bytes arrived that no request on it has asked for: the next ones
     * could be taken for the response to the next request. A request that is assigned and has not
     * left goes to another connection.
     */
    private void strayBytesReceived(int bytes) {
        HttpClient.Call waiting = call;
        call = null;
        closeAndRelease();
        pool.recordStrayBytes(bytes, lastUsedAtMicros);
        if (waiting != null) {
            pool.resendElsewhere(waiting);
        }
    }

    private void startStallTimer() {
        if (pool.responseStallMicros < Long.MAX_VALUE) {
            stallTimer = pool.loop.after(pool.responseStallMicros, this::failStalledResponse);
        }
    }

    private void failStalledResponse() {
        fail(ExchangeFailure.MALFORMED, "the response stopped before its end");
    }

    private void responseCompleted(HttpMessage message, ByteBuffer following) {
        boolean moreFollows = following.hasRemaining();
        HttpClient.Call completed = call;
        if (moreFollows) {
            pool.recordStrayBytes(following.remaining(), Loop.nowMicros());
        }
        if (responses.mayBeCutShort(message, following)) {
            // Passing it on could serve a part of a body as the whole one.
            fail(ExchangeFailure.MALFORMED, "bytes follow the stated length of the response");
            return;
        }
        call = null;
        // A duplicate response must not be taken for the response to the next request.
        boolean mayReuse = !pool.closed && !moreFollows && message.keepsAlive();
        if (mayReuse && transport.pendingBytes() == 0) {
            becomeIdle();
        } else {
            closeAndRelease();
        }
        completed.complete(message);
    }

    private void becomeIdle() {
        lastUsedAtMicros = Loop.nowMicros();
        idleTimer = pool.loop.after(pool.idleTimeoutMicros, this::closeAndRelease);
        pool.idle.add(this);
        pool.connectionLimit.addIdle(this, this::closeAndRelease);
    }

    private void cancelStallTimer() {
        if (stallTimer != null) {
            stallTimer.cancel();
            stallTimer = null;
        }
    }

    private void fail(ExchangeFailure failure, String detail) {
        call.fail(failure, detail);
    }

    @Override
    public void closed(IOException cause) {
        HttpMessage response = responses.finishAtClose();
        HttpClient.Call interrupted = call;
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
            pool.resendElsewhere(interrupted);
        } else {
            interrupted.fail(
                    failureByProgress(),
                    cause == null ? "the peer closed" : String.valueOf(cause.getMessage()));
        }
    }

    private void reportPeerEnd(boolean wasIdle) {
        if (wasIdle) {
            pool.peerEnd.idleConnectionClosed(Loop.nowMicros(), lastUsedAtMicros);
        }
        if (pool.connections.isEmpty()
                && !pool.closed
                && pool.peerEnd.consumeProcessEnd(Loop.nowMicros())) {
            pool.loop.after(0, pool.peerEndListener);
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
    private boolean mayRetryOnNewConnection(HttpClient.Call interrupted, IOException cause) {
        boolean refused =
                cause instanceof ConnectException || cause instanceof SocketTimeoutException;
        return failureByProgress() != ExchangeFailure.AFTER_FIRST_BYTE
                && !refused
                && pool.hasConnectionAttemptLeft(interrupted);
    }

    /** Closes with a reset, which tells the peer that nobody waits for the response. */
    void reset() {
        transport.reset();
        closeAndRelease();
    }

    /** Closes the connection and no longer counts it; does nothing if it was released before. */
    void closeAndRelease() {
        if (isReleased) {
            return;
        }
        isReleased = true;
        cancelStallTimer();
        responses.release();
        pool.connections.remove(this);
        pool.connectionLimit.release();
        pool.connectionLimit.removeIdle(this);
        pool.idle.remove(this);
        if (idleTimer != null) {
            idleTimer.cancel();
        }
        transport.close();
    }
}
