package waytrestle.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import waytrestle.net.Loop;

/** A client whose connections are refused, reset or stalled by a server on plain sockets. */
class HttpClientTest {
    private final Loop loop = new Loop("test", e -> {}).start();
    private final BlockingQueue<String> outcomes = new ArrayBlockingQueue<>(100);
    private ServerSocket server;
    private HttpClient client;

    HttpClientTest() throws Exception {}

    @BeforeEach
    void start() throws Exception {
        server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        client = client(server.getLocalPort(), new ConnectionLimit(2));
    }

    private HttpClient client(int port, ConnectionLimit slots) {
        return new HttpClient(
                        loop,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                        HttpLimits.DEFAULT,
                        100,
                        500_000,
                        5_000_000,
                        new FairByteLimit(Long.MAX_VALUE))
                .withConnectionLimit(slots);
    }

    @AfterEach
    void stop() throws Exception {
        loop.stop();
        loop.join(5_000);
        server.close();
    }

    private void sendRequest(HttpClient sender) {
        loop.execute(
                () ->
                        sender.call(
                                3_000_000,
                                new ResponseHandler() {
                                    @Override
                                    public void responseReceived(HttpMessage response) {
                                        outcomes.add("answered " + response.status());
                                    }

                                    @Override
                                    public void exchangeFailed(
                                            ExchangeFailure failure, String detail) {
                                        outcomes.add(failure.name());
                                    }
                                },
                                ByteBuffer.wrap(
                                        "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
                                                .getBytes(StandardCharsets.US_ASCII))));
    }

    private String awaitOutcome() throws Exception {
        return outcomes.poll(10, TimeUnit.SECONDS);
    }

    private static void readRequestHead(Socket socket) throws Exception {
        byte[] head = new byte[1_000];
        int length = 0;
        while (!new String(head, 0, length, StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
            length += socket.getInputStream().read(head, length, head.length - length);
        }
    }

    private void respondOk(Socket socket) throws Exception {
        readRequestHead(socket);
        socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes());
    }

    @Test
    void requestAfterResetOfIdleConnectionSucceedsOnNewConnection() throws Exception {
        sendRequest(client);
        Socket first = server.accept();
        respondOk(first);
        assertEquals("answered 200", awaitOutcome());
        first.setSoLinger(true, 0);
        first.close();
        sendRequest(client);
        Socket second = server.accept();
        respondOk(second);
        assertEquals("answered 200", awaitOutcome());
    }

    @Test
    void requestResetAfterItWasReadFailsAndIsNotResent() throws Exception {
        sendRequest(client);
        Socket first = server.accept();
        readRequestHead(first);
        first.setSoLinger(true, 0);
        first.close();
        assertEquals("AFTER_FIRST_BYTE", awaitOutcome());
        server.setSoTimeout(200);
        boolean opensAnotherConnection = true;
        try {
            server.accept();
        } catch (SocketTimeoutException none) {
            opensAnotherConnection = false;
        }
        assertTrue(!opensAnotherConnection, "resent a request that the server may have processed");
    }

    @Test
    void refusedConnectionFailsWithNoConnection() throws Exception {
        server.close();
        sendRequest(client);
        assertEquals("NO_CONNECTION", awaitOutcome());
    }

    @Test
    void sharedConnectionLimitFailsRequestWhileInUseAndClosesIdleConnectionForAnotherClient()
            throws Exception {
        ConnectionLimit slots = new ConnectionLimit(1);
        HttpClient one = client(server.getLocalPort(), slots);
        HttpClient two = client(server.getLocalPort(), slots);
        sendRequest(one);
        Socket first = server.accept();
        sendRequest(two);
        assertEquals("NO_ROOM", awaitOutcome(), "limit of 1 connection is reached");
        respondOk(first);
        assertEquals("answered 200", awaitOutcome());
        sendRequest(two);
        respondOk(server.accept());
        assertEquals("answered 200", awaitOutcome());
        assertEquals(
                -1,
                first.getInputStream().read(),
                "idle connection of the other client is still open");
    }

