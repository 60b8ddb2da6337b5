package waytrestle.config.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import waytrestle.discovery.watch.WatchEvent;
import waytrestle.discovery.watch.WatchEventReader;
import waytrestle.json.JsonObject;
import waytrestle.json.MalformedJsonException;
import waytrestle.scheduler.SchedulerSettings;
import waytrestle.settings.SchedulerSettingsReader;

/**
 * The configuration of one controller: the JSON file that {@code BALANCER_CONFIG} names.
 *
 * @param name the controller's name; empty if the file has none
 * @param listenAddress the address at which requests are accepted
 * @param seed the 64-bit seed of the scheduler's random choices
 * @param maxOpenSockets the largest number of sockets that the controller may hold open
 * @param gossipListenAddress the address at which gossip is received, or null
 * @param peerAddresses the addresses of the other controllers for gossip, by controller index
 * @param allPeersAddress an address at which gossip reaches all other controllers, or null
 * @param watchServerAddress the address of the watch stream of service discovery
 * @param knownRevision the revision of the last watch event that the file takes into account
 * @param knownEvents the watch events that the file contains
 * @param eventReader the reader for later watch events, with the zones and invoker kinds of the
 *     file
 * @param invokerIdleTimeoutMicros the time after which invokers close an idle connection, in
 *     microseconds; 0 if not declared
 */
public record PlatformConfig(
        String name,
        InetSocketAddress listenAddress,
        long seed,
        int maxOpenSockets,
        InetSocketAddress gossipListenAddress,
        Map<Integer, InetSocketAddress> peerAddresses,
        InetSocketAddress allPeersAddress,
        InetSocketAddress watchServerAddress,
        long knownRevision,
        List<WatchEvent> knownEvents,
        WatchEventReader eventReader,
        SchedulerSettings settings,
        long invokerIdleTimeoutMicros) {

    private static final int SEED_RADIX = 16;

    /**
     * Thrown if a file cannot be read or is malformed. The message names the file, and the field
     * and the fault in it.
     */
    public static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidConfigException(Path file, String fault) {
            super(file + ": " + fault);
        }
    }

    /**
     * Reads a configuration file.
     *
     * @throws InvalidConfigException if the file cannot be read or is malformed
     */
    public static PlatformConfig read(Path file) throws InvalidConfigException {
        try {
            return from(JsonObject.parse(Files.readString(file), "the configuration"));
        } catch (IOException e) {
            throw new InvalidConfigException(file, "cannot be read: " + e.getMessage());
        } catch (MalformedJsonException e) {
            throw new InvalidConfigException(file, e.getMessage());
        }
    }

    private static PlatformConfig from(JsonObject root) {
        JsonObject rawSettings = root.object("settings");
        WatchEventReader reader =
                new WatchEventReader(rawSettings.texts("azs"), rawSettings.texts("shapes"));
        SchedulerSettings settings = settings(rawSettings);
        JsonObject known = root.object("known");
        List<WatchEvent> knownEvents = knownEvents(known, reader);
        Map<Integer, InetSocketAddress> peers = peers(root, settings.controllerIndex());
        return new PlatformConfig(
                root.text("name"),
                address(root.requiredText("listen"), "listen"),
                seed(root),
                root.object("limits").requiredWholeInt("sockets"),
                optionalAddress(root, "peer_listen"),
                peers,
                optionalAddress(root, "peers_all"),
                address(root.requiredText("board"), "board"),
                known.wholeNumber("rev"),
                knownEvents,
                reader,
                settings,
                rawSettings.object("limits").wholeNumber("idle_close_us"));
    }

    private static SchedulerSettings settings(JsonObject rawSettings) {
        SchedulerSettings settings = SchedulerSettingsReader.read(rawSettings);
        if (settings.classes().isEmpty()) {
            throw new MalformedJsonException("settings.lanes is missing or empty");
        }
        return settings;
    }

    private static List<WatchEvent> knownEvents(JsonObject known, WatchEventReader reader) {
        List<WatchEvent> events = new ArrayList<>();
        for (JsonObject event : known.objects("notices", "known.notices")) {
            events.add(reader.readEvent(event));
        }
        return events;
    }

    /** Returns the addresses of all controllers but this one, by controller index. */
    private static Map<Integer, InetSocketAddress> peers(JsonObject root, int ownIndex) {
        Map<Integer, InetSocketAddress> peers = new LinkedHashMap<>();
        for (String address : root.texts("peers")) {
            peers.put(peers.size(), address(address, "peers"));
        }
        peers.remove(ownIndex);
        return peers;
    }

    private static long seed(JsonObject root) {
        try {
            return Long.parseUnsignedLong(root.requiredText("seed"), SEED_RADIX);
        } catch (NumberFormatException e) {
            throw new MalformedJsonException("seed is not a number of up to 16 hex digits");
        }
    }

    private static InetSocketAddress address(String text, String field) {
        return WatchEventReader.parseAddress(text, field);
    }

    /** Returns an address, or null if the field is absent or empty. */
    private static InetSocketAddress optionalAddress(JsonObject root, String field) {
        String text = root.text(field);
        return text.isEmpty() ? null : address(text, field);
    }
}
