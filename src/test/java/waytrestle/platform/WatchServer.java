package waytrestle.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A watch server on loopback that records the watch requests it gets and sends the lines that a
 * test gives it. Its methods may be called from any thread.
 */
final class WatchServer implements AutoCloseable {
    private static final int BACKLOG = 16;

    private final ServerSocket listener =
            new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final List<String> requests = Collections.synchronizedList(new ArrayList<>());
    private volatile Socket lastConnection;
    private volatile boolean answersRequests = true;

    WatchServer() throws IOException {
        Thread acceptor = new Thread(this::acceptConnections, "watch-server");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    /** All watch requests so far, as in {@code watch 1}. */
    List<String> requests() {
        return requests;
    }

    /** The connection of the last watch request, null before the first. */
    Socket lastConnection() {
        return lastConnection;
    }

    /** From now on watch requests get no line until the test sends one. */
    void leaveRequestsUnanswered() {
        answersRequests = false;
    }

    /** Waits for a watch request and sends a line on its connection. */
    void send(String line) throws Exception {
        PlatformFixture.awaitCondition(
                () -> lastConnection != null, "no request came to the watch server");
        writeLine(lastConnection, line);
    }

    private void acceptConnections() {
        try {
            while (true) {
                acceptConnection();
            }
        } catch (IOException e) {
            // the server was closed by its test
        }
    }

    private void acceptConnection() throws IOException {
        Socket connection = listener.accept();
        String request = readLine(connection);
        if (answersRequests) {
            String revision = request.substring(request.indexOf(" ") + 1);
            writeLine(connection, "{\"rev\":" + revision + "}");
        }
        lastConnection = connection;
        requests.add(request);
    }

    private static String readLine(Socket connection) throws IOException {
        StringBuilder line = new StringBuilder();
        InputStream in = connection.getInputStream();
        for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
            line.append((char) next);
        }
        return line.toString();
    }

    private static void writeLine(Socket connection, String line) throws IOException {
        connection.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