    @Test
    void responseStalledBeyondLimitFailsAsMalformedAndResetsConnection() throws Exception {
        client.withResponseStallMicros(100_000);
        sendRequest(client);
        Socket first = server.accept();
        readRequestHead(first);
        for (int i = 0; i < 6; i++) { // 6 bytes every 30 ms, below the stall limit
            first.getOutputStream()
                    .write(
                            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
                                    .substring(6 * i, 6 * i + 6)
                                    .getBytes());
            Thread.sleep(30);
        }
        assertEquals(0, outcomes.size(), "failed while bytes still arrived");
        assertEquals("MALFORMED", awaitOutcome());
        Assertions.assertThrows(
                SocketException.class,
                () -> first.getInputStream().read(),
                "connection was not reset");
    }

    @Test
    void lateDuplicateResponseIsCountedAsStrayAndNotGivenToNextRequest() throws Exception {
        client.withReuseDelayMicros(200_000);
        BlockingQueue<String> bodiesOrFailures = new ArrayBlockingQueue<>(10);
        // The second request follows right after the response to the first.
        loop.execute(
                () ->
                        sendAndRecord(
                                () -> null,
                                bodiesOrFailures,
                                () -> sendAndRecord(() -> null, bodiesOrFailures, () -> {})));
        Socket first = server.accept();
        readRequestHead(first);
        String responseHead = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n";
        first.getOutputStream().write((responseHead + "one").getBytes());
        assertEquals("one", bodiesOrFailures.poll(10, TimeUnit.SECONDS));
        server.setSoTimeout(5_000);
        Socket second = server.accept(); // accepted before the duplicate response is sent
        readRequestHead(second);
        first.getOutputStream().write((responseHead + "one").getBytes());
        assertEquals(
                -1,
                first.getInputStream().read(),
                "connection with a stray response is still open");
        second.getOutputStream().write((responseHead + "two").getBytes());
        assertEquals("two", bodiesOrFailures.poll(10, TimeUnit.SECONDS));
        assertEquals(1, client.strayResponses());
    }

    @Test
    void connectionIsReusedAfterReuseDelay() throws Exception {
        client.withReuseDelayMicros(1);
        sendRequest(client);
        Socket connection = server.accept();
        respondOk(connection);
        assertEquals("answered 200", awaitOutcome());
        sendRequest(client);
        respondOk(connection);
        assertEquals("answered 200", awaitOutcome());
    }

    @Test
    void requestWithdrawnBeforeItsFirstByteIsNotSent() throws Exception {
        BlockingQueue<String> bodiesOrFailures = new ArrayBlockingQueue<>(10);
        loop.execute(
                () -> sendAndRecord(() -> ExchangeFailure.NO_ROOM, bodiesOrFailures, () -> {}));
        assertEquals("NO_ROOM", bodiesOrFailures.poll(10, TimeUnit.SECONDS));
        AtomicInteger checks = new AtomicInteger();
        loop.execute(
                () ->
                        sendAndRecord(
                                () ->
                                        checks.getAndIncrement() == 0
                                                ? null
                                                : ExchangeFailure.CANCELLED,
                                bodiesOrFailures,
                                () -> {}));
        assertEquals("CANCELLED", bodiesOrFailures.poll(10, TimeUnit.SECONDS));
        try (Socket socket = server.accept()) {
            assertEquals(0, countReceivedBytes(socket), "bytes sent of the withdrawn request");
        }
    }

    private static int countReceivedBytes(Socket socket) throws Exception {
        int bytes = 0;
        try {
            while (socket.getInputStream().read() >= 0) {
                bytes++;
            }
        } catch (SocketException reset) {
            // bytes received before the reset count too
        }
        return bytes;
    }

    /** Sends a request and records its response body, or the name of its failure. */
    private void sendAndRecord(
            Withdrawal withdrawal, BlockingQueue<String> bodiesOrFailures, Runnable afterResponse) {
        client.call(
                3_000_000,
                withdrawal,
                new ResponseHandler() {
                    @Override
                    public void responseReceived(HttpMessage response) {
                        bodiesOrFailures.add(
                                new String(response.body(), StandardCharsets.US_ASCII));
                        afterResponse.run();
                    }

                    @Override
                    public void exchangeFailed(ExchangeFailure failure, String detail) {
                        bodiesOrFailures.add(failure.name());
                    }
                },
                ByteBuffer.wrap(
                        "GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII)));
    }
}
