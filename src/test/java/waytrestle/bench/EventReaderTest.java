package waytrestle.bench;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import waytrestle.json.JsonObject;
import waytrestle.json.MalformedJsonException;
import waytrestle.scheduler.EndpointState;
import waytrestle.scheduler.InvokerEndpoint;
import waytrestle.scheduler.ResponseCode;
import waytrestle.scheduler.SchedulerEvent;
import waytrestle.scheduler.SchedulerSettings;
import waytrestle.scheduler.SchedulerTimer;
import waytrestle.scheduler.StartKind;
import waytrestle.settings.SchedulerSettingsReader;

/** Checks the scheduler events that are read from the messages of the bench. */
class EventReaderTest {
    private static final String REPORTS_CONCURRENCY =
            "{\"lanes\": [{\"name\": \"c\"}], \"domain\": {\"says_company\": true}}";

    private final EndpointLists endpointLists = new EndpointLists();
    private SchedulerSettings settings;

    @BeforeEach
    void readSettings() {
        settings = SchedulerSettingsReader.read(parse(REPORTS_CONCURRENCY));
    }

    private static JsonObject parse(String json) {
        return JsonObject.parse(json, "the test message");
    }

    private SchedulerEvent read(String json) {
        JsonObject message = parse(json);
        return EventReader.read(message.text("what"), message, endpointLists, settings);
    }

    private void assertMalformed(String expectedMessage, String json) {
        assertEquals(
                expectedMessage,
                assertThrows(MalformedJsonException.class, () -> read(json)).getMessage());
    }

    @Test
    void endpointUpdateIsReadWithItsModeAndTheListOfItsId() {
        endpointLists.store(
                parse(
                        """
                        {"roster_id": 3, "entries": [
                          {"invoker": "h:1", "status": 1, "hall": 1, "group": 2, "flavor": 3,
                           "up_since_us": 9},
                          {"invoker": "h:2", "status": 2, "share": 0.5},
                          {"invoker": "h:3", "status": 0}]}
                        """));
        List<InvokerEndpoint> endpoints =
                List.of(
                        new InvokerEndpoint("h:1", 1, 2, 3, EndpointState.READY, 1, 9),
                        new InvokerEndpoint("h:2", 0, 0, 0, EndpointState.DRAINING, 0.5, 0),
                        new InvokerEndpoint("h:3", 0, 0, 0, EndpointState.GONE, 1, 0));
        assertEquals(
                new SchedulerEvent.EndpointsUpdated(true, false, endpoints),
                read("{\"what\": \"ENDPOINTS\", \"mode\": 0, \"roster_id\": 3}"));
        assertEquals(
                new SchedulerEvent.EndpointsUpdated(true, true, endpoints),
                read("{\"what\": \"ENDPOINTS\", \"mode\": 1, \"roster_id\": 3}"));
        assertEquals(
                new SchedulerEvent.EndpointsUpdated(false, false, endpoints),
                read("{\"what\": \"ENDPOINTS\", \"mode\": 3, \"roster_id\": 3}"));
        assertEquals(
                new SchedulerEvent.EndpointUpdateFailed(),
                read("{\"what\": \"ENDPOINTS\", \"mode\": 2}"));
    }

    @Test
    void endpointUpdateWithUnknownModeOrListIdIsMalformed() {
        assertMalformed("mode is unknown: 4", "{\"what\": \"ENDPOINTS\", \"mode\": 4}");
        assertMalformed("mode is unknown: -1", "{\"what\": \"ENDPOINTS\", \"mode\": -1}");
        assertMalformed(
                "roster_id is unknown: 5",
                "{\"what\": \"ENDPOINTS\", \"mode\": 0, \"roster_id\": 5}");
    }

    @Test
    void requestHasNoTenantIfTheSettingsHaveNone() {
        assertEquals(
                new SchedulerEvent.RequestReceived(
                        9, 0, SchedulerEvent.NO_TENANT, "f", 100, 20, 1.5, 2, 2_500, true, false),
                read(
                        """
                        {"what": "INBOUND", "txn": 9, "service": 0, "org": 4, "fn": "f",
                         "remaining_us": 100, "predicted_us": 20, "resident_mb": 1.5, "lanes": 2,
                         "load_ms": 2.5, "repeat": true}
                        """));
    }

