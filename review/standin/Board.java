import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The notice board by PROTOCOL.md: every event after N, each second the last number alone. */
final class Board implements AutoCloseable {
    private final ServerSocket listener;
    private final List<String> notices = new ArrayList<>();

    Board() throws IOException {
        listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        daemon(this::accept);
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** One entry of an event. */
    static String host(String id, String dial, String health, long bornMillis) {
        return "{\"host\":\"" + id + "\",\"dial\":\"" + dial + "\",\"site\":\"hall-a\","
                + "\"class\":\"std-4core\",\"block\":0,\"health\":\"" + health
                + "\",\"share\":1,\"born_ms\":" + bornMillis + "}";
    }

    /** Tells an event; returns its number. */
    synchronized long tell(boolean whole, String... hosts) {
        long rev = notices.size() + 1;
        notices.add("{\"rev\":" + rev + ",\"pool\":{\"seq\":" + rev + ",\"whole\":" + whole
                + ",\"hosts\":[" + String.join(",", hosts) + "]}}");
        notifyAll();
        return rev;
    }

    /** What a configuration holds under known. */
    synchronized String known() {
        return "{\"rev\":" + notices.size() + ",\"notices\":[" + String.join(",", notices) + "]}";
    }

    private synchronized String next(int after, long untilMillis) throws InterruptedException {
        while (notices.size() <= after) {
            long left = untilMillis - System.currentTimeMillis();
            if (left <= 0) {
                return null;
            }
            wait(left);
        }
        return notices.get(after);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream()));
            String request = in.readLine();
            if (request == null) {
                return;
            }
            int after = Integer.parseInt(request.substring("watch ".length()).trim());
            OutputStream out = socket.getOutputStream();
            long beat = System.currentTimeMillis();
            while (true) {
                String notice = next(after, beat);
                if (notice != null) {
                    after++;
                } else {
                    beat = System.currentTimeMillis() + 1000;
                }
                String line = (notice == null ? String.valueOf(after) : notice) + "\n";
                out.write(line.getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // the controller has gone
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
