package waytrestle.play;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.Writer;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import waytrestle.audit.Audit;
import waytrestle.audit.AuditTest;
import waytrestle.config.GatewayConfig;

/** The short bad day against real gateway processes. */
class PlayTest {
    @Test
    void theShortBadDayKeepsAllFiveRules(@TempDir Path dir) throws Exception {
        Scenario day = Scenario.read(Path.of("deploy/scenarios/short-bad-day.toml"));
        new Play(day, dir, new Processes(dir, "finish"), new PrintWriter(Writer.nullWriter()))
                .run();
        Audit.Verdict v =
                Audit.of(
                        dir.resolve(Evidence.FILE),
                        GatewayConfig.read(dir.resolve("gateway-0.toml")).schedulerSettings(),
                        AuditTest.STALLS);
        assertTrue(v.kept(), v.text());
        assertTrue(v.calls() > 2_000, v.text());
        assertEquals(0, v.counts().values().stream().mapToInt(n -> n).sum());
    }
}
