package waytrestle.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import waytrestle.config.platform.PlatformConfig;
import waytrestle.http.HttpLimits;
import waytrestle.http.HttpServer;
import waytrestle.net.Loop;

/**
 * A node in this process, with scripted invokers and notice boards on loopback, spoken to over
 * plain sockets.
 */
final class PlatformFixture implements AutoCloseable {
    interface Script {
        void asked(HttpServer.Exchange e) throws Exception;
    }

    /** A notice board that remembers what it was asked and says what it is told to. */
    final class Board implements AutoCloseable {
        final ServerSocket server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        final List<String> asked = Collections.synchronizedList(new ArrayList<>());
        volatile Socket last;
        volatile boolean answers =
                true; // each question at once, with the number that was asked for

        Board() throws Exception {
            Thread taking =
                    new Thread(
                            () -> {
                                try {
                                    while (true) {
                                        Socket s = server.accept();
                                        StringBuilder line = new StringBuilder();
                                        InputStream in = s.getInputStream();
                                        for (int c = in.read();
                                                c >= 0 && c != '\n';
                                                c = in.read()) {
                                            line.append((char) c);
                                        }
                                        if (answers) {
                                            write(
                                                    s,
                                                    "{\"rev\":"
                                                            + line.substring(line.indexOf(" ") + 1)
                                                            + "}");
                                        }
                                        last = s;
                                        asked.add(line.toString());
                                    }
                                } catch (IOException closed) {
                                    // the board was closed
                                }
                            });
            taking.setDaemon(true);
            taking.start();
        }

        void say(String line) throws Exception {
            until(() -> last != null, "nobody asked the notice board");
            write(last, line);
        }

        private void write(Socket to, String line) throws IOException {
            to.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void close() throws Exception {
            server.close();
        }
    }

    final List<Throwable> broken = Collections.synchronizedList(new ArrayList<>());
    final Loop loop = new Loop("invokers", broken::add).start();
    final List<String> asked = Collections.synchronizedList(new ArrayList<>());
    final HttpServer invoker;
    final Board board = new Board();
    final Path file = Files.createTempFile("platform", ".json");
    volatile Script script = e -> e.answer(200, "", "done".getBytes());
    String sockets = "256";
    UnaryOperator<String> edit = s -> s; // of the configuration
    PlatformController node;

    PlatformFixture() throws Exception {
        invoker =
                new HttpServer(
                        loop,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        HttpLimits.DEFAULT,
                        1_000,
                        e -> {
                            StringBuilder text =
                                    new StringBuilder(
                                            e.message().method() + " " + e.message().target());
                            for (int i = 0; i < e.message().headers(); i++) {
                                text.append('|')
                                        .append(e.message().name(i))
                                        .append('=')
                                        .append(e.message().value(i));
                            }
                            asked.add(
                                    text
                                            + "|"
                                            + new String(
                                                    e.message().body(), StandardCharsets.UTF_8));
                            try {
                                script.asked(e);
                            } catch (Exception bad) {
                                broken.add(bad);
                            }
                        });
    }

    String host(String id, String state) {
        return host(id, state, invoker.port());
    }

    static String host(String id, String state, int port) {
        return "{\"host\":\""
                + id
                + "\",\"dial\":\"127.0.0.1:"
                + port
                + "\",\"site\":\"east\",\"class\":\"std\","
                + "\"block\":2,\"health\":\""
                + state
                + "\",\"share\":4,\"born_ms\":0}";
    }

    static String event(int number, boolean whole, String... hosts) {
        return "{\"rev\":"
                + number
                + ",\"pool\":{\"seq\":0,\"whole\":"
                + whole
                + ",\"hosts\":["
                + String.join(",", hosts)
                + "]}}";
    }

