package waytrestle.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class BenchAdapterTest {
    private static final String UP =
            "{\"what\":\"UP\",\"seed\":3,\"params\":{\"balancers\":1,\"me\":0,\"tick_us\":4000,"
                + "\"strange\":[1,{\"x\":null}],\"lanes\":[{\"name\":\"c\",\"idempotency\":\"read_like\",\"aim_us\":800000,"
                + "\"deadline_us\":5000000,\"value\":1}],\"domain\":{\"keep_alive_us\":9000000,\"not_loaded\":\"load\"},"
                + "\"limits\":{\"max_attempts\":3}}}";
    private static final String LIST =
            "{\"what\":\"LEDGER\",\"roster_id\":0,\"entries\":[{\"invoker\":\"h:1\","
                + "\"status\":1,\"share\":1}]},{\"what\":\"ENDPOINTS\",\"mode\":1,\"index\":1,\"roster_id\":0}";
    private static final String CALL =
            "{\"what\":\"INBOUND\",\"txn\":4000000000,\"service\":0,\"fn\":\"00000000000000aa\","
                    + "\"remaining_us\":3000000,\"lanes\":2}";

    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private static String batch(String inbox) {
        return "{\"now_us\":1000000,\"controllers\":[{\"i\":0,\"inbox\":[" + inbox + "]}]}\n";
    }

    private String run(String in, int exit) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int code =
                new BenchAdapter()
                        .run(
                                new ByteArrayInputStream(in.getBytes(StandardCharsets.UTF_8)),
                                out,
                                new PrintStream(err, true));
        assertEquals(exit, code);
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void emptyBatchGetsAnEmptyReply() {
        assertEquals("{\"controllers\":[]}\n", run("{\"now_us\":1,\"controllers\":[]}\n", 0));
    }

    @Test
    void aRequestIsSentToTheListedInvoker() {
        String out = run(batch(UP + "," + LIST + "," + CALL), 0);
        assertTrue(
                out.contains(
                        "{\"what\":\"DISPATCH\",\"txn\":4000000000,\"invoker\":\"h:1\",\"abandon_at_us\":0}"),
                out);
    }

    @Test
    void listNumbersAreResolvedInEventOrder() {
        String again = LIST.replace("h:1", "h:2").replace("\"mode\":1", "\"mode\":0");
        String out = run(batch(UP + "," + LIST + "," + again + "," + CALL), 0);
        assertTrue(out.contains("\"invoker\":\"h:2\""), out);
    }

    @Test
    void aRestartInOneBatchForgetsEverything() {
        String out =
                run(
                        batch(
                                UP
                                        + ","
                                        + LIST
                                        + ","
                                        + CALL
                                        + ",{\"what\":\"DOWN\"},"
                                        + UP
                                        + ","
                                        + LIST),
                        0);
        assertTrue(!out.contains("DISPATCH") && out.contains("SLEEP"), out);
    }

    @Test
    void unknownEventsAndIdsAreIgnored() {
        String out =
                run(
                        batch(
                                UP
                                        + ","
                                        + LIST
                                        + ",{\"what\":\"NOVELTY\"},{\"what\":\"CANCELLED_BY_CLIENT\",\"txn\":9},"
                                        + "{\"what\":\"REPORT_BACK\",\"txn\":9,\"try\":0,\"code\":1,\"invoker\":\"h:9\",\"settled\":true}"),
                        0);
        assertTrue(out.startsWith("{\"controllers\":["), out);
    }

    @Test
    void malformedInputGetsOnePlainLine() {
        for (String bad :
                new String[] {
                    "nonsense\n",
                    "[]\n",
                    "{\"now_us\":1}\n",
                    "{\"controllers\":[]}\n",
                    batch("{\"what\":\"INBOUND\"}"),
                    batch(UP + "," + CALL.replace("\"service\":0", "\"service\":7")),
                    batch(UP + ",{\"what\":\"ENDPOINTS\",\"mode\":0,\"roster_id\":5}"),
                    batch("7")
                }) {
            err.reset();
            assertEquals("", run(bad, 1).replace("\n", ""), bad);
            String said = err.toString(StandardCharsets.UTF_8);
            assertTrue(said.startsWith("waytrestle: ") && said.trim().lines().count() == 1, said);
        }
    }
}
