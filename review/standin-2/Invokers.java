import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Invokers by the platform's protocol, any number of them on one thread. An invoker starts empty,
 * answers 404 for a function that is not loaded, loads by order, and runs a call for some time.
 */
final class Invokers implements Runnable {
    /** Behaviour of a case: is asked at each call that is to run. */
    interface Behaviour {
        /** Handles a call; by default it runs and is answered with 200. */
        void call(Invoker invoker, Connection connection, Message request);
    }

    /** One request. */
    static final class Message {
        String method = "";
        String target = "";
        final Map<String, String> headers = new HashMap<>();
        byte[] body = new byte[0];
        long atMillis;

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    final class Invoker {
        final String id;
        final InetSocketAddress address;
        final Map<String, Long> loadedAt = new HashMap<>();
        ServerSocketChannel server;
        boolean healthy = true;
        int running;

        Invoker(String id, InetSocketAddress address) {
            this.id = id;
            this.address = address;
        }

        boolean isLoaded(String function) {
            Long at = loadedAt.get(function);
            return at != null && at <= System.nanoTime() / 1_000_000;
        }
    }

    final class Connection {
        final Invoker invoker;
        final SocketChannel channel;
        final ByteBuffer in = ByteBuffer.allocate(64 * 1024);
        final ArrayDeque<ByteBuffer> out = new ArrayDeque<>();
        final long number;
        boolean open = true;
        boolean busy;
        boolean peerEnded;
        int callsSeen;

        Connection(Invoker invoker, SocketChannel channel, long number) {
            this.invoker = invoker;
            this.channel = channel;
            this.number = number;
        }

        void write(byte[] bytes) {
            if (!open) {
                return;
            }
            out.add(ByteBuffer.wrap(bytes));
            flush(this);
        }

        /** The answer to the present request has been written. */
        void done() {
            busy = false;
            parse(this);
        }

        void close() {
            closeConnection(this);
        }
    }

    private static final class Timer implements Comparable<Timer> {
        final long dueNanos;
        final long order;
        final Runnable task;

        Timer(long dueNanos, long order, Runnable task) {
            this.dueNanos = dueNanos;
            this.order = order;
            this.task = task;
        }

