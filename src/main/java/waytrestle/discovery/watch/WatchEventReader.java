package waytrestle.discovery.watch;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import waytrestle.json.JsonObjectReader;
import waytrestle.json.JsonObjectReader.Malformed;
import waytrestle.scheduler.EndpointState;

/** Reads the notice board's lines: an event as JSON, or the number of the last one alone. */
public final class WatchEventReader {
    private final List<String> zones, kinds;

    public WatchEventReader(List<String> zones, List<String> kinds) {
        this.zones = zones;
        this.kinds = kinds;
    }

    /** An event; a line that holds a number alone gives one without hosts, null for those. */
    public WatchEvent readLine(String text) {
        String line = text.trim();
        if (!line.startsWith("{")) {
            try {
                return new WatchEvent(Long.parseLong(line), false, null);
            } catch (NumberFormatException e) {
                throw new Malformed("a line of the notice board is neither an event nor a number");
            }
        }
        return readEvent(JsonObjectReader.object(line, "a line of the notice board"));
    }

    public WatchEvent readEvent(Map<String, Object> event) {
        long number = JsonObjectReader.required(event, "rev");
        Map<String, Object> pool = JsonObjectReader.mapOrEmpty(event, "pool");
        List<WatchEvent.Endpoint> hosts = new ArrayList<>();
        for (Object each : JsonObjectReader.list(pool, "hosts")) {
            hosts.add(host(JsonObjectReader.map(each, "hosts")));
        }
        return new WatchEvent(number, JsonObjectReader.flag(pool, "whole"), hosts);
    }

    private WatchEvent.Endpoint host(Map<String, Object> h) {
        EndpointState state =
                switch (JsonObjectReader.requiredText(h, "health")) {
                    case "Ready" -> EndpointState.READY;
                    case "Terminating" -> EndpointState.DRAINING;
                    case "Gone" -> EndpointState.GONE;
                    default ->
                            throw new Malformed(
                                    "health is unknown: " + JsonObjectReader.text(h, "health"));
                };
        return new WatchEvent.Endpoint(
                JsonObjectReader.requiredText(h, "host"),
                address(JsonObjectReader.requiredText(h, "dial"), "dial"),
                Math.max(0, zones.indexOf(JsonObjectReader.text(h, "site"))),
                (int) JsonObjectReader.whole(h, "block"),
                Math.max(0, kinds.indexOf(JsonObjectReader.text(h, "class"))),
                state,
                h.containsKey("share") ? JsonObjectReader.number(h, "share") : 1,
                JsonObjectReader.whole(h, "born_ms"));
    }

    /** An IPv4 address in figures with its port; names are never looked up. */
    public static InetSocketAddress address(String text, String field) {
        int colon = text.lastIndexOf(':');
        try {
            String[] parts = text.substring(0, Math.max(0, colon)).split("\\.", -1);
            byte[] raw = new byte[4];
            for (int i = 0; i < 4; i++) {
                int part = Integer.parseInt(parts[i]);
                if (parts.length != 4 || part < 0 || part > 255) {
                    throw new NumberFormatException();
                }
                raw[i] = (byte) part;
            }
            return new InetSocketAddress(
                    InetAddress.getByAddress(raw), Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException | IndexOutOfBoundsException | UnknownHostException e) {
            throw new Malformed(field + " is no address in figures with a port: " + text);
        }
    }
}
