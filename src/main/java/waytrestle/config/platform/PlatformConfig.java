package waytrestle.config.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import waytrestle.bench.BenchCodec;
import waytrestle.discovery.watch.WatchEvent;
import waytrestle.discovery.watch.WatchEventReader;
import waytrestle.json.JsonObjectReader;
import waytrestle.json.JsonObjectReader.Malformed;
import waytrestle.scheduler.SchedulerSettings;

/**
 * What the platform tells a controller, the JSON file that {@code BALANCER_CONFIG} names. The
 * settings are read by the reader of the simulator's wire. Idle is how long invokers keep an idle
 * connection, 0 untold.
 */
public record PlatformConfig(
        String name,
        InetSocketAddress listen,
        long seed,
        int sockets,
        InetSocketAddress peerListen,
        Map<Integer, InetSocketAddress> peers,
        InetSocketAddress peersAll,
        InetSocketAddress board,
        long lastNotice,
        List<WatchEvent> known,
        WatchEventReader notices,
        SchedulerSettings settings,
        long idleMicros) {

    /** A wrong file: its name, the field and what is wrong. */
    public static final class Wrong extends Exception {
        private static final long serialVersionUID = 1L;

        Wrong(Path file, String what) {
            super(file + ": " + what);
        }
    }

    public static PlatformConfig read(Path file) throws Wrong {
        try {
            return from(JsonObjectReader.object(Files.readString(file), "the configuration"));
        } catch (IOException e) {
            throw new Wrong(file, "cannot be read: " + e.getMessage());
        } catch (Malformed e) {
            throw new Wrong(file, e.getMessage());
        }
    }

    private static PlatformConfig from(Map<String, Object> root) {
        Map<String, Object> raw = JsonObjectReader.mapOrEmpty(root, "settings");
        WatchEventReader reader = new WatchEventReader(texts(raw, "azs"), texts(raw, "shapes"));
        SchedulerSettings settings = BenchCodec.settings(raw);
        if (settings.classes().isEmpty()) {
            throw new Malformed("settings.lanes is missing or empty");
        }
        Map<String, Object> known = JsonObjectReader.mapOrEmpty(root, "known");
        List<WatchEvent> notices = new ArrayList<>();
        for (Object each : JsonObjectReader.list(known, "notices")) {
            notices.add(reader.readEvent(JsonObjectReader.map(each, "known.notices")));
        }
        Map<Integer, InetSocketAddress> peers = new LinkedHashMap<>();
        for (String each : texts(root, "peers")) {
            peers.put(peers.size(), WatchEventReader.address(each, "peers"));
        }
        peers.remove(settings.controllerIndex());
        return new PlatformConfig(
                JsonObjectReader.text(root, "name"),
                address(root, "listen", true),
                seed(root),
                (int)
                        JsonObjectReader.required(
                                JsonObjectReader.mapOrEmpty(root, "limits"), "sockets"),
                address(root, "peer_listen", false),
                peers,
                address(root, "peers_all", false),
                address(root, "board", true),
                JsonObjectReader.whole(known, "rev"),
                notices,
                reader,
                settings,
                JsonObjectReader.whole(
                        JsonObjectReader.mapOrEmpty(raw, "limits"), "idle_close_us"));
    }

    private static long seed(Map<String, Object> root) {
        try {
            return Long.parseUnsignedLong(JsonObjectReader.requiredText(root, "seed"), 16);
        } catch (NumberFormatException e) {
            throw new Malformed("seed is not a number of up to 16 hex digits");
        }
    }

    private static InetSocketAddress address(
            Map<String, Object> root, String field, boolean needed) {
        String text =
                needed
                        ? JsonObjectReader.requiredText(root, field)
                        : JsonObjectReader.text(root, field);
        return text.isEmpty() ? null : WatchEventReader.address(text, field);
    }

    private static List<String> texts(Map<String, Object> in, String field) {
        List<String> all = new ArrayList<>();
        for (Object each : JsonObjectReader.list(in, field)) {
            if (!(each instanceof String text)) {
                throw new Malformed(field + " must hold texts");
            }
            all.add(text);
        }
        return all;
    }
}
