package waytrestle.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import waytrestle.discovery.EndpointDirectory.RegisteredEndpoint;
import waytrestle.net.SocketAddresses;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.InvokerEndpoint;

/**
 * Reads the response body of Consul's health API, {@code GET /v1/health/service/NAME}.
 *
 * <p>An endpoint's zone, cell and kind are in its service's {@code Meta}, its weight in {@code
 * Weights}, its start in {@code Meta.started_ms} as Unix time. An endpoint in maintenance or with a
 * critical check is draining.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class ConsulHealthReader {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Consul's default for a service registered without weights. */
    private static final double DEFAULT_WEIGHT = 1;

    private final List<String> zones;
    private final List<String> kinds;
    private final StartTimes startTimes;

    ConsulHealthReader(List<String> zones, List<String> kinds, StartTimes startTimes) {
        this.zones = zones;
        this.kinds = kinds;
        this.startTimes = startTimes;
    }

    /** The endpoints listed; empty where the body is no list at all. */
    Optional<List<RegisteredEndpoint>> read(byte[] body) {
        JsonNode root;
        try {
            root = JSON.readTree(body);
        } catch (IOException e) {
            return Optional.empty();
        }
        if (!root.isArray()) {
            return Optional.empty();
        }
        List<RegisteredEndpoint> endpoints = new ArrayList<>();
        for (JsonNode entry : root) {
            readEntry(entry).ifPresent(endpoints::add);
        }
        return Optional.of(endpoints);
    }

    /** Leaves out an entry whose address is not numeric: it would need a name look-up. */
    private Optional<RegisteredEndpoint> readEntry(JsonNode entry) {
        return address(entry).map(address -> readEntry(entry, SocketAddresses.format(address)));
    }

    private RegisteredEndpoint readEntry(JsonNode entry, String id) {
        JsonNode service = entry.path("Service");
        JsonNode meta = service.path("Meta");
        long startedAtUnixMillis = meta.path("started_ms").asLong(StartTimes.NOT_REPORTED);
        InvokerEndpoint endpoint =
                new InvokerEndpoint(
                        id,
                        indexOrFirst(zones, meta.path("zone").asText()),
                        meta.path("cell").asInt(0),
                        indexOrFirst(kinds, meta.path("kind").asText()),
                        state(entry),
                        service.path("Weights").path("Passing").asDouble(DEFAULT_WEIGHT),
                        startTimes.toMonotonicMicros(id, startedAtUnixMillis));
        return new RegisteredEndpoint(endpoint, createIndex(entry));
    }

    /** The service's own address, or that of the machine it is registered on. */
    private static Optional<InetSocketAddress> address(JsonNode entry) {
        JsonNode service = entry.path("Service");
        String host = service.path("Address").asText("");
        if (host.isEmpty()) {
            host = entry.path("Node").path("Address").asText("");
        }
        return SocketAddresses.parse(SocketAddresses.format(host, service.path("Port").asInt(0)));
    }

    private static EndpointState state(JsonNode entry) {
        for (JsonNode check : entry.path("Checks")) {
            if (check.path("Status").asText().equals("critical")) {
                return EndpointState.DRAINING;
            }
        }
        return EndpointState.READY;
    }

    private static long createIndex(JsonNode entry) {
        long ofEntry = entry.path("CreateIndex").asLong(0);
        return entry.path("Service").path("CreateIndex").asLong(ofEntry);
    }

    /** An unknown zone or kind counts as the first configured: the endpoint stays usable. */
    private static int indexOrFirst(List<String> names, String name) {
        return Math.max(0, names.indexOf(name));
    }
}
