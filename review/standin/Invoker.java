import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An invoker by PROTOCOL.md that loads what it knows on order. A call for a function that is not
 * loaded is a miss; a call or an order for a function that does not exist is an error.
 */
class Invoker implements AutoCloseable {
    /** Is told of what comes whole to an invoker, and of each run that begins. */
    interface Listener {
        void came(Invoker invoker, String kind, Http request);
    }

    final String id;
    private final ServerSocket listener = new ServerSocket();
    private final Set<String> functions;
    private final Map<String, Integer> loaded = new ConcurrentHashMap<>();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final AtomicInteger held = new AtomicInteger();
    private final long workMillis;
    private final long loadMillis;
    private final Listener observer;
    volatile boolean draining;

    Invoker(String id, int port, Set<String> functions, long workMillis, long loadMillis,
            Listener observer) throws IOException {
        this.id = id;
        this.functions = functions;
        this.workMillis = workMillis;
        this.loadMillis = loadMillis;
        this.observer = observer;
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
        Board.daemon(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                Board.daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http request = Http.read(in); request != null; request = Http.read(in)) {
                byte[] answer = answer(request);
                out.write(answer);
                out.flush();
                after(request, answer, out);
            }
        } catch (IOException | InterruptedException e) {
            // the controller has gone, or this invoker
        } finally {
            open.remove(socket);
        }
    }

    /** Is called when an answer has been written whole. */
    void after(Http request, byte[] answer, OutputStream out)
            throws IOException, InterruptedException {}

    private byte[] answer(Http request) throws InterruptedException {
        String[] words = request.first().split(" ");
        String path = words[1];
        if (path.equals("/alive") || path.equals("/load")) {
            observer.came(this, "probe", request);
            String report = "X-Gauges: queue:0;x0:0.1;x1:0\r\n";
            return draining ? response(503, report, "") : response(200, report, "");
        }
        if (words[0].equals("PUT")) {
            observer.came(this, "order", request);
            String[] parts = path.split("/");
            int copies = Integer.parseInt(parts[3]);
            if (copies > 0 && draining) {
                return response(503, "X-Unrun: 1\r\nX-Units: 0\r\n", "");
            }
            if (copies > 0 && !functions.contains(parts[2])) {
                Thread.sleep(loadMillis); // the load is tried and fails
                return response(500, "X-Units: 0\r\n", "");
            }
            if (copies > loaded.getOrDefault(parts[2], 0)) {
                Thread.sleep(loadMillis);
                loaded.merge(parts[2], copies, Math::max);
            }
            return response(200, "X-Units: " + loaded.getOrDefault(parts[2], 0) + "\r\n", "");
        }
        if (words[0].equals("DELETE")) {
            observer.came(this, "unload", request);
            loaded.remove(path.split("/")[2]);
            return response(204, "", "");
        }
        observer.came(this, "call", request);
        String function = request.header("x-name");
        if (!functions.contains(function)) {
            return response(500, "", "no such function");
        }
        if (!loaded.containsKey(function)) {
            return response(404, "", "not loaded here");
        }
        observer.came(this, "run", request);
        int ahead = held.getAndIncrement();
        try {
            Thread.sleep(workMillis);
        } finally {
            held.decrementAndGet();
        }
        return response(200, ahead > 0 ? "X-Ahead: " + ahead + "\r\n" : "",
                id + " ran " + request.header("x-txn"));
    }

    static byte[] response(int status, String headers, String body) {
        String length = status == 204 ? "" : "Content-Length: " + body.length() + "\r\n";
        return Http.bytes("HTTP/1.1 " + status + " X\r\n" + headers + length + "\r\n" + body);
    }

    /** Ends as a dying process does: its connections are reset. */
    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : open) {
            try { socket.setSoLinger(true, 0); } catch (IOException e) { continue; }
            socket.close();
        }
    }
}
