package waytrestle.discovery.watch;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import waytrestle.json.MalformedJsonException;
import waytrestle.net.Connection;
import waytrestle.net.Loop;
import waytrestle.net.TimerHeap;

/** Follows a notice board over TCP; what its lines come to is the book's. */
public final class WatchClient {
    private static final long LOOK =
            200_000; // micros between looks at its silence: a fraction of that
    private static final int LINE = 4 << 20; // bytes of one event: some 20,000 invokers
    private static final int READ = 64 * 1024; // bytes kept unread

    private final Loop loop;
    private final WatchEventReader reader;
    private final WatchState book;
    private final Consumer<WatchEvent> told;
    private final Runnable isCurrent;
    private final Consumer<String> said;
    private InetSocketAddress at;
    private Reader current;
    private TimerHeap.Timer next;

    public WatchClient(
            Loop loop,
            InetSocketAddress at,
            WatchEventReader reader,
            WatchState book,
            Consumer<WatchEvent> told,
            Runnable isCurrent,
            Consumer<String> said) {
        this.loop = loop;
        this.at = at;
        this.reader = reader;
        this.book = book;
        this.told = told;
        this.isCurrent = isCurrent;
        this.said = said;
    }

    /** Begins to follow, on the loop. */
    public void start() {
        on(new WatchState.AddressChanged());
        look();
    }

    /** Follows the board at another address from now on; the same one is asked again. */
    public void addressChanged(InetSocketAddress to) {
        at = to;
        on(new WatchState.AddressChanged());
    }

    private void look() {
        on(new WatchState.SilenceCheckDue());
        loop.after(LOOK, this::look);
    }

    private void on(WatchState.Event event) {
        book.handle(
                Loop.now(),
                event,
                action -> {
                    if (action instanceof WatchState.PublishEvent tell) {
                        told.accept(tell.event());
                    } else if (action instanceof WatchState.Current) {
                        isCurrent.run();
                    } else if (action instanceof WatchState.Reconnect ask) {
                        if (current != null) {
                            current.drop();
                        }
                        if (next != null) {
                            next.cancel();
                        }
                        next =
                                loop.after(
                                        ask.delayMicros(),
                                        () -> current = new Reader(ask.afterRevision()));
                    }
                });
    }

    private final class Reader implements Connection.Handler {
        private final Connection connection;
        private final ByteArrayOutputStream line = new ByteArrayOutputStream(1_024);
        private final long after;
        private boolean dropped;

        private Reader(long after) {
            this.after = after;
            this.connection = Connection.open(loop, at, READ, book.connectMicros(), this);
        }

        private void drop() {
            dropped = true;
            connection.close();
        }

        @Override
        public void connected() {
            connection.send(
                    ByteBuffer.wrap(("watch " + after + "\n").getBytes(StandardCharsets.US_ASCII)));
        }

        @Override
        public void received(ByteBuffer in) {
            while (in.hasRemaining() && !dropped) {
                byte b = in.get();
                if (b != '\n') {
                    line.write(b);
                    if (line.size() > LINE) {
                        broke("a line of the notice board is over " + LINE + " bytes");
                    }
                    continue;
                }
                String text = line.toString(StandardCharsets.UTF_8);
                line.reset();
                if (!text.isBlank()) {
                    try {
                        on(new WatchState.LineReceived(reader.readLine(text)));
                    } catch (MalformedJsonException e) {
                        broke(e.getMessage());
                    }
                }
            }
            in.position(in.limit());
        }

        private void broke(String why) {
            said.accept("notice board: " + why);
            on(new WatchState.ConnectionBroke());
        }

        @Override
        public void closed(IOException why) {
            if (!dropped) {
                dropped = true;
                on(new WatchState.ConnectionBroke());
            }
        }
    }
}
