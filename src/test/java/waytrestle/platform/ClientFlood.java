package waytrestle.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

/**
 * Clients that send at full speed what a controller refuses, and read whatever they are sent. Each
 * has one connection at a time, with one request at a time on it.
 */
final class ClientFlood {
    /** What a client sends next. */
    enum Kind {
        /** A function that nobody has asked for before, with little time left. */
        NEW_FUNCTION,
        /** The same unknown function, with the longest deadline that is read. */
        LONG_DEADLINE,
        /** An unknown function with the largest body that is read. */
        LARGE_BODY,
        /** A head that cannot be read, after whose response the connection is closed. */
        MALFORMED_HEAD,
        /** A request for a function that is served, whose client does not wait for the response. */
        DISCONNECT
    }

    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final int LARGEST_BODY = 16 * 1024;
    private static final int SHORT_DEADLINE_MILLIS = 30;
    private static final int CLASS_DEADLINE_MILLIS = 3_000;
    private static final int LONGEST_DEADLINE_MILLIS = 30_000;
    private static final int LONG_LOAD_MILLIS = 60_000;
    private static final String UNKNOWN_FUNCTION = "00000000000bad01";

    private final int port;
    private final BooleanSupplier goesOn;
    private final AtomicLong remaining;
    private final AtomicLong nextId = new AtomicLong(1);

    /**
     * Prepares a flood.
     *
     * @param goesOn false once the flood is to end early, such as after a crash
     * @param requests number of requests after which the flood ends
     */
    ClientFlood(int port, BooleanSupplier goesOn, long requests) {
        this.port = port;
        this.goesOn = goesOn;
        this.remaining = new AtomicLong(requests);
    }

    /**
     * Sends all requests, whose kinds are drawn from the seed, and returns once they have ended.
     */
    void run(int clients, long seed, Kind... kinds) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        SplittableRandom seeds = new SplittableRandom(seed);
        for (int i = 0; i < clients; i++) {
            SplittableRandom random = seeds.split();
            Thread client = new Thread(() -> send(random, kinds), "flood-" + i);
            client.setDaemon(true);
            client.start();
            threads.add(client);
        }
        for (Thread client : threads) {
            client.join();
        }
    }

    private void send(SplittableRandom random, Kind... kinds) {
        while (goesOn.getAsBoolean() && remaining.get() > 0) {
            try (Socket connection = new Socket(InetAddress.getLoopbackAddress(), port)) {
                connection.setSoTimeout(READ_TIMEOUT_MILLIS);
                connection.setTcpNoDelay(true);
                sendOn(connection, random, kinds);
            } catch (IOException e) {
                Thread.yield(); // such a client connects again
            }
        }
    }

    private void sendOn(Socket connection, SplittableRandom random, Kind... kinds)
            throws IOException {
        InputStream in = new BufferedInputStream(connection.getInputStream());
        boolean open = true;
        while (open && goesOn.getAsBoolean() && remaining.decrementAndGet() >= 0) {
            Kind kind = kinds[random.nextInt(kinds.length)];
            byte[] message = message(kind).getBytes(StandardCharsets.ISO_8859_1);
            connection.getOutputStream().write(message);
            open = kind != Kind.DISCONNECT && readResponse(in) && kind != Kind.MALFORMED_HEAD;
        }
    }

    private String message(Kind kind) {
        return switch (kind) {
            case NEW_FUNCTION -> request(nextId(), SHORT_DEADLINE_MILLIS, "x");
            case LONG_DEADLINE -> request(UNKNOWN_FUNCTION, LONGEST_DEADLINE_MILLIS, "x");
            case LARGE_BODY ->
                    request(UNKNOWN_FUNCTION, CLASS_DEADLINE_MILLIS, "x".repeat(LARGEST_BODY));
            case MALFORMED_HEAD -> "POST /do/ HTTP/1.1\r\nno header\r\n\r\n";
            case DISCONNECT -> request(PlatformFixture.FUNCTION, LONGEST_DEADLINE_MILLIS, "x");
        };
    }

    private String request(String function, int deadlineMillis, String body) {
        return "POST /do/"
                + function
                + "/call HTTP/1.1\r\nHost: api\r\nX-Class: read\r\nX-Correlation-Id: "
                + nextId()
                + "\r\nX-Deadline-Ms: "
                + deadlineMillis
                + "\r\nX-Extras: load_ms:"
                + LONG_LOAD_MILLIS
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private String nextId() {
        return "%016x".formatted(nextId.getAndIncrement());
    }

    /** Reads one response; returns whether it was complete. */
    private static boolean readResponse(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return false;
            }
            head.append((char) next);
        }
        int length = Integer.parseInt(PlatformFixture.header(head.toString(), "Content-Length"));
        return in.readNBytes(length).length == length;
    }
}
