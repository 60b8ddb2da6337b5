package waytrestle.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import waytrestle.play.Scenario;
import waytrestle.scheduler.DeduplicationScope;
import waytrestle.scheduler.Idempotency;

/**
 * Tests that configuration files are read, and that all errors of a file are reported at once with
 * their lines and keys.
 */
class ConfigTest {
    private static final Path EXAMPLE = Path.of("deploy/gateway.example.toml");

    private static List<String> errors(String text) {
        return assertThrows(
                        ConfigException.class,
                        () -> TomlFile.parse(text, "g.toml", GatewayConfig::from))
                .errors();
    }

    private static String example() throws Exception {
        return Files.readString(EXAMPLE);
    }

    private static int lineOf(String text, String part) {
        return 1
                + (int)
                        text.substring(0, text.indexOf(part))
                                .chars()
                                .filter(character -> character == '\n')
                                .count();
    }

    @Test
    void exampleFileIsReadWithTheValuesItContains() throws Exception {
        GatewayConfig config = GatewayConfig.read(EXAMPLE);
        assertEquals(3, config.schedulerSettings().classes().size());
        assertEquals(Idempotency.KEYED, config.schedulerSettings().classes().get(1).idempotency());
        assertEquals(
                DeduplicationScope.CELL,
                config.schedulerSettings().classes().get(1).deduplicationScope());
        assertEquals(
                8_000_000, config.schedulerSettings().classes().get(1).deduplicationWindowMicros());
        assertEquals(500_000, config.schedulerSettings().rules().drainGraceMicros());
        assertEquals(8080, config.listenAddress().getPort());
        assertEquals(1_400_000, config.functions().get("charge").loadMicros());
        assertEquals("/data/function", config.webhookEndpoints().get(0).functionPointer());
    }

    @Test
    void keysLeftOutDefaultToTheValuesOfTheExampleFile() throws Exception {
        GatewayConfig example = GatewayConfig.read(EXAMPLE);
        StringBuilder textWithoutOptionalKeys = new StringBuilder();
        String section = "";
        for (String line : example().lines().toList()) {
            section = line.startsWith("[") ? line : section;
            boolean optionalSection =
                    section.startsWith("[http]")
                            || section.startsWith("[ids]")
                            || section.startsWith("[invokers]")
                            || section.startsWith("[edge]")
                            || section.startsWith("[overload]")
                            || section.startsWith("[stop]")
                            || section.startsWith("[faults]");
            if (!(optionalSection && line.contains("=") && !line.startsWith("["))
                    && !line.contains("# (bound)")) {
                textWithoutOptionalKeys.append(line).append('\n');
            }
        }
        GatewayConfig defaults =
                TomlFile.parse(textWithoutOptionalKeys.toString(), "g.toml", GatewayConfig::from);
        assertEquals(example.httpLimits(), defaults.httpLimits());
        assertEquals(example.idempotencyBounds(), defaults.idempotencyBounds());
        assertEquals(example.invokerConnections(), defaults.invokerConnections());
        assertEquals(example.discovery(), defaults.discovery());
        assertEquals(example.shutdownGraceMicros(), defaults.shutdownGraceMicros());
        assertEquals(example.failureLimit(), defaults.failureLimit());
        assertEquals(example.connectionLimits(), defaults.connectionLimits());
        assertEquals(example.overload(), defaults.overload());
        assertEquals(example.tenantLimits(), defaults.tenantLimits());
        assertEquals(example.maxConnections(), defaults.maxConnections());
    }

    @Test
    void fileWithSixErrorsReportsAllOfThemWithLineAndKey() throws Exception {
        String text =
                example()
                        .replace("repeat = \"safe\"", "repeat = \"sometimes\"")
                        .replace("cold_share = 0.24", "cold_share = 24")
                        .replace("max_open = 20000", "max_opn = 20000")
                        .replace("address = \"127.0.0.1:8080\"", "address = \"localhost:8080\"")
                        .replace("class = \"seat-charge\"", "class = \"seat-chrg\"");
        List<String> errors = errors(text);
        assertEquals(6, errors.size(), errors.toString());
        assertTrue(
                errors.get(0)
                        .startsWith(
                                "g.toml:"
                                        + lineOf(text, "address = \"localhost")
                                        + ": listen.address: "
                                        + "must be a numeric address:port"),
                errors.get(0));
        assertTrue(
                errors.get(1)
                        .contains(
                                "class[0].repeat: must be one of [safe, keyed, unsafe], not"
                                        + " \"sometimes\""));
        assertTrue(
                errors.get(2)
                        .contains("endpoint[1].class: names an undefined class: \"seat-chrg\""));
        assertTrue(
                errors.stream().anyMatch(error -> error.contains("limits.max_open: is missing")));
        assertTrue(
                errors.stream()
                        .anyMatch(
                                error ->
                                        error.startsWith(
                                                "g.toml:"
                                                        + lineOf(text, "max_opn")
                                                        + ": limits.max_opn: is unknown; known"
                                                        + " here: max_attempts, max_open")));
        assertTrue(
                errors.stream()
                        .anyMatch(
                                error ->
                                        error.contains(
                                                "rules.cold_share: must lie from 0 to 1, not 24")));
    }

