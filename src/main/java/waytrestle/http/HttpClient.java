package waytrestle.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashSet;
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
 */
public final class HttpClient {
    /** Where an exchange broke. */
    public enum Break {
        NO_CONNECTION,
        BEFORE_FIRST_BYTE,
        AFTER_FIRST_BYTE,
        MALFORMED,
        TIMEOUT,
        CANCELLED,
        NO_ROOM
    }

    /** Before anything of a request is written: how it ends instead, or null to go on. */
    public interface Withdrawal {
        Break now();
    }

    /** Hears of one end, on the loop and never within the call that began the exchange. */
    public interface Handler {
        void answered(HttpMessage message);

        void broken(Break how, String why);
    }

    private final Loop loop;
    private final InetSocketAddress peer;
    private final HttpLimits limits;
    private final int maxConnections;
    private final long connectMicros, idleMicros;
    private final Held held;
    private final ArrayDeque<Link> idle = new ArrayDeque<>();
    private int open;

    /** Open connections in the order in which they were begun. */
    private final Set<Link> links = new LinkedHashSet<>();

    private static final int ANEW =
            3; // connections begun for one request: so many resets in a row tell of the server
    private static final int INTERIM =
            16; // interim answers (1xx) to one request: more say nothing more
    private static final long YOUNG =
            4_000_000; // micros since its use in which no server closes a kept connection:
    // the shortest usual bound is five seconds
    private static final long AT_ONCE =
            100_000; // micros in which all connections of a process that ends close
    private Runnable lost = () -> {};
    private long youngClosedAt = Long.MIN_VALUE / 2;
    private long strays;
    private boolean closed;
    private long stallMicros = Long.MAX_VALUE, restMicros;
    private Slots slots = new Slots(Integer.MAX_VALUE);

    /** With no bound on all answers but those on each and on connections. */
    public HttpClient(
            Loop loop,
            InetSocketAddress peer,
            HttpLimits limits,
            int maxConnections,
            long connectMicros,
            long idleMicros) {
        this(
                loop,
                peer,
                limits,
                maxConnections,
                connectMicros,
                idleMicros,
                new Held(Long.MAX_VALUE));
    }

    public HttpClient(
            Loop loop,
            InetSocketAddress peer,
            HttpLimits limits,
            int maxConnections,
            long connectMicros,
            long idleMicros,
            Held held) {
        this.held = held;
        this.loop = loop;
        this.peer = peer;
        this.limits = limits;
        this.maxConnections = maxConnections;
        this.connectMicros = connectMicros;
        this.idleMicros = idleMicros;
    }

    /**
     * Hears that all connections were closed by the other side at once, kept ones among them that
     * were used lately.
     */
    public HttpClient lost(Runnable told) {
        lost = told;
        return this;
    }

    /** Answers of which some came and then nothing for so long are not waited for any more. */
    public HttpClient stalledAfter(long micros) {
        stallMicros = micros;
        return this;
    }

    /**
     * A connection is not used again for so long after an answer: of a peer that answers twice the
     * second answer would pass for that to the next request.
     */
    public HttpClient restingFor(long micros) {
        restMicros = micros;
        return this;
    }

    /** Shares a bound on connections with other clients. */
    public HttpClient within(Slots shared) {
        slots = shared;
        return this;
    }

    public int open() {
        return open;
    }

    /** When the oldest open connection came up; {@link Long#MAX_VALUE} without one. */
    public long connectedSince() {
        for (Link link : links) {
            if (link.up) {
                return link.upSince;
            }
        }
        return Long.MAX_VALUE;
    }

    public int idle() {
        return idle.size();
    }

    /**
     * How often bytes came on a connection with no request out: a second answer, or part of one.
     */
    public long strays() {
        return strays;
    }

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
        private final ByteBuffer[] request;
        private final Handler handler;
        private final Withdrawal withdrawal;
        private Link link;
        private TimerHeap.Timer timer;
        private boolean over;
        private int begun;