        @Override
        public int compareTo(Timer other) {
            int byTime = Long.compare(dueNanos, other.dueNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    final Record record;
    final long loadMillis;
    Behaviour behaviour;
    final List<Invoker> all = new ArrayList<>();
    private final Selector selector;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private long nextOrder;
    private long nextConnection;
    private volatile boolean running = true;

    Invokers(Record record, long loadMillis) throws IOException {
        this.record = record;
        this.loadMillis = loadMillis;
        this.selector = Selector.open();
    }

    /** Adds an invoker at an address; to be called before the thread starts, or on it. */
    Invoker add(String id, String host, int port) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.bind(new InetSocketAddress(host, port), 256);
        server.configureBlocking(false);
        Invoker invoker = new Invoker(id, (InetSocketAddress) server.getLocalAddress());
        invoker.server = server;
        server.register(selector, SelectionKey.OP_ACCEPT, invoker);
        all.add(invoker);
        return invoker;
    }

    void start() {
        Thread thread = new Thread(this, "invokers");
        thread.setDaemon(true);
        thread.start();
    }

    void stop() {
        running = false;
        selector.wakeup();
    }

    /** Runs a task on the invokers' thread; may be called from any thread. */
    void execute(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    /** Runs a task on the invokers' thread after a delay; to be called on that thread. */
    void after(double millis, Runnable task) {
        long due = System.nanoTime() + (long) (millis * 1_000_000);
        timers.add(new Timer(due, nextOrder++, task));
    }

    @Override
    public void run() {
        try {
            while (running) {
                long wait = 1_000;
                if (!timers.isEmpty()) {
                    long nanos = timers.peek().dueNanos - System.nanoTime();
                    wait = Math.max(0, Math.min(wait, (nanos + 999_999) / 1_000_000));
                }
                if (wait == 0 || !tasks.isEmpty()) {
                    selector.selectNow();
                } else {
                    selector.select(wait);
                }
                for (SelectionKey key : selector.selectedKeys()) {
                    if (key.isValid()) {
                        handle(key);
                    }
                }
                selector.selectedKeys().clear();
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
                while (!timers.isEmpty() && timers.peek().dueNanos <= System.nanoTime()) {
                    timers.poll().task.run();
                }
            }
        } catch (IOException | RuntimeException e) {
            record.failed(e);
        }
    }

    private void handle(SelectionKey key) throws IOException {
        if (key.isAcceptable()) {
            Invoker invoker = (Invoker) key.attachment();
            for (SocketChannel channel = invoker.server.accept();
                    channel != null;
                    channel = invoker.server.accept()) {
                channel.configureBlocking(false);
                channel.socket().setTcpNoDelay(true);
                Connection connection = new Connection(invoker, channel, ++nextConnection);
                channel.register(selector, SelectionKey.OP_READ, connection);
            }
            return;
        }
        Connection connection = (Connection) key.attachment();
        if (key.isReadable()) {
            read(connection);
        }
        if (connection.open && key.isWritable()) {
            flush(connection);
        }
    }

    private void read(Connection connection) {
        try {
            int count = connection.channel.read(connection.in);
            if (count < 0) {
                closeConnection(connection);
                return;
            }
        } catch (IOException e) {
            closeConnection(connection);
            return;
        }
        parse(connection);
    }

    private void closeConnection(Connection connection) {
        if (!connection.open) {
            return;
        }
        connection.open = false;
        try {
            connection.channel.close();
        } catch (IOException e) {
            // Nothing uses the channel any more.
        }
    }

    private void flush(Connection connection) {
        try {
            while (!connection.out.isEmpty()) {
                ByteBuffer next = connection.out.peek();
                connection.channel.write(next);
                if (next.hasRemaining()) {
                    break;
                }
                connection.out.poll();
            }
            SelectionKey key = connection.channel.keyFor(selector);
            int writes = connection.out.isEmpty() ? 0 : SelectionKey.OP_WRITE;
            key.interestOps(SelectionKey.OP_READ | writes);
        } catch (IOException | RuntimeException e) {
            closeConnection(connection);
        }
    }

    private void parse(Connection connection) {
        while (connection.open && !connection.busy) {
            ByteBuffer in = connection.in;
            int end = headEnd(in);
            if (end < 0) {
                return;
            }
            String head =
                    new String(in.array(), 0, end, StandardCharsets.ISO_8859_1);
            String[] lines = head.split("\r\n");
            Message message = new Message();
            String[] first = lines[0].split(" ");
            message.method = first[0];
            message.target = first.length > 1 ? first[1] : "";
            for (int i = 1; i < lines.length; i++) {
                int colon = lines[i].indexOf(':');
                if (colon > 0) {
                    message.headers.put(
                            lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                            lines[i].substring(colon + 1).trim());
                }
            }
            String length = message.header("content-length");
            int bodyLength = length.isEmpty() ? 0 : Integer.parseInt(length);
            int total = end + 4 + bodyLength;
            if (in.position() < total) {
                return;
            }
            message.body = new byte[bodyLength];
            System.arraycopy(in.array(), end + 4, message.body, 0, bodyLength);
            in.flip();
            in.position(total);
            in.compact();
            message.atMillis = System.currentTimeMillis();
            connection.busy = true;
            handle(connection, message);
        }
    }

    private static int headEnd(ByteBuffer in) {
        byte[] bytes = in.array();
        for (int i = 0; i + 3 < in.position(); i++) {
            if (bytes[i] == '\r'
                    && bytes[i + 1] == '\n'
                    && bytes[i + 2] == '\r'
                    && bytes[i + 3] == '\n') {
                return i;
            }
        }
        return -1;
    }

    private void handle(Connection connection, Message message) {
        Invoker invoker = connection.invoker;
        String target = message.target;
        if (target.equals("/alive") || target.equals("/load")) {
            answer(connection, invoker.healthy ? 200 : 503, "X-Gauges: queue:0;x0:0;x1:0\r\n", "");
            return;
        }
        if (message.method.equals("PUT")) {
            String[] parts = target.split("/");
            load(connection, parts[2], Integer.parseInt(parts[3]));
            return;
        }
        if (message.method.equals("DELETE")) {
            invoker.loadedAt.remove(target.split("/")[2]);
            answer(connection, 204, "", "");
            return;
        }
        connection.callsSeen++;
        if (!invoker.isLoaded(message.header("x-name"))) {
            answer(connection, 404, "", "");
            return;
        }
        behaviour.call(invoker, connection, message);
    }

    private void load(Connection connection, String function, int copies) {
        Invoker invoker = connection.invoker;
        long now = System.nanoTime() / 1_000_000;
        if (copies == 0) {
            int units = invoker.isLoaded(function) ? 1 : 0;
            answer(connection, 200, "X-Units: " + units + "\r\n", "");
            return;
        }
        record.line("order " + invoker.id + " " + function);
        long at = invoker.loadedAt.computeIfAbsent(function, absent -> now + loadMillis);
        after(
                Math.max(0, at - now) + 1,
                () -> answer(connection, 200, "X-Units: 1\r\n", ""));
    }

    /** Writes an answer and takes the next request of the connection. */
    void answer(Connection connection, int status, String headers, String body) {
        connection.write(answerBytes(status, headers, body));
        connection.done();
    }

    static byte[] answerBytes(int status, String headers, String body) {
        String length = status == 204 ? "" : "Content-Length: " + body.length() + "\r\n";
        String head = "HTTP/1.1 " + status + " Status\r\n" + headers + length + "\r\n";
        return (head + body).getBytes(StandardCharsets.ISO_8859_1);
    }
}
