package waytrestle.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * An invoker whose responses state half the length of their body. Guards against a request that is
 * served with a part of what the invoker made for it.
 */
class ResponseCutShortTest {
    private static final String BODY = "free 9:00 9:30 11:00 11:30";

    /** An invoker on plain sockets, one request a connection, that cuts its first responses. */
    private static final class CuttingInvoker implements AutoCloseable {
        private final ServerSocket listener =
                new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        private final AtomicInteger runs = new AtomicInteger();
        private final int cutResponses;

        private CuttingInvoker(int cutResponses) throws IOException {
            this.cutResponses = cutResponses;
            Thread thread = new Thread(this::serve, "cutting-invoker");
            thread.setDaemon(true);
            thread.start();
        }

        private void serve() {
            while (!listener.isClosed()) {
                try (Socket connection = listener.accept()) {
                    connection.getOutputStream().write(response(readHead(connection)));
                    connection.shutdownOutput();
                    connection.getInputStream().readAllBytes();
                } catch (IOException e) {
                    // reset by the controller, or the test has ended
                }
            }
        }

        private byte[] response(String head) {
            boolean call = head.contains("X-Name:") || head.contains("x-name:");
            boolean cut = call && runs.incrementAndGet() <= cutResponses;
            int length = cut ? BODY.length() / 2 : BODY.length();
            return ("HTTP/1.1 200 OK\r\nX-Units: 1\r\nContent-Length: "
                            + length
                            + "\r\n\r\n"
                            + BODY)
                    .getBytes(StandardCharsets.ISO_8859_1);
        }

        private static String readHead(Socket connection) throws IOException {
            StringBuilder head = new StringBuilder();
            InputStream in = connection.getInputStream();
            for (int next = in.read(); next >= 0; next = in.read()) {
                head.append((char) next);
                if (head.indexOf("\r\n\r\n") >= 0) {
                    break;
                }
            }
            return head.toString();
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    private static String send(CuttingInvoker invoker, String requestClass) throws Exception {
        try (PlatformFixture fixture = new PlatformFixture()) {
            String scripted = "127.0.0.1:" + fixture.invoker.port() + "\"";
            String cutting = "127.0.0.1:" + invoker.listener.getLocalPort() + "\"";
            fixture.setConfigurationEdit(text -> text.replace(scripted, cutting));
            fixture.start();
            return fixture.send(
                    PlatformFixture.request(
                            requestClass, PlatformFixture.correlationId(1), "", "salon"));
        }
    }

    @Test
    void anIdempotentRequestIsSentAgainAndServedWhole() throws Exception {
        try (CuttingInvoker invoker = new CuttingInvoker(1)) {
            String response = send(invoker, "read");
            assertEquals(200, PlatformFixture.status(response));
            assertTrue(response.endsWith("\r\n\r\n" + BODY), response);
            assertEquals(2, invoker.runs.get());
        }
    }

    @Test
    void aNonIdempotentRequestFailsAndIsNotSentAgain() throws Exception {
        try (CuttingInvoker invoker = new CuttingInvoker(1)) {
            String response = send(invoker, "book");
            int status = PlatformFixture.status(response);
            assertFalse(status == 200 || status == 429 || status == 503, response);
            assertEquals(1, invoker.runs.get());
        }
    }
}
