package waytrestle.standin;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An invoker that knows only the published protocol and shares nothing with this project's own
 * HTTP: plain sockets, a thread a connection. A function does what its name says: {@code s418}
 * answers that status with a body, {@code s418e} without one (a number after a dash tells functions
 * of one kind apart), {@code html}, {@code reset}, {@code trickle}, {@code chunks} and {@code
 * headers} without end, {@code twice}, {@code cut}, {@code short}, {@code huge}, {@code deep},
 * {@code interim}, {@code heals}; {@code lanesN} runs N at a time; all others run and answer.
 */
public final class OddInvoker implements AutoCloseable {
    /** What it says of itself beside its answers. */
    public enum Says {
        ALL,
        NOTHING,
        NONSENSE
    }

    private static final int THREADS =
            400; // connections served at once: more wait in the kernel's queue
    private static final long MOST = 30_000_000; // bytes sent without end before it gives up itself

    private final ServerSocket server;
    private final ExecutorService threads =
            Executors.newFixedThreadPool(
                    THREADS,
                    r -> {
                        Thread t = new Thread(r, "odd-invoker");
                        t.setDaemon(true);
                        return t;
                    });
    private final long workMillis;
    private final Map<String, AtomicInteger> attempts = new ConcurrentHashMap<>();
    private final Map<String, Semaphore> lanes = new ConcurrentHashMap<>();
    private final AtomicInteger inHand = new AtomicInteger();
    private final SplittableRandom random = new SplittableRandom(7);
    private volatile Says says = Says.ALL;
    private volatile int failAll;
    private volatile long healsAt;
    private volatile boolean closed;

    public OddInvoker(long workMillis) throws IOException {
        this.workMillis = workMillis;
        this.server = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());
        Thread accepting = new Thread(this::accept, "odd-invoker-accept");
        accepting.setDaemon(true);
        accepting.start();
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    public void says(Says what) {
        says = what;
    }

    /** Answers every call by this status at once; 0 ends that. */
    public void failAll(int status) {
        failAll = status;
    }

    /** From when on the function {@code heals} does; milliseconds of the wall clock. */
    public void healsAt(long millis) {
        healsAt = millis;
    }

