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

/** Requests over connections that break in each phase, against plain sockets. */
class HttpClientTest {
    private final Loop loop = new Loop("test", e -> {}).start();
    private final BlockingQueue<String> ends = new ArrayBlockingQueue<>(100);
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

    private void call(HttpClient by) {
        loop.execute(
                () ->
                        by.call(
                                3_000_000,
                                new ResponseHandler() {
                                    @Override
                                    public void responseReceived(HttpMessage m) {
                                        ends.add("answered " + m.status());
                                    }

                                    @Override
                                    public void exchangeFailed(ExchangeFailure how, String why) {
                                        ends.add(how.name());
                                    }
                                },
                                ByteBuffer.wrap(
                                        "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
                                                .getBytes(StandardCharsets.US_ASCII))));
    }

    private String end() throws Exception {
        return ends.poll(10, TimeUnit.SECONDS);
    }

    private static void read(Socket s) throws Exception {
        byte[] some = new byte[1_000];
        int n = 0;
        while (!new String(some, 0, n, StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
            n += s.getInputStream().read(some, n, some.length - n);
        }
    }

    private void answer(Socket s) throws Exception {
        read(s);
        s.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes());
    }

    @Test
    void aKeptConnectionThatIsResetCostsItsNextRequestNothing() throws Exception {
        call(client);
        Socket first = server.accept();
        answer(first);
        assertEquals("answered 200", end());
        first.setSoLinger(true, 0);
        first.close();
        call(client);
        Socket second = server.accept();
        answer(second);
        assertEquals("answered 200", end());
    }

    @Test
    void aRequestThatWasReadIsNeverWrittenAgain() throws Exception {
        call(client);
        Socket first = server.accept();
        read(first);
        first.setSoLinger(true, 0);
        first.close();
        assertEquals("AFTER_FIRST_BYTE", end());
        server.setSoTimeout(200);
        boolean another = true;
        try {
            server.accept();
        } catch (SocketTimeoutException none) {
            another = false;
        }
        assertTrue(!another, "it may have run");
    }

    @Test
    void aRefusedConnectionIsReportedAsOne() throws Exception {
        server.close();
        call(client);
        assertEquals("NO_CONNECTION", end());
    }

    @Test
    void connectionsOfSeveralClientsShareOneBoundAndIdleOnesGiveWay() throws Exception {
        ConnectionLimit slots = new ConnectionLimit(1);
        HttpClient one = client(server.getLocalPort(), slots);
        HttpClient two = client(server.getLocalPort(), slots);
        call(one);
        Socket first = server.accept();
        call(two);
        assertEquals("NO_ROOM", end(), "the only connection is in use");
        answer(first);
        assertEquals("answered 200", end());
        call(two);
        answer(server.accept());
        assertEquals("answered 200", end());
        assertEquals(-1, first.getInputStream().read(), "the idle one gave way");
    }

    @Test
    void anAnswerThatStopsShortIsNotWaitedForWhereThatIsAsked() throws Exception {
        client.withResponseStallMicros(100_000);
        call(client);
        Socket first = server.accept();
        read(first);
        for (int i = 0; i < 6; i++) { // slow, yet it moves
            first.getOutputStream()
                    .write(
                            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
                                    .substring(6 * i, 6 * i + 6)
                                    .getBytes());
            Thread.sleep(30);
        }
        assertEquals(0, ends.size(), "still on its way");
        assertEquals("MALFORMED", end());
        Assertions.assertThrows(
                SocketException.class,
                () -> first.getInputStream().read(),
                "its connection is of no more use");
    }

    @Test
    void aSecondAnswerThatComesLateIsNotTakenForThatToTheNextRequest() throws Exception {
        client.withReuseDelayMicros(200_000);
        BlockingQueue<String> bodies = new ArrayBlockingQueue<>(10);
        loop.execute(
                () ->
                        ask(
                                () -> null,
                                bodies,
                                () -> ask(() -> null, bodies, () -> {}))); // the next one at once
        Socket first = server.accept();
        read(first);
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n";
        first.getOutputStream().write((answer + "one").getBytes());
        assertEquals("one", bodies.poll(10, TimeUnit.SECONDS));
        server.setSoTimeout(5_000);
        Socket second = server.accept(); // in hand before the second answer comes
        read(second);
        first.getOutputStream().write((answer + "one").getBytes());
        assertEquals(
                -1,
                first.getInputStream().read(),
                "a connection that says more than it was asked is given up");
        second.getOutputStream().write((answer + "two").getBytes());
        assertEquals("two", bodies.poll(10, TimeUnit.SECONDS));
        assertEquals(1, client.strayResponses());
    }

    @Test
    void aRestedConnectionIsUsedAgain() throws Exception {
        client.withReuseDelayMicros(1);
        call(client);
        Socket only = server.accept();
        answer(only);
        assertEquals("answered 200", end());
        call(client);
        answer(only);
        assertEquals("answered 200", end());
    }

    @Test
    void whatIsWithdrawnBeforeItIsWrittenNeverLeaves() throws Exception {
        BlockingQueue<String> bodies = new ArrayBlockingQueue<>(10);
        loop.execute(() -> ask(() -> ExchangeFailure.NO_ROOM, bodies, () -> {}));
        assertEquals("NO_ROOM", bodies.poll(10, TimeUnit.SECONDS));
        AtomicInteger asked = new AtomicInteger();
        loop.execute(
                () ->
                        ask(
                                () ->
                                        asked.getAndIncrement() == 0
                                                ? null
                                                : ExchangeFailure.CANCELLED,
                                bodies,
                                () -> {}));
        assertEquals("CANCELLED", bodies.poll(10, TimeUnit.SECONDS));
        try (Socket s = server.accept()) {
            assertEquals(0, received(s), "the connection came up, and nothing was sent");
        }
    }

    private static int received(Socket s) throws Exception {
        int bytes = 0;
        try {
            while (s.getInputStream().read() >= 0) {
                bytes++;
            }
        } catch (SocketException reset) {
            // what came before it counts
        }
        return bytes;
    }

    private void ask(Withdrawal withdrawal, BlockingQueue<String> bodies, Runnable then) {
        client.call(
                3_000_000,
                withdrawal,
                new ResponseHandler() {
                    @Override
                    public void responseReceived(HttpMessage m) {
                        bodies.add(new String(m.body(), StandardCharsets.US_ASCII));
                        then.run();
                    }

                    @Override
                    public void exchangeFailed(ExchangeFailure how, String why) {
                        bodies.add(how.name());
                    }
                },
                ByteBuffer.wrap(
                        "GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII)));
    }
}
