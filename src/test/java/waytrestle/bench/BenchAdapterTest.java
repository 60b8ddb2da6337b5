package waytrestle.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Checks the output lines of the adapter for input lines with batches of messages. */
class BenchAdapterTest {
    private static final String START =
            "{\"what\":\"UP\",\"seed\":3,\"params\":{\"balancers\":1,\"me\":0,\"tick_us\":4000,"
                + "\"strange\":[1,{\"x\":null}],\"lanes\":[{\"name\":\"c\",\"idempotency\":\"read_like\",\"aim_us\":800000,"
                + "\"deadline_us\":5000000,\"value\":1}],\"domain\":{\"keep_alive_us\":9000000,\"not_loaded\":\"load\"},"
                + "\"limits\":{\"max_attempts\":3}}}";
    private static final String ENDPOINT_LIST =
            "{\"what\":\"LEDGER\",\"roster_id\":0,\"entries\":[{\"invoker\":\"h:1\","
                + "\"status\":1,\"share\":1}]},{\"what\":\"ENDPOINTS\",\"mode\":1,\"index\":1,\"roster_id\":0}";
    private static final String REQUEST =
            "{\"what\":\"INBOUND\",\"txn\":4000000000,\"service\":0,\"fn\":\"00000000000000aa\","
                    + "\"remaining_us\":3000000,\"lanes\":2}";

    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    /** Returns the input line of a batch with messages to controller 0. */
    private static String batch(String inbox) {
        return "{\"now_us\":1000000,\"controllers\":[{\"i\":0,\"inbox\":[" + inbox + "]}]}\n";
    }

    /** Runs the adapter on the input, checks its exit status and returns its output. */
    private String run(String input, int expectedExitStatus) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int status =
                new BenchAdapter()
                        .run(
                                new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                                out,
                                new PrintStream(err, true));
        assertEquals(expectedExitStatus, status, "exit status");
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void emptyBatchGetsAnEmptyReply() {
        assertEquals("{\"controllers\":[]}\n", run("{\"now_us\":1,\"controllers\":[]}\n", 0));
    }

    @Test
    void requestIsForwardedToTheListedInvoker() {
        String out = run(batch(START + "," + ENDPOINT_LIST + "," + REQUEST), 0);
        assertTrue(
                out.contains(
                        "{\"what\":\"DISPATCH\",\"txn\":4000000000,\"invoker\":\"h:1\",\"abandon_at_us\":0}"),
                out);
    }

    @Test
    void requestIsForwardedToTheInvokerOfTheLatestSnapshot() {
        String secondList = ENDPOINT_LIST.replace("h:1", "h:2").replace("\"mode\":1", "\"mode\":0");
        String out = run(batch(START + "," + ENDPOINT_LIST + "," + secondList + "," + REQUEST), 0);
        assertTrue(out.contains("\"invoker\":\"h:2\""), out);
    }

    @Test
    void restartOfAControllerWithinABatchDropsItsRequestsAndCommands() {
        String out =
                run(
                        batch(
                                START
                                        + ","
                                        + ENDPOINT_LIST
                                        + ","
                                        + REQUEST
                                        + ",{\"what\":\"DOWN\"},"
                                        + START
                                        + ","
                                        + ENDPOINT_LIST),
                        0);
        assertTrue(!out.contains("DISPATCH") && out.contains("SLEEP"), out);
    }

    @Test
    void unknownMessageTypesAndRequestIdsAreIgnored() {
        String out =
                run(
                        batch(
                                START
                                        + ","
                                        + ENDPOINT_LIST
                                        + ",{\"what\":\"NOVELTY\"},{\"what\":\"CANCELLED_BY_CLIENT\",\"txn\":9},"
                                        + "{\"what\":\"REPORT_BACK\",\"txn\":9,\"try\":0,\"code\":1,\"invoker\":\"h:9\",\"settled\":true}"),
                        0);
        assertTrue(out.startsWith("{\"controllers\":["), out);
    }

    @Test
    void malformedInputExitsWithStatusOneAndOneLineErrorMessage() {
        for (String malformed :
                new String[] {
                    "nonsense\n",
                    "[]\n",
                    "{\"now_us\":1}\n",
                    "{\"controllers\":[]}\n",
                    batch("{\"what\":\"INBOUND\"}"),
                    batch(START + "," + REQUEST.replace("\"service\":0", "\"service\":7")),
                    batch(START + ",{\"what\":\"ENDPOINTS\",\"mode\":0,\"roster_id\":5}"),
                    batch("7")
                }) {
            err.reset();
            assertEquals("", run(malformed, 1).replace("\n", ""), malformed);
            String message = err.toString(StandardCharsets.UTF_8);
            assertTrue(
                    message.startsWith("waytrestle: ") && message.trim().lines().count() == 1,
                    message);
        }
    }
}
