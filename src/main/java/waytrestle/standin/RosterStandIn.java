package waytrestle.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import waytrestle.http.HttpLimits;
import waytrestle.http.HttpServer;
import waytrestle.net.Loop;

/** A roster on a loopback port: the health API with blocking queries, changed by a scenario. */
public final class RosterStandIn {
    /** One instance; state is passing, critical or (in a told list alone) gone. */
    public record Instance(
            String id, String zone, int cell, String kind, String state, long startedMs) {}

    private record Pending(HttpServer.Exchange exchange, int controller) {}

    private static final HttpLimits LIMITS = HttpLimits.DEFAULT;
    private final Loop loop;
    private final Sightings sightings;
    private final Map<String, Instance> instances = new LinkedHashMap<>();
    private final List<Pending> pending = new ArrayList<>();
    private final Map<Integer, Map<String, String>> told = new HashMap<>();
    private final int port;
    private HttpServer server;
    private long index = 1;
    private boolean erring;
    private boolean mute;
    private boolean leaderless;

    public RosterStandIn(Loop loop, int port, Sightings sightings) throws IOException {
        this.loop = loop;
        this.sightings = sightings;
        this.server = listen(port);
        this.port = server.port();
    }

    private HttpServer listen(int at) throws IOException {
        return new HttpServer(
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), at),
                LIMITS,
                10_000,
                this::request);
    }

    public int port() {
        return port;
    }

    public void set(Instance i) {
        instances.put(i.id(), i);
        changed();
    }

    public void remove(String id) {
        instances.remove(id);
        changed();
    }

    /** Answers 500 while on. */
    public void err(boolean on) {
        erring = on;
    }

    /** Never answers while on. */
    public void mute(boolean on) {
        mute = on;
        if (!on) {
            changed();
        }
    }

    /** Goes on answering with the present list, as a server without a leader does, while on. */
    public void leaderless(boolean on) {
        leaderless = on;
    }

    /** Ends its connections and refuses further ones until {@link #restart}. */
    public void down() {
        server.kill();
        pending.clear();
    }

    public void clear() {
        instances.clear();
        changed();
    }

    /** Forgets its index, as a restarted server does. */
    public void restart() {
        server.kill();
        pending.clear();
        index = 1;
        again();
    }

    /** The kernel gives the port back only after the loop's next turn. */
    private void again() {
        loop.after(
                5_000,
                () -> {
                    try {
                        server = listen(port);
                    } catch (IOException e) {
                        again();
                    }
                });
    }

    private void changed() {
        index++;
        List<Pending> now = List.copyOf(pending);
        pending.clear();
        now.forEach(p -> answer(p.exchange(), p.controller()));
    }

    private void request(HttpServer.Exchange e) {
        String given = e.message().header("waytrestle-controller");
        int controller = given == null ? -1 : Integer.parseInt(given);
        String after = e.message().queryParameter("index");
        if (after == null || Long.parseLong(after) != index) {
            answer(e, controller);
            return;
        }
        Pending waiting = new Pending(e, controller);
        pending.add(waiting);
        String wait = e.message().queryParameter("wait");
        long micros = wait == null ? 10_000_000 : Long.parseLong(wait.replace("ms", "")) * 1_000;
        loop.after(
                micros,
                () -> {
                    if (pending.remove(waiting)) {
                        answer(e, controller);
                    }
                });
    }

    private void answer(HttpServer.Exchange e, int controller) {
        if (!e.isOpen() || mute) {
            return;
        }
        if (erring) {
            e.answer(500, "text/plain", "no leader".getBytes(StandardCharsets.US_ASCII));
            return;
        }
        StringBuilder out = new StringBuilder("[");
        Map<String, String> before = told.computeIfAbsent(controller, c -> new HashMap<>());
        Map<String, String> now = new HashMap<>();
        for (Instance i : instances.values()) {
            String[] at = i.id().split(":");
            out.append(out.length() > 1 ? "," : "")
                    .append("{\"Node\":{\"Address\":\"")
                    .append(at[0])
                    .append("\"},\"Service\":{\"ID\":\"")
                    .append(i.id())
                    .append("\",\"Address\":\"")
                    .append(at[0])
                    .append("\",\"Port\":")
                    .append(at[1])
                    .append(",\"Meta\":{\"zone\":\"")
                    .append(i.zone())
                    .append("\",\"cell\":\"")
                    .append(i.cell())
                    .append("\",\"kind\":\"")
                    .append(i.kind())
                    .append("\",\"started_ms\":\"")
                    .append(i.startedMs())
                    .append("\"},\"Weights\":{\"Passing\":1}},\"Checks\":[{\"Status\":\"")
                    .append(i.state())
                    .append("\"}]}");
            now.put(i.id(), i.state());
        }
        before.keySet().forEach(id -> now.putIfAbsent(id, "gone"));
        now.forEach(
                (id, state) -> {
                    if (!state.equals(before.get(id))) {
                        sightings.saw(
                                "roster",
                                "told",
                                "controller",
                                controller,
                                "invoker",
                                id,
                                "state",
                                state);
                    }
                });
        told.put(controller, now);
        e.answer(
                200,
                "application/json",
                out.append(']').toString().getBytes(StandardCharsets.US_ASCII),
                "X-Consul-Index",
                Long.toString(index),
                "X-Consul-KnownLeader",
                Boolean.toString(!leaderless));
    }
}
