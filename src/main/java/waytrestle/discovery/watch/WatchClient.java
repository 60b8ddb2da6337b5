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
 * Follows a watch server over TCP: holds the connection and carries out the commands of {@link
 * WatchState}.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class WatchClient {
    /**
     * Interval of the heartbeat checks: a fraction of the heartbeat time-out, so that a silent
     * server is detected soon after the time-out.
     */
    private static final long HEARTBEAT_CHECK_INTERVAL_MICROS = 200_000;

    /**
     * Enough for an event with some 20,000 endpoints. A longer line ends the connection, so that it
     * cannot exhaust the memory.
     */
    private static final int MAX_LINE_BYTES = 4 << 20;

    /**
     * If the event loop has not looked at its connections for longer, data that it reads may have
     * arrived at any time since then. Data read within this time after such a late read counts as
     * equally old, since the late read does not return everything at once.
     */
    private static final long LATE_READ_MICROS = 50_000;

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

    /** When the last late read was; at first so long ago that subtracting it cannot overflow. */
    private long lateReadAtMicros = Long.MIN_VALUE / 2;

    /** Earliest time at which the data of the last late read can have arrived. */
    private long lateReadArrivalMicros;

    /**
     * Creates a client that does not connect yet.
     *
     * @param address address of the watch server
     * @param eventListener receives each event once, in the order of revisions
     * @param synchronizedListener runs once, when the server has sent its first line that is not
     *     behind the known revision and leaves no event out
     * @param freshnessListener receives when the endpoint list counts as last received, whenever
     *     that changes
     * @param log receives a line for each connection that is dropped because a line on it is
     *     malformed or too long
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

    /** Starts to follow the server. Must be called on the event loop. */
    public void start() {
        handle(new WatchState.AddressChanged());
        checkHeartbeat();
    }

    /** Reconnects to the server at the given address, even if the address has not changed. */
    public void addressChanged(InetSocketAddress newAddress) {
        address = newAddress;
        handle(new WatchState.AddressChanged());
    }

    /**
     * Reads the lines that have already arrived, if the event loop was too busy to look at its
     * connections for long.
     */
    public void pollIfBehind() {
        if (connection != null) {
            connection.transport.pollIfBehind();
        }
        if (loop.isBehind()) {
            handle(new WatchState.ProcessStopped(earliestArrivalMicros()));
        }
    }

    private void checkHeartbeat() {
        // Heartbeats may have arrived unread while this process was busy or not running.
        pollIfBehind();
        handle(new WatchState.HeartbeatCheckDue());
        loop.after(HEARTBEAT_CHECK_INTERVAL_MICROS, this::checkHeartbeat);
    }

    /**
     * Returns the earliest time at which a line or the end of a connection that is read only now
     * can have arrived, in microseconds on the event loop's clock. Data that lay in the kernel
     * while this process did not run is not all read at once: the end of a connection is read after
     * its last lines.
     */
    private long earliestArrivalMicros() {
        long nowMicros = Loop.nowMicros();
        if (loop.unseenMicros() > LATE_READ_MICROS) {
            lateReadAtMicros = nowMicros;
            lateReadArrivalMicros = nowMicros - loop.unseenMicros();
        }
        return nowMicros - lateReadAtMicros < LATE_READ_MICROS ? lateReadArrivalMicros : nowMicros;
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

    /**
     * One connection to the watch server: requests the events after a revision and splits the
     * received bytes into lines.
     */
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
                fail("a line is longer than " + MAX_LINE_BYTES + " bytes");
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
            handle(new WatchState.LineReceived(event, earliestArrivalMicros()));
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
            handle(new WatchState.ConnectionFailed(earliestArrivalMicros()));
        }

        @Override
        public void closed(IOException cause) {
            if (!dropped) {
                dropped = true;
                handle(new WatchState.ConnectionFailed(earliestArrivalMicros()));
            }
        }
    }
}