    @Test
    void invalidSecretIsReportedWithoutItsText() throws Exception {
        String tooShort = "whsec_c2hvcnQ=";
        List<String> errors =
                errors(example().replace("whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw", tooShort));
        assertTrue(errors.get(0).contains("must hold 24 to 64 bytes, not 5"), errors.get(0));
        assertFalse(errors.toString().contains(tooShort));
        assertTrue(SecretFormat.describeError("whpk_AAAA").contains("32 bytes"));
        assertTrue(SecretFormat.describeError("secret").contains("must begin with"));
        assertTrue(SecretFormat.describeError("whsec_*").contains("base64"));
    }

    @Test
    void missingOrContradictorySettingIsReported() throws Exception {
        assertTrue(
                errors(example().replace("group = \"cell\"", ""))
                        .get(0)
                        .contains("class[1].group: is missing"));
        assertTrue(
                errors(example().replace("repeat = \"keyed\"", "repeat = \"unsafe\""))
                        .get(0)
                        .contains("is allowed only in a class with repeat = \"keyed\""));
        assertTrue(
                errors(example().replace("number = 0 ", "number = 2 "))
                        .get(0)
                        .contains("must be below"));
        assertTrue(
                errors(example().replace("address = \"127.0.0.1:8500\"", ""))
                        .get(0)
                        .contains("[[invoker]]"));
        assertTrue(
                errors(example().replace("connect_timeout_ms = 250", "connect_timeout_ms = 500"))
                        .get(0)
                        .contains("rules.drain_grace_ms"));
        assertTrue(errors("[controller").get(0).startsWith("g.toml:1: "));
        assertTrue(errors("").size() > 10);
    }

    @Test
    void invalidNetworkOrKeyHashIsReportedAndNetworkSetContainsAddressesByPrefix()
            throws Exception {
        assertTrue(
                errors(example().replace("barred = []", "barred = [\"10.0.0.0/33\", \"host\"]"))
                        .get(0)
                        .contains("edge.barred: must hold networks"));
        assertTrue(
                errors(example().replace("sha256 = \"8f", "sha256 = \"XX"))
                        .get(0)
                        .contains("kserve.key[0].sha256: must be the SHA-256"));
        NetworkSet networks = new NetworkSet(List.of("10.1.0.0/16", "2001:db8::/32", "192.0.2.7"));
        for (String inside :
                new String[] {"10.1.2.3", "2001:db8::5", "192.0.2.7", "::ffff:10.1.9.9"}) {
            assertTrue(networks.contains(InetAddress.getByName(inside)), inside);
        }
        for (String outside : new String[] {"10.2.0.1", "2001:db9::1", "192.0.2.8"}) {
            assertFalse(networks.contains(InetAddress.getByName(outside)), outside);
        }
        assertEquals(
                "10.1.2.0/24", NetworkSet.networkOf(InetAddress.getByName("10.1.2.3"), 24, 64));
        assertEquals(
                "2001:db8::/64",
                NetworkSet.networkOf(InetAddress.getByName("2001:db8::5"), 24, 64));
    }

    @Test
    void parseAddressAcceptsOnlyNumericAddressWithPort() {
        assertEquals(
                "127.0.0.1:80",
                GatewayConfig.invokerId(GatewayConfig.parseAddress("127.0.0.1:80")));
        assertEquals(443, GatewayConfig.parseAddress("[::1]:443").getPort());
        for (String invalid :
                new String[] {
                    "",
                    "80",
                    ":80",
                    "host:80",
                    "127.0.0.1:",
                    "127.0.0.1:99999",
                    "1.2.3:80",
                    "999.1.1.1:80",
                    "[::1:80",
                    "::1:80"
                }) {
            assertNull(GatewayConfig.parseAddress(invalid), invalid);
        }
    }

    @Test
    void deployedScenariosAreReadAndUnknownFaultKindIsReported() throws Exception {
        for (Path file : Files.list(Path.of("deploy/scenarios")).sorted().toList()) {
            Scenario scenario = Scenario.read(file);
            assertTrue(
                    scenario.lengthMicros() > 0 && !scenario.gateway().isEmpty(), file.toString());
        }
        List<String> errors =
                assertThrows(
                                ConfigException.class,
                                () ->
                                        TomlFile.parse(
                                                "[play]\n"
                                                        + "seconds = 0\n"
                                                        + "seed = 1\n"
                                                        + "controllers = 1\n"
                                                        + "[[trouble]]\n"
                                                        + "kind = \"flood\"\n"
                                                        + "at_s = 1\n",
                                                "s.toml",
                                                Scenario::from))
                        .errors();
        assertTrue(
                errors.stream()
                        .anyMatch(
                                error ->
                                        error.startsWith(
                                                "s.toml:6: trouble[0].kind: must be one of"
                                                        + " [deploy,")));
    }
}
