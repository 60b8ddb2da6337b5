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
 * Configurations: the example loads as it says, and faults are told all at once with their lines.
 */
class ConfigTest {
    private static final Path EXAMPLE = Path.of("deploy/gateway.example.toml");

    private static List<String> faults(String text) {
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
                                .filter(c -> c == '\n')
                                .count();
    }

    @Test
    void theAnnotatedExampleLoads() throws Exception {
        GatewayConfig c = GatewayConfig.read(EXAMPLE);
        assertEquals(3, c.schedulerSettings().classes().size());
        assertEquals(Idempotency.KEYED, c.schedulerSettings().classes().get(1).idempotency());
        assertEquals(
                DeduplicationScope.CELL,
                c.schedulerSettings().classes().get(1).deduplicationScope());
        assertEquals(8_000_000, c.schedulerSettings().classes().get(1).deduplicationWindowMicros());
        assertEquals(500_000, c.schedulerSettings().rules().drainGraceMicros());
        assertEquals(8080, c.listenAddress().getPort());
        assertEquals(1_400_000, c.functions().get("charge").loadMicros());
        assertEquals("/data/function", c.webhookEndpoints().get(0).functionPointer());
    }

    @Test
    void theExampleShowsTheDefaultsOfItsBounds() throws Exception {
        GatewayConfig given = GatewayConfig.read(EXAMPLE);
        StringBuilder without = new StringBuilder();
        String section = "";
        for (String line : example().lines().toList()) {
            section = line.startsWith("[") ? line : section;
            boolean bounds =
                    section.startsWith("[http]")
                            || section.startsWith("[ids]")
                            || section.startsWith("[invokers]")
                            || section.startsWith("[edge]")
                            || section.startsWith("[overload]")
                            || section.startsWith("[stop]")
                            || section.startsWith("[faults]");
            if (!(bounds && line.contains("=") && !line.startsWith("["))
                    && !line.contains("# (bound)")) {
                without.append(line).append('\n');
            }
        }
        GatewayConfig left = TomlFile.parse(without.toString(), "g.toml", GatewayConfig::from);
        assertEquals(given.httpLimits(), left.httpLimits());
        assertEquals(given.idempotencyBounds(), left.idempotencyBounds());
        assertEquals(given.invokerConnections(), left.invokerConnections());
        assertEquals(given.discovery(), left.discovery());
        assertEquals(given.shutdownGraceMicros(), left.shutdownGraceMicros());
        assertEquals(given.failureLimit(), left.failureLimit());
        assertEquals(given.connectionLimits(), left.connectionLimits());
        assertEquals(given.overload(), left.overload());
        assertEquals(given.tenantLimits(), left.tenantLimits());
        assertEquals(given.maxConnections(), left.maxConnections());
    }

    @Test
    void everyFaultIsToldAtOnceWithItsLineAndKey() throws Exception {
        String text =
                example()
                        .replace("repeat = \"safe\"", "repeat = \"sometimes\"")
                        .replace("cold_share = 0.24", "cold_share = 24")
                        .replace("max_open = 20000", "max_opn = 20000")
                        .replace("address = \"127.0.0.1:8080\"", "address = \"localhost:8080\"")
                        .replace("class = \"seat-charge\"", "class = \"seat-chrg\"");
        List<String> all = faults(text);
        assertEquals(6, all.size(), all.toString());
        assertTrue(
                all.get(0)
                        .startsWith(
                                "g.toml:"
                                        + lineOf(text, "address = \"localhost")
                                        + ": listen.address: "
                                        + "must be address:port in figures"),
                all.get(0));
        assertTrue(
                all.get(1)
                        .contains(
                                "class[0].repeat: must be one of [safe, keyed, unsafe], not"
                                        + " \"sometimes\""));
        assertTrue(all.get(2).contains("endpoint[1].class: names no class: \"seat-chrg\""));
        assertTrue(all.stream().anyMatch(f -> f.contains("limits.max_open: is missing")));
        assertTrue(
                all.stream()
                        .anyMatch(
                                f ->
                                        f.startsWith(
                                                "g.toml:"
                                                        + lineOf(text, "max_opn")
                                                        + ": limits.max_opn: is unknown; known"
                                                        + " here: max_attempts, max_open")));
        assertTrue(
                all.stream()
                        .anyMatch(
                                f -> f.contains("rules.cold_share: must lie from 0 to 1, not 24")));
    }

