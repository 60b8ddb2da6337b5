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
 * Reads the lines of a watch stream: a watch event as JSON, or the number of the last one alone.
 *
 * <p>Immutable: may be used by any thread.
 */
public final class WatchEventReader {
    private static final int IPV4_BYTES = 4;
    private static final int MAX_BYTE = 255;

    /** The weight of an invoker that is listed without one. */
    private static final double DEFAULT_WEIGHT = 1;

    private final List<String> zones;
    private final List<String> kinds;

    /**
     * Creates a reader.
     *
     * @param zones the zones by index; a zone that is not among them reads as the first
     * @param kinds the kinds of invokers by index, read likewise
     */
    public WatchEventReader(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /**
     * Reads a line of the stream. The endpoints are null for a line that holds a revision alone, as
     * a number or as an event without endpoints: a heartbeat.
     *
     * @throws MalformedJsonException if the line is neither an event nor a number
     */
    public WatchEvent readLine(String text) {
        String line = text.trim();
        if (line.startsWith("{")) {
            JsonObject object = JsonObject.parse(line, "a line of the notice board");
            boolean heartbeat = !object.has("pool");
            return heartbeat ? heartbeat(object.requiredWholeNumber("rev")) : readEvent(object);
        }
        try {
            return heartbeat(Long.parseLong(line));
        } catch (NumberFormatException e) {
            throw new MalformedJsonException(
                    "a line of the notice board is neither an event nor a number");
        }
    }

    private static WatchEvent heartbeat(long revision) {
        return new WatchEvent(revision, false, null);
    }

    /**
     * Reads one event.
     *
     * @throws MalformedJsonException if a member is missing, of the wrong type or out of its range
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
            default -> throw new MalformedJsonException("health is unknown: " + health);
        };
    }

    private static int indexOrFirst(List<String> names, String name) {
        return Math.max(0, names.indexOf(name));
    }

    /**
     * Reads an IPv4 address in figures with its port. Names are refused: nothing is looked up.
     *
     * @param field names the address in the message of an error
     * @throws MalformedJsonException if the text is no such address
     */
    public static InetSocketAddress parseAddress(String text, String field) {
        int colon = text.lastIndexOf(':');
        try {
            byte[] host = ipv4(text.substring(0, Math.max(0, colon)));
            int port = Integer.parseInt(text.substring(colon + 1));
            return new InetSocketAddress(InetAddress.getByAddress(host), port);
        } catch (IllegalArgumentException | UnknownHostException e) {
            throw new MalformedJsonException(
                    field + " is no address in figures with a port: " + text);
        }
    }

    private static byte[] ipv4(String text) {
        String[] parts = text.split("\\.", -1);
        if (parts.length != IPV4_BYTES) {
            throw new NumberFormatException();
        }
        byte[] address = new byte[IPV4_BYTES];
        for (int i = 0; i < IPV4_BYTES; i++) {
            int part = Integer.parseInt(parts[i]);
            if (part < 0 || part > MAX_BYTE) {
                throw new NumberFormatException();
            }
            address[i] = (byte) part;
        }
        return address;
    }
}
