import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A client by the platform's protocol: one request at a time on a connection that stays open. */
final class Client implements AutoCloseable {
    /** An answer, or the lack of one. */
    static final class Answer {
        /** HTTP status; 0 if the connection ended without a whole answer, -1 if time ran out. */
        int status;

        String body = "";
        String error = "";

        boolean served() {
            return status == 200;
        }

        boolean refused() {
            return status == 429 || status == 503;
        }
    }

    private final InetSocketAddress address;
    private Socket socket;
    private InputStream in;
    private long lastUsedMillis;

    Client(InetSocketAddress address) {
        this.address = address;
    }

    static byte[] request(
            String function, String requestClass, String id, long deadlineMs, String extra,
            byte[] body) {
        String head =
                "POST /do/" + function + "/call HTTP/1.1\r\nHost: api.internal\r\nX-Class: "
                        + requestClass + "\r\nX-Correlation-Id: " + id + "\r\nX-Deadline-Ms: "
                        + deadlineMs + "\r\nX-Extras: memory_mb:3000;lanes:4;load_ms:1000\r\n"
                        + extra + "Content-Length: " + body.length + "\r\n\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        return all;
    }

    /**
     * Sends a request and waits for its answer, at most for the given time. A resting connection
     * that has ended is replaced first. A request that crosses the end of a resting connection
     * within 50 ms is sent once more, on a new connection.
     */
    Answer call(byte[] request, long timeoutMillis) {
        long begin = System.currentTimeMillis();
        boolean resting = hasRestingConnection();
        Answer answer = send(request, timeoutMillis);
        long tookMillis = System.currentTimeMillis() - begin;
        if (answer.status == 0 && resting && tookMillis <= 50) {
            return send(request, timeoutMillis - tookMillis);
        }
        return answer;
    }

    private boolean hasRestingConnection() {
        if (socket == null) {
            return false;
        }
        try {
            socket.setSoTimeout(1);
            in.mark(1);
            if (in.read() >= 0) {
                in.reset();
                return true;
            }
        } catch (java.net.SocketTimeoutException e) {
            return true;
        } catch (IOException e) {
            // The connection has ended.
        }
        close();
        return false;
    }

    private Answer send(byte[] request, long timeoutMillis) {
        Answer answer = new Answer();
        try {
            if (socket == null || System.currentTimeMillis() - lastUsedMillis > 3_500) {
                connect();
            }
            socket.setSoTimeout((int) timeoutMillis);
            socket.getOutputStream().write(request);
            read(answer);
            lastUsedMillis = System.currentTimeMillis();
        } catch (java.net.SocketTimeoutException e) {
            answer.status = -1;
            answer.error = e.toString();
            close();
        } catch (IOException e) {
            answer.status = 0;
            answer.error = e.toString();
            close();
        }
        return answer;
    }

    boolean isConnected() {
        return socket != null;
    }

    void connect() throws IOException {
        close();
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(address, 2_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    private String line() throws IOException {
        StringBuilder text = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new IOException("the connection ended without a whole answer");
            }
            if (b != '\r') {
                text.append((char) b);
            }
        }
        return text.toString();
    }

    private void read(Answer answer) throws IOException {
        String statusLine = line();
        int length = -1;
        boolean close = false;
        for (String header = line(); !header.isEmpty(); header = line()) {
            String lower = header.toLowerCase(Locale.ROOT);
            if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(lower.substring(15).trim());
            }
            close |= lower.startsWith("connection:") && lower.contains("close");
        }
        if (length < 0) {
            throw new IOException("an answer without a length");
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the connection ended within an answer");
        }
        answer.status = Integer.parseInt(statusLine.split(" ")[1]);
        answer.body = new String(body, StandardCharsets.ISO_8859_1);
        if (close) {
            close();
        }
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // The connection is gone.
        }
        socket = null;
    }
}
