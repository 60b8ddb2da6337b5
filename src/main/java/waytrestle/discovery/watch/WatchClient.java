package waytrestle.discovery.watch;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import waytrestle.json.MalformedJsonException;
import waytrestle.net.Connection;
import waytrestle.net.ConnectionHandler;
import waytrestle.net.Loop;
import waytrestle.net.SocketAddresses;
import waytrestle.net.TimerHeap;

/**
 * Follows a watch server over TCP: holds the connection and carries out what {@link WatchState}
 * decides.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class WatchClient {
    /** A fraction of the heartbeat time-out, so that a silent server is found soon after it. */
    private static final long HEARTBEAT_CHECK_INTERVAL_MICROS = 200_000;

    /** One event with some 20,000 endpoints; a longer line cannot exhaust the memory. */
    private static final int MAX_LINE_BYTES = 4 << 20;

    /**
     * Lateness of the event loop from which on what it finds does not count as just come, and time
     * after that in which the rest of it is read.
     */
    private static final long LATE_MICROS = 50_000;

    private static final int MAX_UNREAD_BYTES = 64 * 1024;
    private static final int INITIAL_LINE_BYTES = 1_024;

    private final Loop loop;
    private final WatchEventReader reader;
    private final WatchState state;
    private final Consumer<WatchEvent> eventListener;
    private final Runnable synchronizedListener;
    private final Consumer<WatchState.PublishFreshness> freshnessListener;
    private final Consumer<String> log;
    private InetSocketAddress address;
    private WatchConnection connection;
    private TimerHeap.Timer nextConnect;
    private long lateReadAtMicros = Long.MIN_VALUE / 2;
    private long earliestOfLateMicros;

    /**
     * Does not connect yet.
     *
     * @param eventListener receives each event once, in the order of revisions
     * @param synchronizedListener runs when the server has answered for the first time
     * @param freshnessListener hears by when the list counts as outdated, at each change
     * @param log receives a line for each connection dropped because of what it carried
     */
    public WatchClient(
            Loop loop,
            InetSocketAddress address,
            WatchEventReader reader,
            WatchState state,
            Consumer<WatchEvent> eventListener,
            Runnable synchronizedListener,
            Consumer<WatchState.PublishFreshness> freshnessListener,
            Consumer<String> log) {
        this.loop = loop;
        this.address = address;
        this.reader = reader;
        this.state = state;
        this.eventListener = eventListener;
        this.synchronizedListener = synchronizedListener;
        this.freshnessListener = freshnessListener;
        this.log = log;
    }

    /** Starts to follow the server; to be called on the loop. */
    public void start() {
        handle(new WatchState.AddressChanged());
        checkHeartbeat();
    }

    /** Follows the server at this address from now on; reconnects even where it is the same. */
    public void addressChanged(InetSocketAddress newAddress) {
        address = newAddress;
        handle(new WatchState.AddressChanged());
    }

    /** Reads what has come meanwhile, where the event loop has been busy elsewhere for long. */
    public void pollIfBehind() {
        if (connection != null) {
            connection.transport.pollIfBehind();
        }
        if (loop.isBehind()) {
            handle(new WatchState.ProcessStopped(earliestMicros()));
        }
    }

    private void checkHeartbeat() {
        pollIfBehind(); // the silence may be this process's own
        handle(new WatchState.HeartbeatCheckDue());
        loop.after(HEARTBEAT_CHECK_INTERVAL_MICROS, this::checkHeartbeat);
    }

    /**
     * The earliest time at which what is found now can have happened. What lay in the kernel while
     * the process did not run is not all read at once: the end of a connection comes behind its
     * last lines.
     */
    private long earliestMicros() {
        long now = Loop.nowMicros();
        if (loop.unseenMicros() > LATE_MICROS) {
            lateReadAtMicros = now;
            earliestOfLateMicros = now - loop.unseenMicros();
        }
        return now - lateReadAtMicros < LATE_MICROS ? earliestOfLateMicros : now;
    }

    private void handle(WatchState.Event event) {
        state.handle(Loop.nowMicros(), event, this::execute);
    }

    private void execute(WatchState.Command command) {
        if (command instanceof WatchState.PublishEvent publish) {
            eventListener.accept(publish.event());
        } else if (command instanceof WatchState.PublishSynchronized) {
            synchronizedListener.run();
        } else if (command instanceof WatchState.PublishFreshness freshness) {
            freshnessListener.accept(freshness);
        } else if (command instanceof WatchState.Reconnect reconnect) {
            reconnect(reconnect);
        }
    }

    private void reconnect(WatchState.Reconnect reconnect) {
        if (connection != null) {
            connection.drop();
        }
        if (nextConnect != null) {
            nextConnect.cancel();
        }
        nextConnect =
                loop.after(
                        reconnect.delayMicros(),
                        () -> connection = new WatchConnection(reconnect.afterRevision()));
    }

    /** One connection: requests the events after a revision and splits what arrives into lines. */
    private final class WatchConnection implements ConnectionHandler {
        private final Connection transport;
        private final ByteArrayOutputStream line = new ByteArrayOutputStream(INITIAL_LINE_BYTES);
        private final long afterRevision;
        private boolean dropped;

        private WatchConnection(long afterRevision) {
            this.afterRevision = afterRevision;
            this.transport =
                    Connection.open(
                            loop, address, MAX_UNREAD_BYTES, state.connectTimeoutMicros(), this);
        }

        private void drop() {
            dropped = true;
            transport.close();
        }

        @Override
        public void connected() {
            String request = "watch " + afterRevision + "\n";
            transport.send(ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII)));
            handle(new WatchState.RequestSent());
        }

        @Override
        public void received(ByteBuffer in) {
            while (in.hasRemaining() && !dropped) {
                byte next = in.get();
                if (next == '\n') {
                    lineEnded();
                } else {
                    append(next);
                }
            }
            in.position(in.limit());
        }

        private void append(byte next) {
            line.write(next);
            if (line.size() > MAX_LINE_BYTES) {
                fail("a line is over " + MAX_LINE_BYTES + " bytes");
            }
        }

        private void lineEnded() {
            String text = line.toString(StandardCharsets.UTF_8);
            line.reset();
            if (text.isBlank()) {
                return;
            }
            WatchEvent event;
            try {
                event = reader.readLine(text);
            } catch (MalformedJsonException e) {
                fail(e.getMessage());
                return;
            }
            handle(new WatchState.LineReceived(event, earliestMicros()));
        }

        private void fail(String reason) {
            log.accept(
                    "watch.connection_dropped address="
                            + SocketAddresses.format(address)
                            + " after_revision="
                            + state.lastRevision()
                            + " reason=\""
                            + reason
                            + "\"");
            handle(new WatchState.ConnectionFailed(earliestMicros()));
        }

        @Override
        public void closed(IOException cause) {
            if (!dropped) {
                dropped = true;
                handle(new WatchState.ConnectionFailed(earliestMicros()));
            }
        }
    }
}
