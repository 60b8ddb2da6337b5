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
 * Weights}, the start of its process in {@code Meta.started_ms} as Unix time in milliseconds. An
 * endpoint with a critical check is draining; Consul adds such a check to a service in maintenance.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class ConsulHealthReader {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Consul's default weight of a service that is registered without weights. */
    private static final double DEFAULT_WEIGHT = 1;

    private final List<String> zones;
    private final List<String> kinds;
    private final StartTimes startTimes;

    /**
     * Creates a reader.
     *
     * @param zones names of the configured zones, by index
     * @param kinds names of the configured kinds of invoker, by index
     */
    ConsulHealthReader(List<String> zones, List<String> kinds, StartTimes startTimes) {
        this.zones = zones;
        this.kinds = kinds;
        this.startTimes = startTimes;
    }

    /** Returns the endpoints that the body lists; empty if the body is not a JSON array. */
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

    /**
     * Reads an entry of the list. Returns empty if the entry's address is not an IP address with a
     * port: a host name would need a look-up, which blocks.
     */
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

    /**
     * Returns the service's own address or, if it has none, the address of the node that it is
     * registered on; empty if neither is an IP address with a port.
     */
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
        long entryIndex = entry.path("CreateIndex").asLong(0);
        return entry.path("Service").path("CreateIndex").asLong(entryIndex);
    }

    /**
     * Returns the index of a zone or kind, or 0 if the name is not configured, so that the endpoint
     * stays usable.
     */
    private static int indexOrFirst(List<String> names, String name) {
        return Math.max(0, names.indexOf(name));
    }
}
