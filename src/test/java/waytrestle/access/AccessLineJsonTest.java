package waytrestle.access;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class AccessLineJsonTest {
    private static String encode(AccessLine line) {
        return new String(AccessLineJson.encode(line), StandardCharsets.UTF_8);
    }

    @Test
    void encodesAllFieldsInFixedOrderAndOmitsMissingEstimate() {
        AccessLine.AttemptEntry failed =
                new AccessLine.AttemptEntry("invoker-1", "503", 1_200, 30_000);
        AccessLine.AttemptEntry inFlight =
                new AccessLine.AttemptEntry("invoker-2", "open", 800, -1);
        AccessLine line =
                new AccessLine(
                        1_700_000_000_000L,
                        "abc",
                        "tenant-a",
                        "interactive",
                        "resize",
                        List.of(failed, inFlight),
                        "failed",
                        "time-up",
                        2_000);
        assertEquals(
                """
                {"time":"2023-11-14T22:13:20Z",\
                "id_sha256":"ba7816bf8f01cfea",\
                "tenant":"tenant-a",\
                "class":"interactive",\
                "function":"resize",\
                "end":"failed",\
                "reason":"time-up",\
                "took_us":2000,\
                "attempts":[\
                {"invoker":"invoker-1","said":"503","took_us":1200,"estimate_us":30000},\
                {"invoker":"invoker-2","said":"open","took_us":800}]}
                """,
                encode(line));
    }

    @Test
    void omitsIdTenantAndReasonWhenEmpty() {
        AccessLine line =
                new AccessLine(0, "", "", "interactive", "resize", List.of(), "served", "", 7);
        assertEquals(
                """
                {"time":"1970-01-01T00:00:00Z",\
                "class":"interactive",\
                "function":"resize",\
                "end":"served",\
                "took_us":7,\
                "attempts":[]}
                """,
                encode(line));
    }
}