    /** Infer requests that came for a function. */
    public int attempts(String function) {
        AtomicInteger n = attempts.get(function);
        return n == null ? 0 : n.get();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                threads.execute(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (!closed) {
                String head = head(in);
                if (head == null) {
                    return;
                }
                int length = 0;
                for (String line : head.split("\r\n")) {
                    if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                        length = Integer.parseInt(line.substring(15).trim());
                    }
                }
                in.readNBytes(length);
                String[] path = head.split(" ", 3)[1].split("/");
                if (path.length == 5 && path[4].equals("infer")) {
                    inHand.incrementAndGet();
                    try {
                        infer(path[3].replaceAll("-\\d+$", ""), socket, out);
                    } finally {
                        inHand.decrementAndGet();
                    }
                } else if (path.length == 6
                        && path[5].equals("load")
                        && path[4].startsWith("s404")) {
                    plain(out, 404, "application/json", "{\"error\":\"unknown model\"}");
                } else {
                    plain(out, 200, "application/json", "{}");
                }
            }
        } catch (IOException | InterruptedException gone) {
            // the other side has had enough, or this one is closing
        }
    }

    private static String head(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int last = 0;
        for (int b = in.read(); b >= 0; b = in.read()) {
            head.write(b);
            last = last << 8 | b;
            if (last == 0x0D0A0D0A) {
                return head.toString(StandardCharsets.ISO_8859_1);
            }
        }
        return null;
    }

    private void infer(String function, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        attempts.computeIfAbsent(function, f -> new AtomicInteger()).incrementAndGet();
        if (failAll != 0) {
            plain(out, failAll, "application/json", "{\"error\":\"this one fails\"}");
        } else if (function.matches("s\\d\\d\\de?")) {
            boolean empty = function.endsWith("e");
            plain(
                    out,
                    Integer.parseInt(function.substring(1, 4)),
                    empty ? "" : "application/json",
                    empty ? "" : "{\"error\":\"bad shape\"}");
        } else {
            odd(function, socket, out);
        }
    }

    private void odd(String function, Socket socket, OutputStream out)
            throws IOException, InterruptedException {
        switch (function) {
            case "html" -> plain(out, 200, "text/html", "<html><body>Welcome</body></html>");
            case "reset" -> {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            case "trickle" -> {
                byte[] all = answer("x");
                for (int i = 0; i < all.length && !closed; i++) {
                    out.write(all, i, 1);
                    Thread.sleep(30);
                }
            }
            case "chunks" -> {
                write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                for (long sent = 0; sent < MOST; sent += 65_536) {
                    write(out, "10000\r\n" + " ".repeat(65_536) + "\r\n");
                }
            }
            case "headers" -> {
                write(out, "HTTP/1.1 200 OK\r\n");
                for (long sent = 0; sent < MOST; sent += 1_000) {
                    write(out, "X-More: " + "y".repeat(990) + "\r\n");
                }
            }
            case "interim" -> {
                for (long sent = 0; sent < MOST; sent += 2_500) {
                    write(out, "HTTP/1.1 100 Continue\r\n\r\n".repeat(100));
                }
            }
            case "twice" -> {
                out.write(answer("first"));
                out.write(answer("second"));
            }
            case "cut" -> {
                ByteArrayOutputStream cut = new ByteArrayOutputStream();
                cut.write(answer("first"));
                write(cut, " and the rest of a longer body");
                out.write(cut.toByteArray());
            }
            case "short" -> {
                write(out, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"outputs\":[");
                socket.close();
            }
            case "huge" ->
                    write(out, "HTTP/1.1 200 OK\r\nContent-Length: 9007199254740992\r\n\r\n{}");
            case "deep" ->
                    plain(out, 200, "application/json", "{\"outputs\":" + "[".repeat(200_000));
            case "heals" -> {
                if (System.currentTimeMillis() < healsAt) {
                    plain(out, 500, "application/json", "{\"error\":\"not well\"}");
                } else {
                    run(function, out);
                }
            }
            default -> run(function, out);
        }
    }

    private void run(String function, OutputStream out) throws IOException, InterruptedException {
        Semaphore own =
                function.startsWith("lanes")
                        ? lanes.computeIfAbsent(
                                function, f -> new Semaphore(Integer.parseInt(f.substring(5))))
                        : null;
        if (own != null) {
            own.acquire();
        }
        try {
            Thread.sleep(workMillis);
        } finally {
            if (own != null) {
                own.release();
            }
        }
        out.write(answer("ran"));
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void plain(OutputStream out, int status, String type, String body)
            throws IOException {
        boolean none =
                status < 200
                        || status == 204
                        || status == 304; // these have no body, by the protocol
        write(
                out,
                "HTTP/1.1 "
                        + status
                        + " S\r\n"
                        + (none
                                ? "\r\n"
                                : (type.isEmpty() ? "" : "Content-Type: " + type + "\r\n")
                                        + "Content-Length: "
                                        + body.length()
                                        + "\r\n\r\n"
                                        + body));
    }

    /** An infer answer with what this invoker says of itself. */
    private byte[] answer(String text) {
        String json =
                "{\"model_name\":\"m\",\"outputs\":[{\"name\":\"r\",\"datatype\":\"BYTES\",\"shape\":[1],\"data\":[\""
                        + text
                        + "\"]}]}";
        String report =
                switch (says) {
                    case ALL ->
                            "endpoint-load-metrics: TEXT named_metrics.inflight="
                                    + inHand.get()
                                    + ",named_metrics.queue=0,named_metrics.start=1\r\n";
                    case NOTHING -> "";
                    case NONSENSE -> nonsense();
                };
        return ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                        + report
                        + "Content-Length: "
                        + json.length()
                        + "\r\n\r\n"
                        + json)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private synchronized String nonsense() {
        long value =
                switch (random.nextInt(3)) {
                    case 0 -> -random.nextInt(1_000);
                    case 1 -> (long) (random.nextDouble() * 1e12);
                    default -> 0;
                };
        return "endpoint-load-metrics: TEXT named_metrics.inflight="
                + value
                + ",named_metrics.queue="
                + random.nextInt(50)
                + ",named_metrics.start="
                + random.nextInt(9)
                + ",named_metrics.company="
                + random.nextInt(1_000_000)
                + "\r\n";
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
        threads.shutdownNow();
    }
}
