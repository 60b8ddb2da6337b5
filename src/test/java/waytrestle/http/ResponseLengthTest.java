package waytrestle.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import waytrestle.net.Loop;

/**
 * Responses with more bytes behind them than their length states. Guards against a part of a body
 * that is passed on as the whole one: the caller cannot tell.
 */
class ResponseLengthTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n";
    private static final String GOOD = HEAD + "sixsix";
    private static final String CUT_SHORT = HEAD + "sixsix and the rest of the body";
    private static final String CHUNKED =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nsixsix\r\n0\r\n\r\n";
    private static final long READ_PAUSE_MILLIS = 30;

    /** Bodies are limited to this here, and so is what one read takes. */
    private static final int READ_BYTES = GOOD.length();

    private final Loop loop = new Loop("test", Throwable::printStackTrace).start();
    private final BlockingQueue<String> outcomes = new ArrayBlockingQueue<>(10);
    private ServerSocket server;

    ResponseLengthTest() throws Exception {}

    @BeforeEach
    void listen() throws Exception {
        server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws Exception {
        loop.stop();
        loop.join(5_000);
        server.close();
    }

    /** Returns the body of the response that is written in these parts, or its failure. */
    private String outcomeOf(int bodyBytes, String... parts) throws Exception {
        HttpLimits defaults = HttpLimits.DEFAULT;
        HttpLimits limits =
                new HttpLimits(
                        defaults.startLineBytes(),
                        defaults.headerCount(),
                        defaults.headerBytes(),
                        bodyBytes,
                        0,
                        0,
                        0,
                        0);
        HttpClient client =
                new HttpClient(
                                loop,
                                new InetSocketAddress(
                                        InetAddress.getLoopbackAddress(), server.getLocalPort()),
                                limits,
                                1,
                                500_000,
                                5_000_000,
                                new FairByteLimit(Long.MAX_VALUE))
                        .withResponseStallMicros(250_000);
        loop.execute(() -> client.call(3_000_000, new Recorder(), request()));
        try (Socket socket = server.accept()) {
            socket.getInputStream().read(new byte[1_000]);
            for (String part : parts) {
                socket.getOutputStream().write(part.getBytes(StandardCharsets.ISO_8859_1));
                Thread.sleep(READ_PAUSE_MILLIS);
            }
            return outcomes.poll(10, TimeUnit.SECONDS);
        }
    }

    private String outcomeOf(String... parts) throws Exception {
        return outcomeOf(HttpLimits.DEFAULT.bodyBytes(), parts);
    }

    private static ByteBuffer request() {
        return ByteBuffer.wrap(
                "GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    private final class Recorder implements ResponseHandler {
        @Override
        public void responseReceived(HttpMessage response) {
            outcomes.add(new String(response.body(), StandardCharsets.US_ASCII));
        }

        @Override
        public void exchangeFailed(ExchangeFailure failure, String detail) {
            outcomes.add(failure.name());
        }
    }

    @Test
    void lengthShorterThanTheBodyFailsInOneRead() throws Exception {
        assertEquals("MALFORMED", outcomeOf(CUT_SHORT));
        assertEquals("MALFORMED", outcomeOf("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nbody"));
    }

    @Test
    void lengthShorterThanTheBodyFailsWhereHeadAndBodyComeApart() throws Exception {
        assertEquals("MALFORMED", outcomeOf(HEAD, "sixsix and the rest of the body"));
        assertEquals("MALFORMED", outcomeOf(HEAD + "six", "six and the rest of the body"));
    }

    /** A read ends right where the stated length does; the kernel holds the rest. */
    @Test
    void lengthShorterThanTheBodyFailsWhereTheRestIsStillUnread() throws Exception {
        assertEquals("MALFORMED", outcomeOf(READ_BYTES, CUT_SHORT));
    }

    @Test
    void secondCopyBehindAResponseLeavesItGood() throws Exception {
        assertEquals("sixsix", outcomeOf(GOOD + GOOD));
        assertEquals("sixsix", outcomeOf(GOOD + GOOD + GOOD), "two more copies");
        assertEquals("sixsix", outcomeOf(GOOD + GOOD.substring(0, GOOD.length() - 2)), "a part");
        assertEquals("sixsix", outcomeOf(HEAD, "sixsix" + GOOD), "head and body apart");
        assertEquals("sixsix", outcomeOf(READ_BYTES, GOOD + GOOD), "the copy still unread");
        assertEquals("sixsix", outcomeOf("HTTP/1.1 100 Continue\r\n\r\n" + GOOD + GOOD));
    }

    /** Its head tells another response from the rest of a body. */
    @Test
    void anotherResponseBehindAResponseLeavesItGood() throws Exception {
        String another = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nanother";
        assertEquals("sixsix", outcomeOf(GOOD + another));
        assertEquals("sixsix", outcomeOf(GOOD + another.substring(0, 25)), "a part of its head");
        assertEquals("sixsix", outcomeOf(READ_BYTES, GOOD + another), "still unread");
    }

    /** What arrives once the response has been passed on cannot change it any more. */
    @Test
    void bytesThatArriveLaterLeaveAResponseGood() throws Exception {
        assertEquals("sixsix", outcomeOf(GOOD, "noise"));
    }

    /** Noise cannot be told from the rest of a body, nor can too small a part of a copy. */
    @Test
    void otherBytesBehindAResponseFailIt() throws Exception {
        assertEquals("MALFORMED", outcomeOf(GOOD + "\0\1\2 noise"));
        assertEquals("MALFORMED", outcomeOf(GOOD + "HTTP/1.1 404 Not Found\r\n\r\n"));
        assertEquals("MALFORMED", outcomeOf(GOOD + "HTTP/1.1 2"));
        assertEquals("MALFORMED", outcomeOf(GOOD + "HTTP/1.1 200 OK\r\nno header\r\n\r\n"));
        assertEquals("MALFORMED", outcomeOf("HTTP/1.1 100 Continue\r\n\r\n" + CUT_SHORT));
    }

    /** Chunks mark their end themselves: what follows is no part of the body. */
    @Test
    void bytesBehindABodyInChunksLeaveTheResponseGood() throws Exception {
        assertEquals("sixsix", outcomeOf(CHUNKED + "\0\1\2 noise"));
        assertEquals("sixsix", outcomeOf(CHUNKED + CHUNKED));
    }
}