    @Test
    void secretsAreCheckedAndNeverRepeated() throws Exception {
        String bad = "whsec_c2hvcnQ=";
        List<String> all = faults(example().replace("whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw", bad));
        assertTrue(all.get(0).contains("must hold 24 to 64 bytes, not 5"), all.get(0));
        assertFalse(all.toString().contains(bad));
        assertTrue(SecretFormat.describeError("whpk_AAAA").contains("32 bytes"));
        assertTrue(SecretFormat.describeError("secret").contains("must begin with"));
        assertTrue(SecretFormat.describeError("whsec_*").contains("base64"));
    }

    @Test
    void whatContradictsItselfIsRefused() throws Exception {
        assertTrue(
                faults(example().replace("group = \"cell\"", ""))
                        .get(0)
                        .contains("class[1].group: is missing"));
        assertTrue(
                faults(example().replace("repeat = \"keyed\"", "repeat = \"unsafe\""))
                        .get(0)
                        .contains("only a keyed class has one"));
        assertTrue(
                faults(example().replace("number = 0 ", "number = 2 "))
                        .get(0)
                        .contains("must be below"));
        assertTrue(
                faults(example().replace("address = \"127.0.0.1:8500\"", ""))
                        .get(0)
                        .contains("[[invoker]]"));
        assertTrue(
                faults(example().replace("connect_timeout_ms = 250", "connect_timeout_ms = 500"))
                        .get(0)
                        .contains("rules.drain_grace_ms"));
        assertTrue(faults("[controller").get(0).startsWith("g.toml:1: "));
        assertTrue(faults("").size() > 10);
    }

    @Test
    void networksAndKeysAreChecked() throws Exception {
        assertTrue(
                faults(example().replace("barred = []", "barred = [\"10.0.0.0/33\", \"host\"]"))
                        .get(0)
                        .contains("edge.barred: must hold networks"));
        assertTrue(
                faults(example().replace("sha256 = \"8f", "sha256 = \"XX"))
                        .get(0)
                        .contains("kserve.key[0].sha256: must be the SHA-256"));
        NetworkSet set = new NetworkSet(List.of("10.1.0.0/16", "2001:db8::/32", "192.0.2.7"));
        for (String in : new String[] {"10.1.2.3", "2001:db8::5", "192.0.2.7", "::ffff:10.1.9.9"}) {
            assertTrue(set.contains(InetAddress.getByName(in)), in);
        }
        for (String out : new String[] {"10.2.0.1", "2001:db9::1", "192.0.2.8"}) {
            assertFalse(set.contains(InetAddress.getByName(out)), out);
        }
        assertEquals(
                "10.1.2.0/24", NetworkSet.networkOf(InetAddress.getByName("10.1.2.3"), 24, 64));
        assertEquals(
                "2001:db8::/64",
                NetworkSet.networkOf(InetAddress.getByName("2001:db8::5"), 24, 64));
    }

    @Test
    void addressesAreFiguresAlone() {
        assertEquals(
                "127.0.0.1:80",
                GatewayConfig.invokerId(GatewayConfig.parseAddress("127.0.0.1:80")));
        assertEquals(443, GatewayConfig.parseAddress("[::1]:443").getPort());
        for (String bad :
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
            assertNull(GatewayConfig.parseAddress(bad), bad);
        }
    }

    @Test
    void theScenariosLoad() throws Exception {
        for (Path each : Files.list(Path.of("deploy/scenarios")).sorted().toList()) {
            Scenario s = Scenario.read(each);
            assertTrue(s.lengthMicros() > 0 && !s.gateway().isEmpty(), each.toString());
        }
        List<String> all =
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
                all.stream()
                        .anyMatch(
                                f ->
                                        f.startsWith(
                                                "s.toml:6: trouble[0].kind: must be one of"
                                                        + " [deploy,")));
    }
}
