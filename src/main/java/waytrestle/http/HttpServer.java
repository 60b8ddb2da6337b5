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
 * An HTTP/1.1 server on one loop. Requests of a connection are handled one after another, so
 * pipelined answers come in order and a client cannot pile up work behind one connection; what it
 * sends ahead stays in the connection's bounded buffer and then in the kernel's.
 */
public final class HttpServer {
    /** Handles a request by answering its exchange once, now or later, on the loop. */
    public interface Handler {
        void handle(Exchange exchange);

        /**
         * After the head of a request with a body: an answer status to turn it away by, or 0 to
         * read on.
         */
        default int checkHead(HttpMessage head) {
            return 0;
        }

        /**
         * The body that tells why a message is not read; its path is null where that was not come
         * to.
         */
        default Refusal refusal(String path, HttpError e) {
            return new Refusal(
                    Problem.TYPE, Problem.of(e.status(), "request", e.getMessage(), true).bytes());
        }
    }

    /** A refusal's content type and body. */
    public record Refusal(String type, byte[] body) {}

    private static final long SILENT =
            300_000; // micros after which a new connection without a whole request may give
    // way: those who have something to ask send it at once

    private static final int LOOKS =
            4; // connections looked at to make room for one: a few that speak, not all
    private static final long LINGER =
            2_000_000; // micros for a client to read a refusal and stop sending

    private final Loop loop;
    private final HttpLimits limits;
    private final ServerAdmission door;
    private final Handler handler;
    private final Listener listener;
    private final Map<Long, Peer> peers = new LinkedHashMap<>();
    private long accepted;
    private final Map<String, Long> turnedAway = new HashMap<>();
    private boolean stopping, stoppedTaking, yields, oneAtATime;
    private long freshMicros = Long.MAX_VALUE;
    private long brokenCloseDelayMicros;

    public HttpServer(
            Loop loop, InetSocketAddress at, HttpLimits limits, int maxConnections, Handler handler)
            throws IOException {
        this(loop, at, limits, ServerAdmission.withConnectionLimit(maxConnections), handler);
    }

    public HttpServer(
            Loop loop,
            InetSocketAddress at,
            HttpLimits limits,
            ServerAdmission door,
            Handler handler)
            throws IOException {
        this.loop = loop;
        this.limits = limits;
        this.door = door;
        this.handler = handler;
        this.listener = new Listener(loop, at, 1024, this::accept);
    }

    /**
     * Connections whose first request has not come whole within this time are closed, whatever they
     * send.
     */
    public HttpServer withFirstRequestMicros(long micros) {
        freshMicros = micros;
        return this;
    }

    /** When all connections are taken, one without a request gives way to a new one. */
    public HttpServer withIdleEviction() {
        yields = true;
        return this;
    }

    /**
     * Closes connections that send so much ahead of their answer that the client's going could not
     * be seen any more.
     */
    public HttpServer withResetOnFullInput() {
        oneAtATime = true;
        return this;
    }

    /**
     * A connection that breaks under a request is closed no sooner than so long after the break,
     * for clients that would take a sooner close for one that crossed their request.
     */
    public HttpServer withBrokenCloseDelayMicros(long micros) {
        brokenCloseDelayMicros = micros;
        return this;
    }

    public int port() {
        return listener.port();
    }

    public int connections() {
        return peers.size();
    }

    /** How many messages or connections were turned away, by reason. */
    public Map<String, Long> turnedAway() {
        return turnedAway;
    }

    /**
     * From now on every answer tells its client to come on another connection; new ones are still
     * taken.
     */
    public void closeAfterResponses() {
        stopping = true;
    }

    /**
     * Takes no new connections. Those open stay until their next answer, which tells them to close:
     * a call that is on its way while its idle connection closes would be cut. See {@link
     * #closeIdle} for those that send nothing more.
     */
    public void stopAccepting() {
        stopping = true;
        stoppedTaking = true;
        listener.acceptPendingAndClose();
    }

    /** Closes the connections that have nothing under way, also not in the kernel. */
    public void closeIdle() {
        for (Peer peer : List.copyOf(peers.values())) {
            if (peer.unused()) {
                peer.end();
            }
        }
    }

