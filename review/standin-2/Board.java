import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A notice board by the platform's protocol: numbered events, and each second the last number. */
final class Board {
    private final ServerSocket server;
    private final List<String> events = new ArrayList<>();
    private final Record record;
    private volatile boolean open = true;

    Board(Record record) throws IOException {
        this.record = record;
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
        Thread thread = new Thread(this::accept, "board");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    static String host(String id, String dial, String zone, int cell, String health, long bornMs) {
        return "{\"host\":\"" + id + "\",\"dial\":\"" + dial + "\",\"site\":\"" + zone
                + "\",\"class\":\"std-4core\",\"block\":" + cell + ",\"health\":\"" + health
                + "\",\"share\":4,\"born_ms\":" + bornMs + "}";
    }

    static String event(long rev, boolean whole, String hosts) {
        return "{\"rev\":" + rev + ",\"pool\":{\"seq\":" + rev + ",\"whole\":" + whole
                + ",\"hosts\":[" + hosts + "]}}";
    }

    /** Adds the next event; the first one holds the whole list. */
    synchronized void publish(String hosts) {
        long rev = events.size() + 1;
        events.add(event(rev, rev == 1, hosts));
        record.line("board event " + rev + " " + (hosts.length() > 300 ? "..." : hosts));
        notifyAll();
    }

    /** The events so far, as the configuration holds them under {@code known}. */
    synchronized String known() {
        return "{\"rev\":" + events.size() + ",\"notices\":[" + String.join(",", events) + "]}";
    }

    void close() {
        open = false;
        try {
            server.close();
        } catch (IOException e) {
            // Nothing uses it any more.
        }
    }

    private void accept() {
        while (open) {
            try {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket), "board-connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = socket.getInputStream();
            StringBuilder line = new StringBuilder();
            for (int b = in.read(); b != '\n'; b = in.read()) {
                if (b < 0) {
                    return;
                }
                line.append((char) b);
            }
            int next = Integer.parseInt(line.substring("watch ".length()).trim());
            OutputStream out = socket.getOutputStream();
            long heartbeatAt = System.currentTimeMillis();
            while (open) {
                StringBuilder text = new StringBuilder();
                synchronized (this) {
                    while (next < events.size()) {
                        text.append(events.get(next++)).append('\n');
                    }
                    long now = System.currentTimeMillis();
                    if (now >= heartbeatAt) {
                        text.append(events.size()).append('\n');
                        heartbeatAt += 1_000;
                    }
                    if (text.length() == 0) {
                        wait(Math.max(1, heartbeatAt - now));
                    }
                }
                if (text.length() > 0) {
                    out.write(text.toString().getBytes(StandardCharsets.US_ASCII));
                    out.flush();
                }
            }
        } catch (IOException e) {
            // The controller has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
