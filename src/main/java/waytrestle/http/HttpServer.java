package waytrestle.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import waytrestle.Bytes;
import waytrestle.net.Connection;
import waytrestle.net.ConnectionHandler;
import waytrestle.net.Listener;
import waytrestle.net.Loop;
import waytrestle.net.TimerHeap;

/**
 * An HTTP/1.1 server on one event loop. The requests of a connection are handled one after another:
 * pipelined requests are answered in order, and a client has at most one request in flight per
 * connection. Bytes of later requests stay in the connection's bounded buffer and then in the
 * kernel's.
 *
 * <p>Times are in microseconds of {@link Loop#nowMicros}. Not thread-safe: used by its event loop.
 */
public final class HttpServer {
    /** Handles the requests of a server. All methods are called on the event loop. */
    public interface Handler {
        /** Handles a complete request by answering its exchange once, now or later. */
        void handle(Exchange exchange);

        /**
         * Returns whether the body of a request is to be read, from its head alone.
         *
         * @return 0 to read the body, otherwise the status by which the request is turned away
         */
        default int checkHead(HttpMessage head) {
            return 0;
        }

        /**
         * Returns the response to a request that cannot be read.
         *
         * @param path the path of the request, null if its first line was not received, empty if
         *     that line is malformed
         */
        default Refusal refusal(String path, HttpError e) {
            return new Refusal(
                    Problem.TYPE, Problem.of(e.status(), "request", e.getMessage(), true).bytes());
        }
    }

    /**
     * The response to a request that cannot be read.
     *
     * @param type the content type of the body
     */
    public record Refusal(String type, byte[] body) {}

    /**
     * Age from which a connection without a complete request may be evicted. Clients with a request
     * send it right after they connect.
     */
    private static final long SILENCE_BEFORE_EVICTION_MICROS = 300_000;

    /** Connections polled before an eviction is given up; polling all would take too long. */
    private static final int MAX_EVICTION_CHECKS = 4;

    /** Time for a client to read a refusal and to stop sending, before its connection is closed. */
    private static final long REFUSAL_LINGER_MICROS = 2_000_000;

    /** Phase of a connection between requests, without a running limit on a head or body. */
    private static final int PHASE_NONE = 0;

    /** Phase of a connection whose time limit on a request head runs. */
    private static final int PHASE_HEAD = 1;

    /** Phase of a connection whose time limit on a request body runs. */
    private static final int PHASE_BODY = 2;

    private final Loop loop;
    private final HttpLimits limits;
    private final ServerAdmission admission;
    private final Handler handler;
    private final Listener listener;

    /** Open connections by their number, in the order in which they were accepted. */
    private final Map<Long, ClientConnection> clients = new LinkedHashMap<>();

    /** Number of the last accepted connection. */
    private long acceptedConnections;

    private final Map<String, Long> turnedAway = new HashMap<>();
    private boolean stopping, stoppedAccepting, evictsIdle, resetsOnFullInput;
    private long firstRequestMicros = Long.MAX_VALUE;
    private long brokenCloseDelayMicros;

    /**
     * Creates a server that accepts connections up to a limit.
     *
     * @throws IOException if the server cannot listen at the address
     */
    public HttpServer(
            Loop loop,
            InetSocketAddress address,
            HttpLimits limits,
            int maxConnections,
            Handler handler)
            throws IOException {
        this(loop, address, limits, ServerAdmission.withConnectionLimit(maxConnections), handler);
    }

    /**
     * Creates a server that accepts connections and reads bodies as its admission allows.
     *
     * @throws IOException if the server cannot listen at the address
     */
    public HttpServer(
            Loop loop,
            InetSocketAddress address,
            HttpLimits limits,
            ServerAdmission admission,
            Handler handler)
            throws IOException {
        this.loop = loop;
        this.limits = limits;
        this.admission = admission;
        this.handler = handler;
        this.listener = new Listener(loop, address, 1024, this::accept);
    }