        private Call(ByteBuffer[] request, Withdrawal withdrawal, Handler handler) {
            this.request = request;
            this.withdrawal = withdrawal;
            this.handler = handler;
        }

        /** Whether it is not to be written any more, and has ended by that. */
        private boolean withdrawn() {
            Break how = over ? null : withdrawal.now();
            if (how != null) {
                end(how, "withdrawn before it was sent");
            }
            return over;
        }

        /** Ends it as cancelled and closes its connection, which is how the peer learns of it. */
        public void cancel() {
            end(Break.CANCELLED, "cancelled");
        }

        private void end(Break how, String why) {
            if (over) {
                return;
            }
            over = true;
            timer.cancel();
            if (link != null) {
                link.call = null;
                link.reset();
            }
            loop.after(0, () -> handler.broken(how, why));
        }

        private void answered(HttpMessage message) {
            over = true;
            timer.cancel();
            link = null;
            handler.answered(message);
        }
    }

    /** Sends a request; the head and body are handed over. */
    public Call call(long withinMicros, Handler handler, ByteBuffer... request) {
        return call(withinMicros, () -> null, handler, request);
    }

    /**
     * The same; until its first byte is written it may be withdrawn, however late a connection
     * comes up.
     */
    public Call call(
            long withinMicros, Withdrawal withdrawal, Handler handler, ByteBuffer... request) {
        Call call = new Call(request, withdrawal, handler);
        call.timer = loop.after(withinMicros, () -> call.end(Break.TIMEOUT, "no answer in time"));
        Link link = kept();
        if (call.withdrawn()) { // asked behind the looks at connections: right before it is written
            if (link != null && closed) {
                link.drop();
            } else if (link != null) {
                idle.add(link);
            }
            return call;
        }
        if (link == null) {
            onNew(call);
        } else {
            link.idleTimer.cancel();
            slots.noLongerIdle(link);
            link.take(call);
        }
        return call;
    }

    /**
     * The last used that has rested is the least likely to have been closed by the peer; null
     * without one.
     */
    private Link kept() {
        long now = Loop.now();
        for (Iterator<Link> all = idle.descendingIterator(); all.hasNext(); ) {
            Link link = all.next();
            if (now - link.usedAt >= restMicros) {
                IdleState found = link.connection.idle();
                if (found == IdleState.UNKNOWN) {
                    continue; // the look failed: it stays idle, and is looked at the next time
                }
                all.remove();
                if (link.fit(found)) {
                    return link;
                }
            }
        }
        return null;
    }

    private void onNew(Call call) {
        if (open >= maxConnections || !slots.take()) {
            call.end(Break.NO_ROOM, "all connections that may be made to the invoker are in use");
            return;
        }
        Link link = new Link();
        link.connection = Connection.open(loop, peer, limits.bodyBytes(), connectMicros, link);
        open++;
        links.add(link);
        call.begun++;
        link.take(call);
    }

    private final class Link implements ConnectionHandler {
        private final HttpParser parser = HttpParser.responses(limits);
        private Connection connection;
        private Call call;
        private TimerHeap.Timer idleTimer, stallTimer;
        private boolean up, dropped;
        private int interim;
        private long usedAt;
        private long upSince;
        private long has; // bytes of an answer that is not whole yet
        private long writtenBefore;

        /** Whether it may be used again; if not it is dropped. */
        private boolean fit(IdleState found) {
            if (found == IdleState.SPOKE) {
                strays++;
                drop();
            } else if (found == IdleState.ENDED) {
                closed(null);
            }
            return found == IdleState.FIT;
        }

        private void take(Call next) {
            call = next;
            next.link = this;
            if (up) {
                write();
            }
        }

        /** It came up late: what it was made for may have been withdrawn meanwhile. */
        private boolean stillWanted() {
            return call != null && !call.withdrawn();
        }

        private void write() {
            writtenBefore = connection.written();
            ByteBuffer[] request = new ByteBuffer[call.request.length];
            for (int i = 0; i < request.length; i++) {
                request[i] =
                        call.request[i].duplicate(); // it may have to be written again, on another
                // connection
            }
            connection.send(request);
        }

        @Override
        public void connected() {
            up = true;
            upSince = Loop.now();
            if (stillWanted()) {
                write();
            }
        }

        @Override
        public void received(ByteBuffer in) {
            int bytes = in.remaining();
            moved();
            try {
                HttpMessage message = parser.next(in);
                while (message != null && message.status() < 200) {
                    if (call == null || message.status() == 101 || ++interim > INTERIM) {
                        throw new HttpError(400, "an interim answer that nobody asked for");
                    }
                    message = parser.next(in);
                }
                if (message == null) {
                    if (!held.add(has, bytes)) {
                        throw new HttpError(413, "answers together hold as much as they may");
                    }
                    has += bytes;
                    if (stallMicros < Long.MAX_VALUE) {
                        stallTimer =
                                loop.after(
                                        stallMicros,
                                        () -> fail(Break.MALFORMED, "the answer stopped short"));
                    }
                    return;
                }
                held.release(has);
                has = 0;
                Call done = call;
                if (done == null) {
                    strays++;
                    drop();
                    return;
                }
                boolean more = in.hasRemaining(); // a second answer must not reach the connection's
                // next call
                strays += more ? 1 : 0;
                call = null;
                interim = 0;
                if (closed || more || !message.keepsAlive() || connection.pending() > 0) {
                    drop();
                } else {
                    usedAt = Loop.now();
                    idleTimer = loop.after(idleMicros, this::drop);
                    idle.add(this);
                    slots.idle(this, this::drop);
                }
                done.answered(message);
            } catch (HttpError e) {
                fail(Break.MALFORMED, e.getMessage());
            }
        }

        private void moved() {
            if (stallTimer != null) {
                stallTimer.cancel();
                stallTimer = null;
            }
        }

        private void fail(Break how, String why) {
            Call broken = call;
            if (broken != null) {
                broken.end(how, why);
            } else {
                drop();
            }
        }

        @Override
        public void closed(IOException why) {
            HttpMessage whole = parser.closed();
            Call broken = call;
            boolean kept = broken == null && !dropped;
            drop();
            if (kept && Loop.now() - usedAt < YOUNG) {
                youngClosedAt = Loop.now();
            }
            if (open == 0 && !closed && Loop.now() - youngClosedAt < AT_ONCE) {
                youngClosedAt = Long.MIN_VALUE / 2;
                loop.after(0, lost);
            }
            if (broken == null) {
                return;
            }
            if (whole != null) {
                call = null;
                broken.answered(whole);
                return;
            }
            Break how =
                    !up
                            ? Break.NO_CONNECTION
                            : connection.written() == writtenBefore
                                    ? Break.BEFORE_FIRST_BYTE
                                    : Break.AFTER_FIRST_BYTE;
            // Nothing was sent, and nobody refused: it tells of this connection alone, as any
            // client takes it.
            if (why instanceof NoSocketException) {
                broken.end(Break.NO_ROOM, why.getMessage());
                return;
            }
            boolean refused =
                    why instanceof ConnectException || why instanceof SocketTimeoutException;
            if (how != Break.AFTER_FIRST_BYTE && !refused && !closed && broken.begun < ANEW) {
                broken.link = null;
                loop.after(
                        0,
                        () -> {
                            if (!broken.withdrawn()) {
                                onNew(broken);
                            }
                        });
                return;
            }
            broken.end(how, why == null ? "the peer closed" : String.valueOf(why.getMessage()));
        }

        private void reset() {
            connection.reset();
            drop();
        }

        private void drop() {
            if (!dropped) {
                dropped = true;
                moved();
                held.release(has);
                has = 0;
                open--;
                links.remove(this);
                slots.free();
                slots.noLongerIdle(this);
                idle.remove(this);
                if (idleTimer != null) {
                    idleTimer.cancel();
                }
                connection.close();
            }
        }
    }
}
