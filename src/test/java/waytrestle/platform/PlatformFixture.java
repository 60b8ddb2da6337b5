package waytrestle.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import waytrestle.config.platform.PlatformConfig;

/**
 * Test fixture: a controller in this process with a scripted invoker and a watch server on
 * loopback, spoken to over plain sockets.
 */
final class PlatformFixture implements AutoCloseable {
    /** The function that {@link #request} asks for. */
    static final String FUNCTION = "7f3a9c21e0b4d655";

    private static final String READINESS_CHECK = "GET /check HTTP/1.1\r\nHost: api\r\n\r\n";
    private static final long FIRST_CORRELATION_ID = 0x9b1f03aa5c7e0000L;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final long SHUTDOWN_MILLIS = 10_000;
    private static final int CONDITION_CHECKS = 1_500;
    private static final long CONDITION_CHECK_PAUSE_MILLIS = 10;

    final ScriptedInvoker invoker = new ScriptedInvoker();
    final WatchServer watchServer = new WatchServer();
    final Path configurationFile = Files.createTempFile("platform", ".json");

    private String sockets = "256";
    private UnaryOperator<String> configurationEdit = UnaryOperator.identity();
    private PlatformController controller;

    PlatformFixture() throws Exception {}

    /** Sets the number of descriptors of the configuration, before the start. */
    void setSockets(String number) {
        sockets = number;
    }

    /** Sets an edit of the configuration's text, before the start. */
    void setConfigurationEdit(UnaryOperator<String> edit) {
        configurationEdit = edit;
    }

    /** The controller, once it was started. */
    PlatformController controller() {
        return controller;
    }

    // ---- Configuration and watch events. ----
    /** The fixture's invoker under a name, as watch events list it. */
    String endpointJson(String id, String state) {
        return endpointJson(id, state, invoker.port());
    }

    static String endpointJson(String id, String state, int port) {
        return "{\"host\":\""
                + id
                + "\",\"dial\":\"127.0.0.1:"
                + port
                + "\",\"site\":\"east\",\"class\":\"std\","
                + "\"block\":2,\"health\":\""
                + state
                + "\",\"share\":4,\"born_ms\":0}";
    }

    static String watchEventJson(int revision, boolean snapshot, String... endpoints) {
        return "{\"rev\":"
                + revision
                + ",\"pool\":{\"seq\":0,\"whole\":"
                + snapshot
                + ",\"hosts\":["
                + String.join(",", endpoints)
                + "]}}";
    }

    /** The event of the endpoints that the configuration lists. */
    String configuredEventJson() {
        return watchEventJson(1, true, endpointJson("s-1", "Ready"));
    }

    /** The configuration's text before its edit. */
    String configurationJson(WatchServer watched) {
        return configurationJson(sockets, watched.port(), configuredEventJson());
    }

    /** A configuration's text with these known events and the watch server at this port. */
    static String configurationJson(String sockets, int watchPort, String knownEvents) {
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
                .formatted(sockets, watchPort, knownEvents);
    }

    /** Writes a configuration that names another watch server. */
    void writeConfiguration(WatchServer watched) throws IOException {
        Files.writeString(configurationFile, configurationJson(watched));
    }

    // ---- The controller. ----
    /** Starts the controller, and waits as its clients do until it is ready. */
    PlatformFixture start() throws Exception {
        startUnready();
        awaitCondition(
                unchecked(() -> send(READINESS_CHECK).startsWith("HTTP/1.1 200 ")),
                "it never became ready");
        return this;
    }

    /** Starts the controller without waiting. */
    PlatformFixture startUnready() throws Exception {
        Files.writeString(
                configurationFile, configurationEdit.apply(configurationJson(watchServer)));
        controller =
                PlatformController.start(
                        PlatformConfig.read(configurationFile),
                        System::currentTimeMillis,
                        System.err);
        return this;
    }

    /** The status of the readiness check. */
    int readinessStatus() throws Exception {
        return status(send(READINESS_CHECK));
    }

    // ---- Requests and responses. ----
    /** The nth correlation id. */
    static String correlationId(int number) {
        return "%016x".formatted(FIRST_CORRELATION_ID + number);
    }

    /** A request's text; the headers each end with a line break. */
    static String request(String requestClass, String id, String headers, String body) {
        return "POST /do/"
                + FUNCTION
                + "/call HTTP/1.1\r\nHost: api\r\nX-Class: "
                + requestClass
                + "\r\nX-Correlation-Id: "
                + id
                + "\r\nX-Deadline-Ms: 3000\r\n"
                + headers
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /** A new connection to the controller. */
    Socket connect() throws Exception {
        Socket connection = new Socket(InetAddress.getLoopbackAddress(), controller.port());
        connection.setSoTimeout(READ_TIMEOUT_MILLIS);
        return connection;
    }

    /** Sends a message on a connection of its own and reads the response. */
    String send(String message) throws Exception {
        try (Socket connection = connect()) {
            write(connection, message);
            return readResponse(connection);
        }
    }

    static void write(Socket connection, String message) throws IOException {
        connection.getOutputStream().write(message.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads until one response is complete or the connection is closed. */
    static String readResponse(Socket connection) throws Exception {
        StringBuilder text = new StringBuilder();
        InputStream in = connection.getInputStream();
        int end = -1;
        for (int next = in.read(); next >= 0; next = in.read()) {
            text.append((char) next);
            int headEnd = text.indexOf("\r\n\r\n");
            if (headEnd >= 0 && end < 0) {
                end = headEnd + 4 + Integer.parseInt(header(text.toString(), "Content-Length"));
            }
            if (text.length() == end) {
                break;
            }
        }
        return text.toString();
    }

    static int status(String response) {
        return Integer.parseInt(response.split(" ")[1]);
    }

    /** The value of a response's header, null without one. */
    static String header(String response, String name) {
        String start = name + ": ";
        int startIndex = response.indexOf(start);
        return startIndex < 0
                ? null
                : response.substring(
                        startIndex + start.length(), response.indexOf("\r", startIndex));
    }

    // ---- Waiting. ----
    static void awaitCondition(BooleanSupplier condition, String failure)
            throws InterruptedException {
        for (int i = 0; i < CONDITION_CHECKS; i++) {
            if (condition.getAsBoolean()) {
                return;
            }
            Thread.sleep(CONDITION_CHECK_PAUSE_MILLIS);
        }
        throw new AssertionError(failure);
    }

    /** A condition that fails its test where the check throws. */
    static BooleanSupplier unchecked(Callable<Boolean> check) {
        return () -> {
            try {
                return check.call();
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        };
    }

    @Override
    public void close() throws Exception {
        if (controller != null) {
            controller.stop();
            controller.join(SHUTDOWN_MILLIS);
        }
        watchServer.close();
        Files.delete(configurationFile);
        invoker.close();
    }
}
