package waytrestle.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import waytrestle.net.Loop;

/**
 * Bytes on a connection that no request has asked for. Guards against a request that gets the
 * response to another one: a part of a stray message was kept, and the response to the next request
 * on the connection was read as its rest.
 */
class StrayBytesTest {
    private static final int READ_TIMEOUT_MILLIS = 5_000;
    private static final int MAX_CONNECTIONS = 200;
    private static final long REUSE_DELAY_MICROS = 20_000;

    /** Bytes that are sent later may cross the next request, where nothing tells them. */
    private static final long MAX_STRAY_NANOS = 15_000_000;

    private static final String OTHER = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nanother's so";

    private final Loop loop = new Loop("test", Throwable::printStackTrace).start();
    private final BlockingQueue<String> outcomes = new ArrayBlockingQueue<>(10_000);
    private final AtomicInteger reports = new AtomicInteger();
    private ServerSocket server;
    private HttpClient client;

    StrayBytesTest() throws Exception {}

    @BeforeEach
    void start() throws Exception {
        server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        server.setSoTimeout(READ_TIMEOUT_MILLIS);
        client =
                new HttpClient(
                                loop,
                                new InetSocketAddress(
                                        InetAddress.getLoopbackAddress(), server.getLocalPort()),
                                HttpLimits.DEFAULT,
                                MAX_CONNECTIONS,
                                500_000,
                                5_000_000,
                                new FairByteLimit(Long.MAX_VALUE))
                        .withResponseStallMicros(250_000)
                        .withReuseDelayMicros(REUSE_DELAY_MICROS)
                        .withStrayBytesListener((peer, bytes, idle) -> reports.incrementAndGet());
    }

    @AfterEach
    void stop() throws Exception {
        loop.stop();
        loop.join(5_000);
        server.close();
    }

    private void send(String body, Consumer<String> onOutcome) {
        loop.execute(() -> call(body, onOutcome));
    }

    /** Calls the server; on the loop. */
    private void call(String body, Consumer<String> onOutcome) {
        String request = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: ";
        byte[] message =
                (request + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII);
        ResponseHandler handler =
                new ResponseHandler() {
                    @Override
                    public void responseReceived(HttpMessage response) {
                        String received = new String(response.body(), StandardCharsets.US_ASCII);
                        onOutcome.accept(response.status() + " " + received);
                    }

                    @Override
                    public void exchangeFailed(ExchangeFailure failure, String detail) {
                        onOutcome.accept(failure.name());
                    }
                };
        client.call(3_000_000, handler, ByteBuffer.wrap(message));
    }

    private String outcome() throws InterruptedException {
        return outcomes.poll(10, TimeUnit.SECONDS);
    }

