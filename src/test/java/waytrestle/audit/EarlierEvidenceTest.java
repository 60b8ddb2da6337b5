package waytrestle.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import waytrestle.config.GatewayConfig;
import waytrestle.play.Evidence;
import waytrestle.play.Scenario;

/** Files that an earlier version wrote, before names in the program changed, are read as then. */
class EarlierEvidenceTest {
    private static final Path EARLIER = Path.of("src/test/resources/earlier/emulated-day");

    @Test
    void evidenceAndConfigurationOfAnEarlierVersionAreJudgedAsTheyWereThen() throws Exception {
        GatewayConfig config = GatewayConfig.read(EARLIER.resolve("gateway-0.toml"));
        Audit.Verdict verdict =
                Audit.of(EARLIER.resolve(Evidence.FILE), config.schedulerSettings());
        assertEquals(Files.readString(EARLIER.resolve("verdict.txt")), verdict.text());
        assertTrue(verdict.kept());
    }

    @Test
    void aScenarioOfAnEarlierVersionIsRead() throws Exception {
        assertEquals(3, Scenario.read(EARLIER.resolve("scenario.toml")).seed());
    }
}
