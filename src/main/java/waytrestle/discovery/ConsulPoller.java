package waytrestle.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.function.LongSupplier;
import waytrestle.config.GatewayConfig;
import waytrestle.http.HttpClient;
import waytrestle.http.HttpLimits;
import waytrestle.http.HttpMessage;
import waytrestle.http.HttpWriter;
import waytrestle.invoker.InferProtocol;
import waytrestle.net.Loop;
import waytrestle.net.TimerHeap;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.InvokerEndpoint;

/**
 * Follows a Consul-compatible health API: {@code GET /v1/health/service/NAME} as a blocking query
 * while subscribed, plainly when asked once. An instance's zone, cell and kind stand in its
 * service's Meta, its weight in Weights, its start in Meta {@code started_ms} (Unix time). An
 * instance in maintenance or with a critical check drains.
 */
public final class ConsulPoller {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long SLACK =
            2_000_000; // micros beyond the agreed wait: the API may add a sixteenth of it
    private static final int MOST = 16 << 20; // bytes of a list: some 20,000 instances

    private final Loop loop;
    private final GatewayConfig.Roster config;
    private final List<String> zones, kinds;
    private final int controller;
    private final HttpClient client;
    private final EndpointDirectory book;
    private final EndpointDirectory.CommandSink told;
    private final LongSupplier wallMillis;
    private boolean subscribed;
    private TimerHeap.Timer next;

    /** Told hears Tell and TellFailed; asking is seen to here. */
    public ConsulPoller(
            Loop loop,
            GatewayConfig config,
            EndpointDirectory book,
            EndpointDirectory.CommandSink told,
            LongSupplier wallMillis) {
        this.loop = loop;
        this.config = config.roster();
        this.zones = config.zones();
        this.kinds = config.kinds();
        this.controller = config.module().controllerIndex();
        this.book = book;
        this.told = told;
        this.wallMillis = wallMillis;
        HttpLimits d = HttpLimits.DEFAULT;
        this.client =
                new HttpClient(
                        loop,
                        this.config.at(),
                        new HttpLimits(
                                d.startLineBytes(),
                                d.headerCount(),
                                d.headerBytes(),
                                MOST,
                                0,
                                0,
                                0,
                                0),
                        4,
                        config.module().limits().connectTimeoutMicros(),
                        this.config.waitMicros());
    }

    public void subscribe(boolean on) {
        if (on == subscribed) {
            return;
        }
        subscribed = on;
        if (on) {
            ask(0, true);
        } else if (next != null) {
            next.cancel();
        }
    }

    /** One plain answer, whether or not there is a subscription. */
    public void fetch() {
        ask(0, false);
    }

    private void ask(long index, boolean repeated) {
        if (repeated && !subscribed) {
            return;
        }
        String target =
                "/v1/health/service/"
                        + config.service()
                        + (index > 0
                                ? "?index=" + index + "&wait=" + config.waitMicros() / 1_000 + "ms"
                                : "");
        ByteBuffer head =
                HttpWriter.request("GET", target, GatewayConfig.id(config.at()))
                        .header(InferProtocol.CONTROLLER, controller)
                        .head(0);
        client.call(
                config.waitMicros() + SLACK,
                new HttpClient.Handler() {
                    @Override
                    public void answered(HttpMessage m) {
                        String at = m.header("x-consul-index");
                        List<EndpointDirectory.RegisteredEndpoint> entries =
                                m.status() == 200 && at != null && at.matches("\\d{1,18}")
                                        ? read(m.body())
                                        : null;
                        on(
                                entries == null
                                        ? new EndpointDirectory.PollFailed()
                                        : new EndpointDirectory.SnapshotReceived(
                                                Long.parseLong(at), entries),
                                repeated);
                    }

                    @Override
                    public void broken(HttpClient.Break how, String why) {
                        on(new EndpointDirectory.PollFailed(), repeated);
                    }
                },
                head);
    }

    private void on(EndpointDirectory.Event event, boolean repeated) {
        book.handle(
                Loop.now(),
                event,
                action -> {
                    if (action instanceof EndpointDirectory.Poll ask) {
                        if (repeated) {
                            next = loop.after(ask.afterMicros(), () -> ask(ask.index(), true));
                        }
                    } else {
                        told.add(action);
                    }
                });
    }

    /** The instances listed, null where the answer is no such list. */
    private List<EndpointDirectory.RegisteredEndpoint> read(byte[] body) {
        try {
            JsonNode root = JSON.readTree(body);
            if (!root.isArray()) {
                return null;
            }
            List<EndpointDirectory.RegisteredEndpoint> all = new ArrayList<>();
            for (JsonNode each : root) {
                EndpointDirectory.RegisteredEndpoint listed = instance(each);
                if (listed != null) {
                    all.add(listed);
                }
            }
            return all;
        } catch (IOException e) {
            return null;
        }
    }

    /**
     * An instance without an address in figures cannot be reached without a look-up and is left
     * out.
     */
    private EndpointDirectory.RegisteredEndpoint instance(JsonNode each) {
        JsonNode service = each.path("Service");
        JsonNode meta = service.path("Meta");
        String host = service.path("Address").asText("");
        host = host.isEmpty() ? each.path("Node").path("Address").asText("") : host;
        InetSocketAddress at =
                GatewayConfig.parse(
                        (host.indexOf(':') >= 0 ? "[" + host + "]" : host)
                                + ":"
                                + service.path("Port").asInt(0));
        if (at == null) {
            return null;
        }
        EndpointState state = EndpointState.READY;
        for (JsonNode check : each.path("Checks")) {
            if (check.path("Status").asText().equals("critical")) {
                state = EndpointState.DRAINING;
            }
        }
        long started = meta.path("started_ms").asLong(0);
        long up =
                started == 0
                        ? 0
                        : Math.max(1, Loop.now() - (wallMillis.getAsLong() - started) * 1_000);
        InvokerEndpoint entry =
                new InvokerEndpoint(
                        GatewayConfig.id(at),
                        Math.max(0, zones.indexOf(meta.path("zone").asText())),
                        meta.path("cell").asInt(0),
                        Math.max(0, kinds.indexOf(meta.path("kind").asText())),
                        state,
                        service.path("Weights").path("Passing").asDouble(1),
                        steady(GatewayConfig.id(at), started, up));
        return new EndpointDirectory.RegisteredEndpoint(
                entry, service.path("CreateIndex").asLong(each.path("CreateIndex").asLong(0)));
    }

    private record Start(long told, long micros) {}

    private final HashMap<String, Start> starts = new HashMap<>();

    /**
     * The same told start stays the same moment here, however the two clocks drift between answers.
     */
    private long steady(String id, long told, long micros) {
        if (told == 0) {
            starts.remove(id);
            return 0;
        }
        Start before = starts.get(id);
        if (before != null && before.told() == told) {
            return before.micros();
        }
        if (starts.size() > 100_000) {
            starts.clear();
        }
        starts.put(id, new Start(told, micros));
        return micros;
    }
}
