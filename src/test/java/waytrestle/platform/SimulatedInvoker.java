package waytrestle.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import waytrestle.http.HttpServer;

/**
 * An invoker on loopback that loads functions on demand and drains as the platform's do: from the
 * first moment its health check fails, for a while it still accepts requests, then it rejects them
 * as not run. It records all new work that reaches it.
 */
final class SimulatedInvoker implements AutoCloseable {
    /** What an invoker is doing. */
    enum State {
        READY,
        DRAINING,
        GONE
    }

    /**
     * New work that has reached it.
     *
     * @param atNanos when it had come complete
     * @param requestId of a request; null for a preload request
     */
    record Arrival(long atNanos, String requestId, State state) {
        boolean preload() {
            return requestId == null;
        }
    }

    private static final long MICROS_PER_MILLI = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long LOAD_MILLIS = 150;
    private static final int MIN_WORK_MILLIS = 5;
    private static final int MAX_WORK_MILLIS = 40;

    private final String id;
    private final int port;
    private final long acceptMillis;
    private final List<Arrival> arrivals = Collections.synchronizedList(new ArrayList<>());
    private final Set<String> loaded = new HashSet<>();
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private ScriptedInvoker server;
    private volatile State state = State.READY;
    private volatile long drainingSince;
    private volatile int healthChecks;

    /** While it drains it accepts requests for so long. */
    SimulatedInvoker(String id, long acceptMillis) throws IOException {
        this.id = id;
        this.acceptMillis = acceptMillis;
        this.port = LoopbackPorts.free();
        this.server = LoopbackPorts.listen(() -> new ScriptedInvoker(port));
        server.setScript(this::handle);
    }

    String id() {
        return id;
    }

    int port() {
        return port;
    }

    State state() {
        return state;
    }

    /** All new work so far. */
    List<Arrival> arrivals() {
        synchronized (arrivals) {
            return List.copyOf(arrivals);
        }
    }

    /** How often the request of this id has begun to run here. */
    int runs(String requestId) {
        return runs.getOrDefault(requestId, 0);
    }

    /** How often its health was checked. */
    int healthChecks() {
        return healthChecks;
    }

    /** Begins to drain. */
    void drain() {
        drainingSince = System.nanoTime();
        state = State.DRAINING;
    }

    /** Ends, with all its connections. */
    void end() throws Exception {
        state = State.GONE;
        server.close();
    }

    /** Starts again at the same address, with nothing loaded. */
    void restart() throws IOException {
        synchronized (loaded) {
            loaded.clear();
        }
        server = LoopbackPorts.listen(() -> new ScriptedInvoker(port));
        state = State.READY;
        server.setScript(this::handle);
    }

    private void handle(HttpServer.Exchange exchange) {
        String method = exchange.message().method();
        String target = exchange.message().target();
        if (target.equals("/alive") || target.equals("/load")) {
            healthChecks++;
            ScriptedInvoker.respond(exchange, state == State.READY ? 200 : 503, "");
        } else if (method.equals("PUT")) {
            handlePreload(exchange, target);
        } else {
            handleRequest(exchange);
        }
    }

    private void handlePreload(HttpServer.Exchange exchange, String target) {
        String[] parts = target.split("/");
        String function = parts[parts.length - 2];
        boolean loads = Integer.parseInt(parts[parts.length - 1]) > 0;
        boolean isLoaded = isLoaded(function);
        if (loads) {
            record(null);
        }
        if (isLoaded || !loads) {
            ScriptedInvoker.respond(exchange, 200, "", "X-Units", isLoaded ? "1" : "0");
        } else if (state != State.READY) {
            ScriptedInvoker.respond(exchange, 503, "", "X-Unrun", "1", "X-Units", "0");
        } else {
            server.schedule(LOAD_MILLIS * MICROS_PER_MILLI, () -> completeLoad(exchange, function));
        }
    }

    private void completeLoad(HttpServer.Exchange exchange, String function) {
        synchronized (loaded) {
            loaded.add(function);
        }
        if (exchange.isOpen()) {
            ScriptedInvoker.respond(exchange, 200, "", "X-Units", "1");
        }
    }

    private boolean isLoaded(String function) {
        synchronized (loaded) {
            return loaded.contains(function);
        }
    }

    private void handleRequest(HttpServer.Exchange exchange) {
        record(exchange.message().header("x-txn"));
        boolean rejects =
                state == State.DRAINING
                        && System.nanoTime() - drainingSince > acceptMillis * NANOS_PER_MILLI;
        if (rejects) {
            ScriptedInvoker.respond(exchange, 503, "", "X-Unrun", "1");
        } else if (!isLoaded(exchange.message().header("x-name"))) {
            ScriptedInvoker.respond(exchange, 404, "");
        } else {
            runs.merge(exchange.message().header("x-txn"), 1, Integer::sum);
            long millis = ThreadLocalRandom.current().nextInt(MIN_WORK_MILLIS, MAX_WORK_MILLIS + 1);
            server.schedule(
                    millis * MICROS_PER_MILLI,
                    () -> {
                        if (exchange.isOpen()) {
                            ScriptedInvoker.respond(exchange, 200, "done");
                        }
                    });
        }
    }

    private void record(String requestId) {
        arrivals.add(new Arrival(System.nanoTime(), requestId, state));
    }

    @Override
    public void close() throws Exception {
        if (state != State.GONE) {
            server.close();
        }
    }
}