    /** Reads one request and returns its body; null at the end of the connection. */
    private static String readRequest(Socket socket) throws IOException {
        StringBuilder text = new StringBuilder();
        while (true) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                return null;
            }
            text.append((char) next);
            int headEnd = text.indexOf("\r\n\r\n");
            if (headEnd >= 0) {
                int length = Integer.parseInt(text.substring(text.lastIndexOf(": ") + 2, headEnd));
                return new String(
                        socket.getInputStream().readNBytes(length), StandardCharsets.US_ASCII);
            }
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String response(int status, String body) {
        return "HTTP/1.1 " + status + " OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static boolean isClosed(Socket socket) throws IOException {
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketException reset) {
            return true;
        }
    }

    /** Lets stray bytes follow a response, and expects the next request on another connection. */
    private void assertNextRequestIsUnaffected(int status, String stray) throws Exception {
        send("one", outcomes::add);
        try (Socket first = server.accept()) {
            assertEquals("one", readRequest(first));
            write(first, response(status, "for one"));
            assertEquals(status + " for one", outcome());
            write(first, stray);
            Thread.sleep(2 * REUSE_DELAY_MICROS / 1_000);
            send("two", outcomes::add);
            try (Socket second = server.accept()) {
                assertTrue(isClosed(first), "the connection is still open after: " + stray);
                assertEquals("two", readRequest(second));
                write(second, response(200, "for two"));
                assertEquals("200 for two", outcome());
            }
        }
        client.closeIdle();
    }

    @Test
    void strayBytesWhileIdleEndTheConnection() throws Exception {
        String copy = response(200, "for one");
        String[] strays = {
            copy.substring(0, copy.length() - 2), copy, "H", "HTTP/1.1 100 Continue\r\n\r\n", "\0"
        };
        for (String stray : strays) {
            assertNextRequestIsUnaffected(200, stray);
        }
        assertEquals(strays.length, reports.get());
    }

    @Test
    void strayBytesBehindANotLoadedResponseEndTheConnection() throws Exception {
        String miss = response(404, "for one");
        assertNextRequestIsUnaffected(404, miss.substring(0, miss.length() - 2));
    }

    /** Bytes that come with the connection were sent before the request was. */
    @Test
    void bytesThatArriveBeforeTheRequestIsWrittenSendItToAnotherConnection() throws Exception {
        // The loop is kept busy, by the task that connects, until the bytes have arrived.
        Semaphore written = new Semaphore(0);
        loop.execute(
                () -> {
                    call("one", outcomes::add);
                    written.acquireUninterruptibly();
                });
        Socket first = server.accept();
        write(first, OTHER);
        Thread.sleep(50);
        written.release();
        Socket second = server.accept();
        assertEquals(null, readRequest(first), "the request left on the first connection");
        assertEquals("one", readRequest(second));
        write(second, response(200, "for one"));
        assertEquals("200 for one", outcome());
        first.close();
        second.close();
    }

    /** A server that sends stray bytes at random moments while thousands of requests run. */
    @Test
    void everyResponseIsTheOneThatWasMadeForItsRequest() throws Exception {
        int requests = 3_000;
        Thread acceptor = new Thread(() -> acceptStraying(new SplittableRandom(53)), "acceptor");
        acceptor.setDaemon(true);
        acceptor.start();
        Semaphore inFlight = new Semaphore(16);
        for (int i = 0; i < requests; i++) {
            inFlight.acquire();
            Thread.sleep(1); // connections rest after each response
            String body = "request " + i;
            send(
                    body,
                    outcome -> {
                        outcomes.add(outcome.equals("200 for " + body) ? "own" : outcome);
                        inFlight.release();
                    });
        }
        inFlight.acquire(16);
        int own = 0;
        for (String outcome : outcomes) {
            boolean foreign = outcome.startsWith("200 ");
            assertTrue(!foreign, "a request got: " + outcome);
            own += outcome.equals("own") ? 1 : 0;
        }
        assertEquals(requests, outcomes.size());
        assertTrue(own > 0.9 * requests, own + " of " + requests + " with their own response");
        assertTrue(reports.get() > 100, "too few stray bytes to tell: " + reports);
    }

    private void acceptStraying(SplittableRandom draw) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                SplittableRandom own = draw.split();
                Thread thread = new Thread(() -> serveStraying(socket, own), "straying");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                // the test has ended
            }
        }
    }

    /** Answers requests; one response in ten is followed by a part of a copy within 10 ms. */
    private static void serveStraying(Socket socket, SplittableRandom draw) {
        try (socket) {
            socket.setTcpNoDelay(true); // else the kernel holds stray bytes back until the next ACK
            for (String body = readRequest(socket); body != null; body = readRequest(socket)) {
                String response = response(200, "for " + body);
                write(socket, response);
                long respondedAt = System.nanoTime();
                if (draw.nextInt(10) == 0) {
                    Thread.sleep(draw.nextInt(10));
                    if (System.nanoTime() - respondedAt > MAX_STRAY_NANOS) {
                        continue; // the next request may be on its way
                    }
                    write(socket, response.substring(0, 1 + draw.nextInt(response.length())));
                }
            }
        } catch (IOException | InterruptedException e) {
            // the client has closed the connection
        }
    }
}
