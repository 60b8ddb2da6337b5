package waytrestle.load;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import waytrestle.config.ConfigException;
import waytrestle.config.GatewayConfig;
import waytrestle.config.SecretFormat;
import waytrestle.config.Section;
import waytrestle.config.TomlFile;

/**
 * What a load run sends: streams of calls side by side, at rates that go in stages. Times are
 * micros.
 */
public record LoadPlan(long seed, int connections, List<Stage> stages, List<Stream> streams) {
    /**
     * The way calls are made: as signed webhooks, by the KServe front, or straight to an invoker.
     */
    public enum Front {
        WEBHOOK,
        KSERVE,
        INVOKER
    }

    /** The rate goes evenly from one to the other, in calls a second over all streams. */
    public record Stage(double from, double to, long micros) {}

    /**
     * Calls alike: where to, as whom, for which functions (NAME-0 and on, by rank to the power of
     * -zipf).
     */
    public record Stream(
            String name,
            Front front,
            List<InetSocketAddress> at,
            String path,
            String credential,
            String function,
            int functions,
            double zipf,
            double share,
            int payloadBytes,
            double workMs,
            long aimMicros,
            long deadlineMicros,
            double retryShare) {}

    public static LoadPlan read(Path file) throws ConfigException {
        return TomlFile.read(file, LoadPlan::from);
    }

    public static LoadPlan from(Section root) {
        Section load = root.subsection("load");
        List<Stage> stages = new ArrayList<>();
        for (Section s : root.subsections("stage")) {
            double from = s.number("from_per_s", 0, 1e6);
            stages.add(
                    new Stage(
                            from,
                            s.number("to_per_s", 0, 1e6, from),
                            s.microsFromMillis("seconds", 0.001, 86_400) * 1_000));
        }
        if (stages.isEmpty()) {
            root.addError("stage", "at least one [[stage]] is needed");
        }
        List<Stream> streams = new ArrayList<>();
        for (Section s : root.subsections("stream")) {
            List<InetSocketAddress> at = new ArrayList<>();
            for (String each : s.texts("at")) {
                InetSocketAddress address = GatewayConfig.parseAddress(each);
                if (address == null || !address.getAddress().isLoopbackAddress()) {
                    s.addError(
                            "at",
                            "must hold loopback address:port in figures, not \"" + each + "\"");
                } else {
                    at.add(address);
                }
            }
            if (at.isEmpty()) {
                s.addError("at", "at least one address is needed");
            }
            Front front = s.choice("front", Front.class);
            String credential = s.text("credential", "");
            if (front == Front.WEBHOOK
                    && (credential.isEmpty() || SecretFormat.describeError(credential) != null)) {
                s.addError("credential", "a webhook stream needs its whsec_ secret");
            }
            streams.add(
                    new Stream(
                            s.text("name"),
                            front,
                            at,
                            s.text("path", ""),
                            credential,
                            s.text("function"),
                            (int) s.integer("functions", 1, 1_000_000, 1),
                            s.number("zipf", 0, 10, 1),
                            s.number("share", 0, 1e6, 1),
                            (int) s.integer("payload_bytes", 0, 1 << 28, 256),
                            s.number("work_ms", 0, 600_000, 1),
                            s.microsFromMillis("aim_ms", 1, 600_000, 800),
                            s.microsFromMillis("deadline_ms", 1, 600_000, 5_000),
                            s.number("retry_share", 0, 1, 0)));
        }
        if (streams.isEmpty()) {
            root.addError("stream", "at least one [[stream]] is needed");
        }
        return new LoadPlan(
                load.integer("seed", Long.MIN_VALUE, Long.MAX_VALUE, 1),
                (int) load.integer("connections", 1, 60_000, 2_000),
                stages,
                streams);
    }
}