    /**
     * Sets the time from a connection's accept to its first complete request, after which the
     * connection is closed, whatever it is sending.
     */
    public HttpServer withFirstRequestMicros(long micros) {
        firstRequestMicros = micros;
        return this;
    }

    /**
     * Lets a new connection replace one without a request in flight when the connection limit is
     * reached.
     */
    public HttpServer withIdleEviction() {
        evictsIdle = true;
        return this;
    }

    /**
     * Resets a connection whose client sends so many bytes ahead of a response that they fill the
     * connection's buffer. Reading has to stop then, and the server could not detect a disconnect.
     */
    public HttpServer withResetOnFullInput() {
        resetsOnFullInput = true;
        return this;
    }

    /**
     * Sets the time by which the close of a connection is delayed if it breaks while a request is
     * in flight. Guards against clients that take an earlier close for an idle close that crossed
     * their request, and send the request again.
     */
    public HttpServer withBrokenCloseDelayMicros(long micros) {
        brokenCloseDelayMicros = micros;
        return this;
    }

    /** Returns the port that the server listens at. */
    public int port() {
        return listener.port();
    }

    /** Returns the number of open connections. */
    public int connections() {
        return clients.size();
    }

    /** Returns the number of requests and connections turned away or delayed, by reason. */
    public Map<String, Long> turnedAway() {
        return turnedAway;
    }

    /**
     * Makes every later response tell its client to close the connection. New connections are still
     * accepted.
     */
    public void closeAfterResponses() {
        stopping = true;
    }

    /**
     * Stops accepting connections. Open connections stay until their next response, which ends
     * them: closing an idle connection could cut off a request that is on its way. {@link
     * #closeIdle} closes connections without any further request.
     */
    public void stopAccepting() {
        stopping = true;
        stoppedAccepting = true;
        listener.acceptPendingAndClose();
    }

    /** Closes the connections without a request in flight, also none in the kernel's buffer. */
    public void closeIdle() {
        for (ClientConnection client : List.copyOf(clients.values())) {
            if (client.isUnused()) {
                client.close();
            }
        }
    }

    /**
     * Returns the number of connections with an incomplete request, a request in flight or a
     * response not completely sent. Adds one while connections made before {@link #stopAccepting}
     * are still being accepted.
     */
    public int busyConnections() {
        long busy = clients.values().stream().filter(ClientConnection::isBusy).count();
        boolean stillAccepting = stoppedAccepting && listener.isOpen();
        return (int) busy + (stillAccepting ? 1 : 0);
    }

    /** Stops listening and resets all connections at once, as a crash would. */
    public void kill() {
        listener.close();
        for (ClientConnection client : List.copyOf(clients.values())) {
            client.connection.reset();
            client.close();
        }
    }

    private void countTurnedAway(String reason) {
        turnedAway.merge(reason, 1L, Long::sum);
    }

    private void accept(SocketChannel channel) {
        InetAddress from;
        try {
            from = ((InetSocketAddress) channel.getRemoteAddress()).getAddress();
        } catch (IOException e) {
            closeUnserved(channel, e);
            return;
        }
        String reason = admission.tryAdmit(from);
        if (reason != null && evictsIdle && evictIdleConnection()) {
            reason = admission.tryAdmit(from);
        }
        if (reason != null) {
            countTurnedAway(reason);
            turnAway(channel);
            return;
        }
        serve(channel, from);
    }

    private void serve(SocketChannel channel, InetAddress from) {
        try {
            Connection.ofAccepted(
                    loop,
                    channel,
                    limits.headerBytes() + limits.startLineBytes(),
                    connection -> {
                        ClientConnection client =
                                new ClientConnection(connection, from, ++acceptedConnections);
                        clients.put(client.id, client);
                        return client;
                    });
        } catch (IOException e) {
            admission.connectionClosed(from);
            closeUnserved(channel, e);
        }
    }

