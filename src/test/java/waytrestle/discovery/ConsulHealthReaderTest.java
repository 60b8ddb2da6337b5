package waytrestle.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import waytrestle.discovery.EndpointDirectory.RegisteredEndpoint;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.InvokerEndpoint;

/** Tests which endpoints are read from a response body of Consul's health API. */
class ConsulHealthReaderTest {
    private static final long NOW_MICROS = 10_000_000;
    private static final long NOW_UNIX_MILLIS = 1_700_000_000_000L;

    private final ConsulHealthReader reader =
            new ConsulHealthReader(
                    List.of("east", "west"),
                    List.of("standard", "large"),
                    new StartTimes(() -> NOW_MICROS, () -> NOW_UNIX_MILLIS));

    private Optional<List<RegisteredEndpoint>> read(String body) {
        return reader.read(body.getBytes(StandardCharsets.UTF_8));
    }

    private RegisteredEndpoint readSingleEntry(String entry) {
        List<RegisteredEndpoint> endpoints = read("[" + entry + "]").orElseThrow();
        assertEquals(1, endpoints.size());
        return endpoints.get(0);
    }

    @Test
    void completeEntryIsReadWithAllItsFields() {
        RegisteredEndpoint read =
                readSingleEntry(
                        """
                        {"Service": {"Address": "10.0.0.1", "Port": 80, "CreateIndex": 7,
                          "Weights": {"Passing": 2.5},
                          "Meta": {"zone": "west", "cell": "3", "kind": "large",
                            "started_ms": "1699999997000"}},
                         "Checks": [{"Status": "passing"}]}\
                        """);
        InvokerEndpoint expected =
                new InvokerEndpoint("10.0.0.1:80", 1, 3, 1, EndpointState.READY, 2.5, 7_000_000);
        assertEquals(new RegisteredEndpoint(expected, 7), read);
    }

    @Test
    void missingFieldsGetDefaultsAndUnknownZonesAndKindsCountAsTheFirst() {
        RegisteredEndpoint read =
                readSingleEntry(
                        """
                        {"CreateIndex": 4, "Node": {"Address": "::1"},
                         "Service": {"Port": 80, "Meta": {"zone": "north", "kind": "small"}}}\
                        """);
        InvokerEndpoint expected =
                new InvokerEndpoint("[0:0:0:0:0:0:0:1]:80", 0, 0, 0, EndpointState.READY, 1, 0);
        assertEquals(new RegisteredEndpoint(expected, 4), read);
    }

    @Test
    void endpointWithACriticalCheckIsDraining() {
        RegisteredEndpoint read =
                readSingleEntry(
                        """
                        {"Service": {"Address": "10.0.0.1", "Port": 80},
                         "Checks": [{"Status": "passing"}, {"Status": "critical"}]}\
                        """);
        assertEquals(EndpointState.DRAINING, read.endpoint().state());
    }

    @Test
    void entryWithAHostNameOrWithoutAnAddressIsLeftOut() {
        String body =
                """
                [{"Service": {"Address": "invoker.example", "Port": 80}},
                 {"Service": {"Port": 80}}]\
                """;
        assertEquals(Optional.of(List.of()), read(body));
    }

    @Test
    void bodyThatIsNotAJsonArrayGivesNoList() {
        assertTrue(read("").isEmpty());
        assertTrue(read("{}").isEmpty());
        assertTrue(read("[{").isEmpty());
    }
}