    String json(Board at) {
        return """
        {"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
         "limits":{"cores":1.0,"memory_mb":192,"sockets":%s},
         "board":"127.0.0.1:%d","known":{"rev":1,"notices":[%s]},
         "settings":{"me":0,"balancers":1,"zone":0,"azs":["west","east"],"shapes":["std"],"tick_us":1000,
          "discovery":"automatic","weight_kind":"none","report":{"how":"probe"},
          "lanes":[{"name":"read","idempotency":"read_like","group":"all","aim_us":400000,"deadline_us":3000000,
            "value":1,"late_worth":0.3},
           {"name":"book","idempotency":"non_idempotent","group":"all","aim_us":400000,"deadline_us":3000000,
            "value":3,"late_worth":0.3}],
          "limits":{"max_attempts":5,"max_open":1000,"cancel":true,"may_probe":true,"retry_after":true,
           "max_retry_after_us":2000000,"connect_timeout_us":250000,"idle_close_us":15000000},
          "rules":{"answer_slack_us":5000,"drain_grace_us":1000000,"cold_from":0.2,"warm_after_us":10000000,
           "fall_multiple":2,"overload_for_us":3000000,"ask_every_us":10000000},
          "domain":{"not_loaded":"miss","placement_calls":true,"says_company":true,"keep_alive_us":6000000,
           "load_wait_us":4000000,"memory_mb_by_kind":[8000]},
          "prices":{}}}
        """
                .formatted(sockets, at.server.getLocalPort(), event(1, true, host("s-1", "Ready")));
    }

    /** Starts it, and waits as its clients do until it is ready. */
    PlatformFixture start() throws Exception {
        startUnready();
        until(
                () -> {
                    try {
                        return ask("GET /check HTTP/1.1\r\nHost: api\r\n\r\n")
                                .startsWith("HTTP/1.1 200 ");
                    } catch (Exception e) {
                        throw new AssertionError(e);
                    }
                },
                "it never became ready");
        return this;
    }

    PlatformFixture startUnready() throws Exception {
        Files.writeString(file, edit.apply(json(board)));
        node =
                PlatformController.start(
                        PlatformConfig.read(file), System::currentTimeMillis, System.err);
        return this;
    }

    Socket socket() throws Exception {
        Socket s = new Socket(InetAddress.getLoopbackAddress(), node.port());
        s.setSoTimeout(10_000);
        return s;
    }

    static String call(String kind, String id, String more, String body) {
        return "POST /do/7f3a9c21e0b4d655/call HTTP/1.1\r\nHost: api\r\nX-Class: "
                + kind
                + "\r\nX-Correlation-Id: "
                + id
                + "\r\nX-Deadline-Ms: 3000\r\n"
                + more
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /**
     * What comes back for some bytes on a connection of their own, until it is closed or an answer
     * is whole.
     */
    String ask(String message) throws Exception {
        try (Socket s = socket()) {
            s.getOutputStream().write(message.getBytes(StandardCharsets.ISO_8859_1));
            return answer(s);
        }
    }

    static String answer(Socket s) throws Exception {
        StringBuilder text = new StringBuilder();
        InputStream in = s.getInputStream();
        int end = -1;
        for (int c = in.read(); c >= 0; c = in.read()) {
            text.append((char) c);
            int head = text.indexOf("\r\n\r\n");
            if (head >= 0 && end < 0) {
                int at = text.indexOf("Content-Length: ");
                end = head + 4 + Integer.parseInt(text.substring(at + 16, text.indexOf("\r", at)));
            }
            if (text.length() == end) {
                break;
            }
        }
        return text.toString();
    }

    static void until(BooleanSupplier condition, String otherwise) throws InterruptedException {
        for (int i = 0; i < 1_500; i++) {
            if (condition.getAsBoolean()) {
                return;
            }
            Thread.sleep(10);
        }
        throw new AssertionError(otherwise);
    }

    @Override
    public void close() throws Exception {
        if (node != null) {
            node.stop();
            node.join(10_000);
        }
        board.close();
        loop.stop();
        loop.join(5_000);
        Files.delete(file);
        if (!broken.isEmpty()) {
            throw new AssertionError("a script broke", broken.get(0));
        }
    }
}