    /**
     * Closes a connection of which nothing was read, so that its client may safely connect again.
     */
    private void closeUnserved(SocketChannel channel, IOException cause) {
        countTurnedAway("accept");
        loop.faults().count("client.accept", "closed", cause);
        closeQuietly(channel);
    }

    private void closeQuietly(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            loop.faults().count("client.close", "ignored", e);
        }
    }

    /**
     * Closes a connection without a request in flight. A candidate that turns out to have bytes in
     * the kernel is kept, and the next candidate is polled.
     *
     * @return whether a connection was closed
     */
    private boolean evictIdleConnection() {
        for (int i = 0; i < MAX_EVICTION_CHECKS; i++) {
            ClientConnection candidate = findEvictable();
            if (candidate == null) {
                return false;
            }
            long waitingSinceMicros = candidate.waitingSinceMicros;
            candidate.connection.poll();
            if (!candidate.connection.isOpen()) {
                return true;
            }
            if (candidate.mayBeEvicted() && candidate.waitingSinceMicros == waitingSinceMicros) {
                countTurnedAway("made_room");
                candidate.close();
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the connection to evict: the oldest one without any complete request, if it is old
     * enough, otherwise the one whose last response is longest ago. Returns null if there is none.
     */
    private ClientConnection findEvictable() {
        long now = Loop.nowMicros();
        ClientConnection best = null;
        for (ClientConnection client : clients.values()) {
            if (!client.mayBeEvicted()) {
                continue;
            }
            if (!client.hadRequest
                    && now - client.createdAtMicros > SILENCE_BEFORE_EVICTION_MICROS) {
                best = client;
                break;
            }
            if (client.hadRequest
                    && client.parser.isBetweenMessages()
                    && (best == null || client.waitingSinceMicros < best.waitingSinceMicros)) {
                best = client;
            }
        }
        return best;
    }

    /**
     * Closes a connection that was not admitted, after a response with status 503. Bytes of the
     * response that the socket does not take at once are dropped.
     */
    private void turnAway(SocketChannel channel) {
        byte[] body = Problem.of(503, "connections", "all connections are taken", true).bytes();
        ByteBuffer[] response = {
            HttpWriter.response(503)
                    .header("Content-Type", Problem.TYPE)
                    .header("Retry-After", 1)
                    .header("Connection", "close")
                    .head(body.length),
            ByteBuffer.wrap(body)
        };
        try {
            channel.configureBlocking(false);
            channel.write(response);
        } catch (IOException e) {
            loop.faults().count("client.write", "ignored", e);
        }
        closeQuietly(channel);
    }

    /** A complete request and its response, which is given once. */
    public final class Exchange {
        private final ClientConnection client;
        private final HttpMessage message;
        private final long earliestSentAtMicros;
        private Runnable disconnectListener;
        private boolean answered;

        private Exchange(ClientConnection client, HttpMessage message, long earliestSentAtMicros) {
            this.earliestSentAtMicros = earliestSentAtMicros;
            this.client = client;
            this.message = message;
        }

        /** Returns the request. */
        public HttpMessage message() {
            return message;
        }

        /**
         * Returns the earliest time at which the first bytes of the request may have arrived. The
         * time is earlier than the read when the event loop was busy or an earlier request of the
         * connection was in flight.
         */
        public long earliestSentAtMicros() {
            return earliestSentAtMicros;
        }

        /** Sets a task that runs if the client disconnects before the request is answered. */
        public void onClientDisconnect(Runnable task) {
            disconnectListener = task;
        }

        /** Returns whether the request is not answered yet and its client is still connected. */
        public boolean isOpen() {
            return !answered && client.connection.isOpen();
        }

        /**
         * Detects a client that has disconnected while the event loop was busy, before the loop
         * comes to read its connection.
         */
        public void pollForDisconnect() {
            if (isOpen()) {
                client.connection.pollIfBehind();
            }
        }

        /** Resets the connection instead of answering the request. */
        public void reset() {
            answered = true;
            disconnectListener = null;
            client.connection.reset();
            client.close();
        }

        /** Returns the client's address and port for the log. */
        public String clientAddress() {
            return client.connection.peerAddress();
        }

        /** Answers the request; see {@link #answer(int, String, Bytes, String...)}. */
        public void answer(int status, String type, byte[] body, String... headers) {
            answer(status, type, Bytes.of(body), headers);
        }

        /**
         * Answers the request. Nothing is sent if the client has disconnected.
         *
         * @param type the content type, or empty for none
         * @param headers further headers, a name and a value in turn
         * @throws IllegalStateException if the request has been answered before
         */
        public void answer(int status, String type, Bytes body, String... headers) {
            if (answered) {
                throw new IllegalStateException("the request has already been answered");
            }
            answered = true;
            disconnectListener = null;
            boolean closesConnection = stopping || !message.keepsAlive();
            HttpWriter writer = HttpWriter.response(status);
            for (int i = 0; i < headers.length; i += 2) {
                writer.header(headers[i], headers[i + 1]);
            }
            if (!type.isEmpty()) {
                writer.header("Content-Type", type);
            }
            if (closesConnection) {
                writer.header("Connection", "close");
            }
            List<ByteBuffer> output = new ArrayList<>();
            output.add(writer.head(Math.toIntExact(body.size())));
            if (!message.method().equals("HEAD")) {
                output.addAll(body.buffers());
            }
            client.connection.send(output.toArray(ByteBuffer[]::new));
            client.responseQueued(this, closesConnection);
        }
    }

    /** A connection of a client, with at most one request in flight. */
    private final class ClientConnection implements ConnectionHandler {
        private final Connection connection;
        private final HttpParser parser = HttpParser.requests(limits).stopAtBody();
        private final InetAddress address;
        private final long id;

        /** The request in flight, null without one. */
        private Exchange exchange;

        /** Start of the present wait: for a request, the rest of a head or body, or a response. */
        private long waitingSinceMicros = Loop.nowMicros();

        private long messageSentSinceMicros;
        private final long createdAtMicros = Loop.nowMicros();
        private boolean headChecked, closing, waitsForBodyBytes, unregistered, hadRequest;
        private TimerHeap.Timer waitTimer, firstRequestTimer, lingerTimer;

        private ClientConnection(Connection connection, InetAddress address, long id) {
            this.address = address;
            this.id = id;
            this.connection = connection;
            enforceTimeLimit();
            if (firstRequestMicros < Long.MAX_VALUE) {
                firstRequestTimer = loop.after(firstRequestMicros, this::firstRequestOverdue);
            }
        }

        /** Polls the connection and returns whether it has no request or response to complete. */
        private boolean isUnused() {
            if (exchange == null && parser.isBetweenMessages() && !closing) {
                connection.poll();
            }
            return connection.isOpen()
                    && exchange == null
                    && parser.isBetweenMessages()
                    && connection.pendingBytes() == 0;
        }

        private boolean isBusy() {
            return (!closing && (exchange != null || !parser.isBetweenMessages()))
                    || connection.pendingBytes() > 0;
        }

        private boolean mayBeEvicted() {
            return exchange == null
                    && !waitsForBodyBytes
                    && (!hadRequest || parser.isBetweenMessages());
        }

        private void firstRequestOverdue() {
            connection.poll();
            if (!hadRequest && !closing && connection.isOpen()) {
                countTurnedAway("fresh");
                if (parser.isBetweenMessages() && !waitsForBodyBytes) {
                    close();
                } else {
                    refuse(new HttpError(408, "the request did not come in time"));
                }
            }
        }

        /**
         * Ends a wait that has exceeded its time limit, or sets the timer for the rest of the
         * limit. A connection has one timer, which is set again only when it fires, since most
         * waits end long before their limit.
         */
        private void enforceTimeLimit() {
            long limitMicros =
                    closing || connection.pendingBytes() > 0
                            ? limits.writeMicros()
                            : parser.isBetweenMessages()
                                    ? limits.idleMicros()
                                    : parser.isReadingBody()
                                            ? limits.bodyMicros()
                                            : limits.headMicros();
            long startMicros =
                    connection.pendingBytes() > 0
                            ? connection.lastTransferMicros()
                            : waitingSinceMicros;
            long leftMicros =
                    (exchange != null || waitsForBodyBytes) && connection.pendingBytes() == 0
                            ? limitMicros
                            : startMicros + limitMicros - Loop.nowMicros();
            if (leftMicros > 0) {
                waitTimer = loop.after(leftMicros, this::enforceTimeLimit);
                return;
            }
            TimerHeap.Timer timerBeforePoll = waitTimer;
            if (parser.isBetweenMessages()
                    && !closing
                    && connection.pendingBytes() == 0
                    && !isUnused()) {
                if (connection.isOpen() && waitTimer == timerBeforePoll) {
                    enforceTimeLimit(); // the poll found bytes of a request
                }
            } else if (parser.isBetweenMessages() || connection.pendingBytes() > 0 || closing) {
                countTurnedAway(connection.pendingBytes() > 0 ? "slow_reader" : "idle");
                close();
            } else {
                countTurnedAway(parser.isReadingBody() ? "slow_body" : "slow_head");
                refuse(new HttpError(408, "the request did not come in time"));
            }
        }

        @Override
        public void received(ByteBuffer in) {
            if (closing) {
                in.position(in.limit());
                return;
            }
            if (exchange != null || waitsForBodyBytes) {
                return; // the connection keeps the bytes until the present request is answered
            }
            try {
                boolean startsMessage = parser.isBetweenMessages();
                if (startsMessage) {
                    messageSentSinceMicros = connection.offeredSinceMicros();
                }
                HttpMessage message = parser.next(in);
                if (message == null && parser.isReadingBody() && !headChecked) {
                    admitBody();
                    if (waitsForBodyBytes) {
                        return;
                    }
                    message = parser.next(in);
                }
                if (message == null) {
                    if (startsMessage || (parser.isReadingBody() && timedPhase != PHASE_BODY)) {
                        timedPhase = parser.isReadingBody() ? PHASE_BODY : PHASE_HEAD;
                        restartTimeLimit();
                    }
                    return;
                }
                timedPhase = PHASE_NONE;
                headChecked = false;
                hadRequest = true;
                if (firstRequestTimer != null) {
                    firstRequestTimer.cancel();
                }
                Exchange newExchange = new Exchange(this, message, messageSentSinceMicros);
                exchange = newExchange;
                connection.delayCloseIfBroken(brokenCloseDelayMicros);
                handler.handle(newExchange);
            } catch (HttpError e) {
                countTurnedAway("status_" + e.status());
                in.position(in.limit());
                refuse(e);
            }
        }

        /** One of the {@code PHASE_} constants. */
        private int timedPhase;

        /** Starts the time limit of a head or body that has not arrived completely. */
        private void restartTimeLimit() {
            waitingSinceMicros = Loop.nowMicros();
            waitTimer.cancel();
            enforceTimeLimit();
        }

        /** Decides from the complete head whether the body is read, now or after a wait. */
        private void admitBody() {
            headChecked = true;
            int status = handler.checkHead(parser.currentMessage());
            if (status != 0) {
                throw new HttpError(status, "turned away before the body");
            }
            long bytes =
                    parser.remainingContentLength() < 0
                            ? limits.bodyBytes()
                            : parser.remainingContentLength();
            if (!admission.canEverReserve(bytes)) {
                throw new HttpError(
                        413,
                        "a body of " + bytes + " bytes is more than all bodies may hold together");
            }
            if (!admission.tryReserve(id, bytes)) {
                countTurnedAway("bodies_waited");
                waitsForBodyBytes = true;
                connection.setReadingPaused(true);
                return;
            }
            sendContinueIfExpected();
        }

        private void sendContinueIfExpected() {
            if (parser.currentMessage().hasHeaderToken("expect", "100-continue")) {
                connection.send(
                        ByteBuffer.wrap(
                                "HTTP/1.1 100 Continue\r\n\r\n"
                                        .getBytes(StandardCharsets.US_ASCII)));
            }
        }

        private void bodyBytesGranted() {
            if (waitsForBodyBytes && connection.isOpen()) {
                waitsForBodyBytes = false;
                sendContinueIfExpected();
                connection.setReadingPaused(false);
                restartTimeLimit();
                loop.after(0, connection::offerUnreadInput);
            }
        }

        @Override
        public void outputWritten() {
            releaseBodyBytes();
            endCloseDelayOnceSent();
        }

        /**
         * Ends the delay of a broken connection's close once the kernel has the whole response: the
         * client then cannot take the close for one that crossed its request.
         */
        private void endCloseDelayOnceSent() {
            if (exchange == null && connection.pendingBytes() == 0) {
                connection.delayCloseIfBroken(0);
            }
        }

        @Override
        public void unreadInputFull() {
            if (resetsOnFullInput) {
                countTurnedAway("crammed");
                connection.reset();
                closed(null);
            }
        }

        private void releaseBodyBytes() {
            admission.release(
                    id,
                    grantedId -> {
                        ClientConnection granted = clients.get(grantedId);
                        if (granted != null) {
                            granted.bodyBytesGranted();
                        }
                    });
        }

        /**
         * Answers a request that cannot be read, and closes the connection, since the start of the
         * next request is unknown.
         */
        private void refuse(HttpError e) {
            closing = true;
            HttpMessage head = parser.currentMessage();
            Refusal refusal = handler.refusal(head == null ? null : head.path(), e);
            connection.send(
                    HttpWriter.response(e.status())
                            .header("Content-Type", refusal.type())
                            .header("Connection", "close")
                            .head(refusal.body().length),
                    ByteBuffer.wrap(refusal.body()));
            // Bytes that the client still sends are read and dropped for a while. Closing with
            // unread bytes would send a reset, and the client would lose the response.
            connection.endOutput();
            long lingerMicros = Math.min(limits.writeMicros(), REFUSAL_LINGER_MICROS);
            lingerTimer = loop.after(lingerMicros, this::close);
        }

        private void responseQueued(Exchange answered, boolean closesConnection) {
            if (exchange != answered) {
                return;
            }
            exchange = null;
            waitingSinceMicros = Loop.nowMicros();
            endCloseDelayOnceSent();
            releaseBodyBytes();
            if (connection.pendingBytes() > 0) {
                admission.reserve(id, connection.pendingBytes());
            }
            if (closesConnection) {
                closing = true;
                connection.closeWhenSent();
                if (!connection.isOpen()) {
                    close();
                }
            } else {
                loop.after(0, connection::offerUnreadInput);
            }
        }

        private void close() {
            unregister();
            connection.close();
        }

        private void unregister() {
            waitTimer.cancel();
            if (firstRequestTimer != null) {
                firstRequestTimer.cancel();
            }
            if (lingerTimer != null) {
                lingerTimer.cancel();
            }
            clients.remove(id);
            if (!unregistered) {
                unregistered = true;
                releaseBodyBytes();
                admission.connectionClosed(address);
            }
        }

        @Override
        public void closed(IOException cause) {
            unregister();
            Exchange interrupted = exchange;
            if (interrupted != null
                    && !interrupted.answered
                    && interrupted.disconnectListener != null) {
                exchange = null;
                interrupted.disconnectListener.run();
            }
        }
    }
}
