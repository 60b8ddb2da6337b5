import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.ThreadLocalRandom;

/** A client's connection: one request at a time. */
final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    Client(int port, int timeoutMillis) throws IOException {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 3000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    static String hex() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    void send(String function, String lane, String id, int deadlineMillis, String extras,
            String body)
            throws IOException {
        out.write(Http.bytes("POST /do/" + function + "/call HTTP/1.1\r\nHost: api.internal\r\n"
                + "X-Class: " + lane + "\r\nX-Correlation-Id: " + id + "\r\nX-Deadline-Ms: "
                + deadlineMillis + "\r\nX-Extras: " + extras + "\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n" + body));
        out.flush();
    }

    /** Returns the next answer, null if the connection ended with none. */
    Http receive() throws IOException {
        return Http.read(in);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