    @Test
    void requestOfAClassThatTheSettingsLackIsMalformed() {
        assertMalformed(
                "service is not in the settings: 1",
                "{\"what\": \"INBOUND\", \"txn\": 9, \"service\": 1}");
    }

    @Test
    void completedAttemptIsReadWithItsStartKindAndConcurrency() {
        assertEquals(
                new SchedulerEvent.AttemptCompleted(
                        9,
                        1,
                        "h:1",
                        ResponseCode.OK,
                        true,
                        70,
                        StartKind.COLD,
                        5,
                        Map.of("cpu", 0.5)),
                read(
                        """
                        {"what": "REPORT_BACK", "txn": 9, "try": 1, "invoker": "h:1", "code": 1,
                         "settled": true, "time_taken_us": 70, "detail": 42,
                         "telemetry": {"cpu": 0.5, "name": "x"}}
                        """));
    }

    @Test
    void timedOutAttemptReportsNoConcurrencyAndAnUnknownStartKind() {
        SchedulerEvent.AttemptCompleted event =
                assertInstanceOf(
                        SchedulerEvent.AttemptCompleted.class,
                        read(
                                "{\"what\": \"REPORT_BACK\", \"txn\": 9, \"code\": 3,"
                                        + " \"detail\": 47}"));
        assertEquals(ResponseCode.TIMEOUT, event.code());
        assertEquals(StartKind.UNKNOWN, event.start());
        assertEquals(SchedulerEvent.CONCURRENCY_NOT_REPORTED, event.concurrentRequests());
    }

    @Test
    void unknownOrMissingResponseCodeIsMalformed() {
        assertMalformed(
                "code is unknown: 9", "{\"what\": \"REPORT_BACK\", \"txn\": 9, \"code\": 9}");
        assertMalformed("code is missing", "{\"what\": \"PROBED\", \"invoker\": \"h:1\"}");
    }

    @Test
    void streamHealthCheckPreloadAbandonmentAndTimerEventsAreReadFromTheirMembers() {
        assertEquals(
                new SchedulerEvent.StreamStarted(9, 1, "h:1", 70),
                read(
                        "{\"what\": \"ESTABLISHED\", \"txn\": 9, \"try\": 1, \"invoker\": \"h:1\","
                                + " \"time_taken_us\": 70}"));
        assertEquals(
                new SchedulerEvent.HealthCheckCompleted("h:1", ResponseCode.FULL, 5, Map.of(), 0),
                read(
                        "{\"what\": \"PROBED\", \"invoker\": \"h:1\", \"code\": 2,"
                                + " \"time_taken_us\": 5}"));
        assertEquals(
                new SchedulerEvent.PreloadCompleted("h:1", "f", ResponseCode.OK, 5, 2),
                read(
                        "{\"what\": \"HELD_NOW\", \"invoker\": \"h:1\", \"fn\": \"f\","
                                + " \"code\": 1, \"time_taken_us\": 5, \"number\": 2}"));
        assertEquals(
                new SchedulerEvent.RequestAbandoned(9),
                read("{\"what\": \"CANCELLED_BY_CLIENT\", \"txn\": 9}"));
        assertEquals(
                new SchedulerEvent.TimerExpired(new SchedulerTimer.QueuedRequestRetry(9)),
                read("{\"what\": \"WAKEUP\", \"tag\": \"hold:9\"}"));
    }

    @Test
    void gossipIsDecodedFromBase64AndOtherContentIsMalformed() {
        SchedulerEvent.GossipReceived event =
                assertInstanceOf(
                        SchedulerEvent.GossipReceived.class,
                        read(
                                "{\"what\": \"WHISPER\", \"origin_peer\": 2,"
                                        + " \"content\": \"AQI=\"}"));
        assertEquals(2, event.peer());
        assertArrayEquals(new byte[] {1, 2}, event.message());
        assertMalformed("content is not base64", "{\"what\": \"WHISPER\", \"content\": \"?\"}");
    }

    @Test
    void unknownMessageTypeIsReadAsNull() {
        assertNull(read("{\"what\": \"NOVELTY\"}"));
    }
}
