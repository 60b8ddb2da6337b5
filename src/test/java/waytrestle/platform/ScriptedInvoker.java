package waytrestle.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import waytrestle.http.HttpLimits;
import waytrestle.http.HttpMessage;
import waytrestle.http.HttpServer;
import waytrestle.net.Loop;

/**
 * An invoker on loopback that records what it receives and responds by a script. It has an event
 * loop of its own; its methods may be called from any thread, unless said otherwise.
 */
final class ScriptedInvoker implements AutoCloseable {
    private static final int MAX_CONNECTIONS = 1_000;
    private static final int ANY_PORT = 0;
    private static final long LOOP_END_MILLIS = 5_000;

    private final List<Throwable> failures = Collections.synchronizedList(new ArrayList<>());
    private final Loop loop = new Loop("invokers", failures::add).start();
    private final List<String> requests = Collections.synchronizedList(new ArrayList<>());
    private final HttpServer server;
    private volatile InvokerScript script = exchange -> respond(exchange, 200, "done");

    ScriptedInvoker() throws IOException {
        this(ANY_PORT);
    }

    /** Listens at a port, as an invoker does that has started again. */
    ScriptedInvoker(int port) throws IOException {
        try {
            server = openServer(port, MAX_CONNECTIONS, this::handle);
        } catch (IOException e) {
            loop.stop();
            throw e;
        }
    }

    /** Another server on the same loop. */
    HttpServer openServer(int maxConnections, HttpServer.Handler handler) throws IOException {
        return openServer(ANY_PORT, maxConnections, handler);
    }

    private HttpServer openServer(int port, int maxConnections, HttpServer.Handler handler)
            throws IOException {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        return new HttpServer(loop, address, HttpLimits.DEFAULT, maxConnections, handler);
    }

    /** Responds to an exchange; on the loop. */
    static void respond(HttpServer.Exchange exchange, int status, String body, String... headers) {
        exchange.answer(status, "", body.getBytes(StandardCharsets.UTF_8), headers);
    }

    /** A script that leaves preloads unanswered and reports every function as not loaded. */
    static void reportNotLoaded(HttpServer.Exchange exchange) {
        if (!exchange.message().method().equals("PUT")) {
            respond(exchange, 404, "");
        }
    }

    /** Replaces the script, which responds 200 with "done" at first. */
    void setScript(InvokerScript replacement) {
        script = replacement;
    }

    /** All requests so far: method, target, headers and body, separated by bars. */
    List<String> requests() {
        return requests;
    }

    /** Runs a task on the loop after a delay; on the loop. */
    void schedule(long delayMicros, Runnable task) {
        loop.after(delayMicros, task);
    }

    /** Closes idle connections; on the loop. */
    void closeIdle() {
        server.closeIdle();
    }

    int port() {
        return server.port();
    }

    private void handle(HttpServer.Exchange exchange) {
        requests.add(describe(exchange.message()));
        try {
            script.handle(exchange);
        } catch (Exception e) {
            failures.add(e);
        }
    }

    private static String describe(HttpMessage message) {
        StringBuilder text = new StringBuilder(message.method() + " " + message.target());
        for (int i = 0; i < message.headerCount(); i++) {
            text.append('|')
                    .append(message.headerName(i))
                    .append('=')
                    .append(message.headerValue(i));
        }
        return text + "|" + new String(message.body(), StandardCharsets.UTF_8);
    }

    /** Stops the loop; fails when the script or a handler has thrown. */
    @Override
    public void close() throws Exception {
        loop.stop();
        loop.join(LOOP_END_MILLIS);
        if (!failures.isEmpty()) {
            throw new AssertionError("the invoker's script failed", failures.get(0));
        }
    }
}