    /**
     * Connections with something under way: a message of which pieces have come, a call, an answer
     * still being taken; also those that are still to be accepted at the end.
     */
    public int busyConnections() {
        long peersBusy = peers.values().stream().filter(Peer::busy).count();
        boolean acceptsStill = stoppedTaking && listener.isOpen();
        return (int) peersBusy + (acceptsStill ? 1 : 0);
    }

    /** Closes everything at once, as a crash would. */
    public void kill() {
        listener.close();
        for (Peer peer : List.copyOf(peers.values())) {
            peer.connection.reset();
            peer.end();
        }
    }

    private void count(String reason) {
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
        String reason = door.tryAdmit(from);
        if (reason != null && yields && makeRoom()) {
            reason = door.tryAdmit(from);
        }
        if (reason != null) {
            count(reason);
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
                        Peer peer = new Peer(connection, from, ++accepted);
                        peers.put(peer.id, peer);
                        return peer;
                    });
        } catch (IOException e) {
            door.connectionClosed(from);
            closeUnserved(channel, e);
        }
    }

    /** Nothing was read of it, so whoever opened it may come again. */
    private void closeUnserved(SocketChannel channel, IOException why) {
        count("accept");
        loop.faults().count("client.accept", "closed", why);
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
     * Closes one that may give way; what it had sent meanwhile, unseen, saves it, and the next one
     * is looked at.
     */
    private boolean makeRoom() {
        for (int i = 0; i < LOOKS; i++) {
            Peer best = leastUsed();
            if (best == null) {
                return false;
            }
            long since = best.since;
            best.connection.poll();
            if (!best.connection.isOpen()) {
                return true;
            }
            if (best.mayGiveWay() && best.since == since) {
                count("made_room");
                best.end();
                return true;
            }
        }
        return false;
    }

    /**
     * The first that has been silent since it came, or else the one idle for longest since its last
     * answer.
     */
    private Peer leastUsed() {
        long now = Loop.nowMicros();
        Peer best = null;
        for (Peer peer : peers.values()) {
            if (!peer.mayGiveWay()) {
                continue;
            }
            if (!peer.asked && now - peer.born > SILENT) {
                best = peer;
                break;
            }
            if (peer.asked
                    && peer.parser.isBetweenMessages()
                    && (best == null || peer.since < best.since)) {
                best = peer;
            }
        }
        return best;
    }

    /**
     * A word to a client that finds all connections taken, as far as its socket takes it at once.
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

    /** One request and the one answer to it. */
    public final class Exchange {
        private final Peer peer;
        private final HttpMessage message;
        private final long since;
        private Runnable gone;
        private boolean answered;

        private Exchange(Peer peer, HttpMessage message, long since) {
            this.since = since;
            this.peer = peer;
            this.message = message;
        }

        public HttpMessage message() {
            return message;
        }

        /**
         * The earliest time at which its client can have begun to send it, as far as can be known
         * here.
         */
        public long earliestSentAtMicros() {
            return since;
        }

        /** Runs if the client goes away before the answer. */
        public void onClientDisconnect(Runnable task) {
            gone = task;
        }

        public boolean isOpen() {
            return !answered && peer.connection.isOpen();
        }

        /**
         * Makes sure, where the loop has been busy elsewhere, that a client that has gone is known
         * to have.
         */
        public void pollForDisconnect() {
            if (isOpen()) {
                peer.connection.pollIfBehind();
            }
        }

        /** Breaks the connection instead of answering. */
        public void reset() {
            answered = true;
            gone = null;
            peer.connection.reset();
            peer.end();
        }

        public String clientAddress() {
            return peer.connection.peerAddress();
        }

        public void answer(int status, String type, byte[] body, String... headers) {
            answer(status, type, Bytes.of(body), headers);
        }

        public void answer(int status, String type, Bytes body, String... headers) {
            if (answered) {
                throw new IllegalStateException("a second answer to one request");
            }
            answered = true;
            gone = null;
            boolean last = stopping || !message.keepsAlive();
            HttpWriter writer = HttpWriter.response(status);
            for (int i = 0; i < headers.length; i += 2) {
                writer.header(headers[i], headers[i + 1]);
            }
            if (!type.isEmpty()) {
                writer.header("Content-Type", type);
            }
            if (last) {
                writer.header("Connection", "close");
            }
            List<ByteBuffer> all = new ArrayList<>();
            all.add(writer.head(Math.toIntExact(body.size())));
            if (!message.method().equals("HEAD")) {
                all.addAll(body.buffers());
            }
            peer.connection.send(all.toArray(ByteBuffer[]::new));
            peer.answered(this, last);
        }
    }

    private final class Peer implements ConnectionHandler {
        private final Connection connection;
        private final HttpParser parser = HttpParser.requests(limits).stopAtBody();
        private final InetAddress from;
        private final long id;
        private Exchange exchange;
        private long since =
                Loop.nowMicros(); // of the present wait: for a message, a head, a body, a writer
        private long messageSince;
        private final long born = Loop.nowMicros();
        private boolean headSeen, closing, waiting, gone, asked;
        private TimerHeap.Timer timer, fresh;

        private Peer(Connection connection, InetAddress from, long id) {
            this.from = from;
            this.id = id;
            this.connection = connection;
            watch();
            if (freshMicros < Long.MAX_VALUE) {
                fresh = loop.after(freshMicros, this::stale);
            }
        }

        /** Nothing is under way on it, also not in the kernel. */
        private boolean unused() {
            if (exchange == null && parser.isBetweenMessages() && !closing) {
                connection.poll();
            }
            return connection.isOpen()
                    && exchange == null
                    && parser.isBetweenMessages()
                    && connection.pendingBytes() == 0;
        }

        private boolean busy() {
            return (!closing && (exchange != null || !parser.isBetweenMessages()))
                    || connection.pendingBytes() > 0;
        }

        private boolean mayGiveWay() {
            return exchange == null && !waiting && (!asked || parser.isBetweenMessages());
        }

        private void stale() {
            connection.poll();
            if (!asked && !closing && connection.isOpen()) {
                count("fresh");
                if (parser.isBetweenMessages() && !waiting) {
                    end();
                } else {
                    refuse(new HttpError(408, "the request did not come in time"));
                }
            }
        }

        /**
         * One timer a connection, set again only when it fires: most waits end long before their
         * bound.
         */
        private void watch() {
            long most =
                    closing || connection.pendingBytes() > 0
                            ? limits.writeMicros()
                            : parser.isBetweenMessages()
                                    ? limits.idleMicros()
                                    : parser.isReadingBody()
                                            ? limits.bodyMicros()
                                            : limits.headMicros();
            long base = connection.pendingBytes() > 0 ? connection.lastTransferMicros() : since;
            long left =
                    (exchange != null || waiting) && connection.pendingBytes() == 0
                            ? most
                            : base + most - Loop.nowMicros();
            if (left > 0) {
                timer = loop.after(left, this::watch);
                return;
            }
            TimerHeap.Timer before = timer;
            if (parser.isBetweenMessages()
                    && !closing
                    && connection.pendingBytes() == 0
                    && !unused()) {
                if (connection.isOpen() && timer == before) {
                    watch(); // it spoke at the last moment
                }
            } else if (parser.isBetweenMessages() || connection.pendingBytes() > 0 || closing) {
                count(connection.pendingBytes() > 0 ? "slow_reader" : "idle");
                end();
            } else {
                count(parser.isReadingBody() ? "slow_body" : "slow_head");
                refuse(new HttpError(408, "the request did not come in time"));
                loop.after(limits.writeMicros(), this::end);
            }
        }

        @Override
        public void received(ByteBuffer in) {
            if (closing) {
                in.position(in.limit());
                return;
            }
            if (exchange != null || waiting) {
                return; // kept by the connection until the answer is out
            }
            try {
                boolean was = parser.isBetweenMessages();
                if (was) {
                    messageSince = connection.offeredSinceMicros();
                }
                HttpMessage message = parser.next(in);
                if (message == null && parser.isReadingBody() && !headSeen) {
                    head();
                    if (waiting) {
                        return;
                    }
                    message = parser.next(in);
                }
                if (message == null) {
                    if (was || (parser.isReadingBody() && phase != 2)) {
                        phase = parser.isReadingBody() ? 2 : 1;
                        begun();
                    }
                    return;
                }
                phase = 0;
                headSeen = false;
                asked = true;
                if (fresh != null) {
                    fresh.cancel();
                }
                Exchange e = new Exchange(this, message, messageSince);
                exchange = e;
                connection.delayCloseIfBroken(brokenCloseDelayMicros);
                handler.handle(e);
            } catch (HttpError e) {
                count("status_" + e.status());
                in.position(in.limit());
                refuse(e);
            }
        }

        private int phase; // 0 between messages, 1 in a head, 2 in a body

        /** A head or a body did not come at once: from now its own bound counts. */
        private void begun() {
            since = Loop.nowMicros();
            timer.cancel();
            watch();
        }

        private void head() {
            headSeen = true;
            int status = handler.checkHead(parser.currentMessage());
            if (status != 0) {
                throw new HttpError(status, "turned away before the body");
            }
            long bytes =
                    parser.remainingContentLength() < 0
                            ? limits.bodyBytes()
                            : parser.remainingContentLength();
            if (!door.canEverReserve(bytes)) {
                throw new HttpError(
                        413,
                        "a body of " + bytes + " bytes is more than all bodies may hold together");
            }
            if (!door.tryReserve(id, bytes)) {
                count("bodies_waited");
                waiting = true;
                connection.setReadingPaused(true);
                return;
            }
            goAhead();
        }

        private void goAhead() {
            if (parser.currentMessage().hasHeaderToken("expect", "100-continue")) {
                connection.send(
                        ByteBuffer.wrap(
                                "HTTP/1.1 100 Continue\r\n\r\n"
                                        .getBytes(StandardCharsets.US_ASCII)));
            }
        }

        private void granted() {
            if (waiting && connection.isOpen()) {
                waiting = false;
                goAhead();
                connection.setReadingPaused(false);
                begun();
                loop.after(0, connection::offerUnreadInput);
            }
        }

        @Override
        public void outputWritten() {
            release();
            responseMayBeOut();
        }

        /** Once the kernel has all of the response, a close cannot cross its request any more. */
        private void responseMayBeOut() {
            if (exchange == null && connection.pendingBytes() == 0) {
                connection.delayCloseIfBroken(0);
            }
        }

        @Override
        public void unreadInputFull() {
            if (oneAtATime) {
                count("crammed");
                connection.reset();
                closed(null);
            }
        }

        private void release() {
            door.release(
                    id,
                    other -> {
                        Peer let = peers.get(other);
                        if (let != null) {
                            let.granted();
                        }
                    });
        }

        /**
         * A message that cannot be read: where the next would begin is unknown, so the connection
         * closes.
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
            // What the client still sends is read and dropped for a while: a reset would discard
            // the answer unread.
            connection.endOutput();
            loop.after(Math.min(limits.writeMicros(), LINGER), this::end);
        }

        private void answered(Exchange e, boolean last) {
            if (exchange != e) {
                return;
            }
            exchange = null;
            since = Loop.nowMicros();
            responseMayBeOut();
            release();
            if (connection.pendingBytes() > 0) {
                door.reserve(id, connection.pendingBytes());
            }
            if (last) {
                closing = true;
                connection.closeWhenSent();
                if (!connection.isOpen()) {
                    end();
                }
            } else {
                loop.after(0, connection::offerUnreadInput);
            }
        }

        private void end() {
            leave();
            connection.close();
        }

        private void leave() {
            timer.cancel();
            if (fresh != null) {
                fresh.cancel();
            }
            peers.remove(id);
            if (!gone) {
                gone = true;
                release();
                door.connectionClosed(from);
            }
        }

        @Override
        public void closed(IOException why) {
            leave();
            Exchange e = exchange;
            if (e != null && !e.answered && e.gone != null) {
                exchange = null;
                e.gone.run();
            }
        }
    }
}
