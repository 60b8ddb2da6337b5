package waytrestle.discovery.watch;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import waytrestle.json.JsonObject;
import waytrestle.json.MalformedJsonException;
import waytrestle.scheduler.EndpointState;

/**
 * Reads the lines of the watch stream. An event is a JSON object; a heartbeat is a JSON object
 * without endpoints or a bare revision.
 *
 * <p>Immutable: may be used by any thread.
 */
public final class WatchEventReader {
    private static final int IPV4_BYTES = 4;
    private static final int MAX_BYTE_VALUE = 255;

    /** Weight of an invoker that is listed without a weight. */
    private static final double DEFAULT_WEIGHT = 1;

    private final List<String> zones;
    private final List<String> kinds;

    /**
     * Creates a reader.
     *
     * @param zones names of the configured zones, by index; an unknown zone counts as the first
     * @param kinds names of the configured kinds of invoker, by index; an unknown kind counts as
     *     the first
     */
    public WatchEventReader(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /**
     * Reads a line of the watch stream: an event or a heartbeat. A heartbeat is a bare revision or
     * a JSON object without endpoints, that is, without the member {@code pool}.
     *
     * @throws MalformedJsonException if the line is neither a valid event nor a heartbeat
     */
    public WatchEvent readLine(String text) {
        String line = text.trim();
        if (line.startsWith("{")) {
            JsonObject object = JsonObject.parse(line, "a line of the watch stream");
            boolean heartbeat = !object.has("pool");
            return heartbeat ? heartbeat(object.requiredWholeNumber("rev")) : readEvent(object);
        }
        try {
            return heartbeat(Long.parseLong(line));
        } catch (NumberFormatException e) {
            throw new MalformedJsonException(
                    "a line of the watch stream is neither a JSON object nor a revision");
        }
    }

    private static WatchEvent heartbeat(long revision) {
        return new WatchEvent(revision, false, null);
    }

    /**
     * Reads an event that has endpoints.
     *
     * @throws MalformedJsonException if a required member is missing, or one has the wrong type or
     *     an invalid value
     */
    public WatchEvent readEvent(JsonObject event) {
        long revision = event.requiredWholeNumber("rev");
        JsonObject pool = event.object("pool");
        List<WatchEvent.Endpoint> endpoints = new ArrayList<>();
        for (JsonObject host : pool.objects("hosts")) {
            endpoints.add(readEndpoint(host));
        }
        return new WatchEvent(revision, pool.flag("whole"), endpoints);
    }

    private WatchEvent.Endpoint readEndpoint(JsonObject host) {
        EndpointState state = readState(host);
        return new WatchEvent.Endpoint(
                host.requiredText("host"),
                parseAddress(host.requiredText("dial"), "dial"),
                indexOrFirst(zones, host.text("site")),
                host.wholeInt("block"),
                indexOrFirst(kinds, host.text("class")),
                state,
                host.numberOrDefault("share", DEFAULT_WEIGHT),
                host.wholeNumber("born_ms"));
    }

    private static EndpointState readState(JsonObject host) {
        String health = host.requiredText("health");
        return switch (health) {
            case "Ready" -> EndpointState.READY;
            case "Terminating" -> EndpointState.DRAINING;
            case "Gone" -> EndpointState.GONE;
            default -> throw new MalformedJsonException("unknown health: " + health);
        };
    }

    /** Returns the index of a name, or 0 if the name is not configured. */
    private static int indexOrFirst(List<String> names, String name) {
        return Math.max(0, names.indexOf(name));
    }

    /**
     * Reads an IPv4 address with a port, such as {@code 127.0.0.1:8080}. Host names are rejected: a
     * look-up would block.
     *
     * @param field name of the field that holds the text, for the error message
     * @throws MalformedJsonException if the text is not an IPv4 address with a port
     */
    public static InetSocketAddress parseAddress(String text, String field) {
        int colon = text.lastIndexOf(':');
        try {
            byte[] host = parseIpv4(text.substring(0, Math.max(0, colon)));
            int port = Integer.parseInt(text.substring(colon + 1));
            return new InetSocketAddress(InetAddress.getByAddress(host), port);
        } catch (IllegalArgumentException | UnknownHostException e) {
            throw new MalformedJsonException(
                    field + " is not an IPv4 address with a port: " + text);
        }
    }

    private static byte[] parseIpv4(String text) {
        String[] parts = text.split("\\.", -1);
        if (parts.length != IPV4_BYTES) {
            throw new NumberFormatException();
        }
        byte[] address = new byte[IPV4_BYTES];
        for (int i = 0; i < IPV4_BYTES; i++) {
            int part = Integer.parseInt(parts[i]);
            if (part < 0 || part > MAX_BYTE_VALUE) {
                throw new NumberFormatException();
            }
            address[i] = (byte) part;
        }
        return address;
    }
}
