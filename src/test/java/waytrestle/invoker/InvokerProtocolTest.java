package waytrestle.invoker;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import org.junit.jupiter.api.Test;
import waytrestle.Bytes;
import waytrestle.http.HttpLimits;
import waytrestle.http.HttpMessage;
import waytrestle.http.HttpParser;
import waytrestle.requests.RequestOutcome.Served;
import waytrestle.scheduler.StartKind;

/** The invoker's protocol: what is written, what is read, and what each end proves. */
class InvokerProtocolTest {
    private static HttpMessage response(String head, byte[] body) {
        byte[] start =
                ("HTTP/1.1 200 OK\r\n" + head + "Content-Length: " + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1);
        ByteBuffer all =
                ByteBuffer.allocate(start.length + body.length).put(start).put(body).flip();
        return HttpParser.responses(HttpLimits.DEFAULT).next(all);
    }

    private static Served answer(String json, String binary, boolean header) {
        byte[] body = (json + binary).getBytes(StandardCharsets.ISO_8859_1);
        return InferProtocol.answer(
                response(
                        header ? "Inference-Header-Content-Length: " + json.length() + "\r\n" : "",
                        body),
                "mine");
    }

    @Test
    void aPayloadTravelsAsOneBytesTensorUnchanged() {
        byte[] payload = {0, 1, 2, (byte) 255, '"'};
        ByteBuffer[] parts =
                new InferProtocol("h:1", 3).infer("f-1", "/p \"id\"", 2, "a/b", Bytes.of(payload));
        ByteBuffer all = ByteBuffer.allocate(4_096);
        for (ByteBuffer part : parts) {
            all.put(part);
        }
        HttpMessage m = HttpParser.requests(HttpLimits.DEFAULT).next(all.flip());
        assertEquals("/v2/models/f-1/infer", m.target());
        assertEquals("3", m.header(InferProtocol.CONTROLLER));
        int json = Integer.parseInt(m.header("inference-header-content-length"));
        assertEquals(json + 4 + payload.length, m.body().length);
        assertArrayEquals(
                new byte[] {5, 0, 0, 0, 0, 1, 2, (byte) 255, '"'},
                Arrays.copyOfRange(m.body(), json, m.body().length));
        assertEquals(
                "{\"id\":\"/p"
                    + " \\\"id\\\"\",\"inputs\":[{\"name\":\"payload\",\"datatype\":\"BYTES\",\"shape\":[1],"
                    + "\"parameters\":{\"binary_data_size\":9,\"content_type\":\"a/b\"}}],"
                    + "\"parameters\":{\"binary_data_output\":true}}",
                new String(m.body(), 0, json));
    }

    @Test
    void anAnswerIsReadInEitherForm() {
        String binary =
                "{\"model_name\":\"f\",\"outputs\":[{\"name\":\"r\",\"datatype\":\"BYTES\",\"shape\":[1],"
                    + "\"parameters\":{\"content_type\":\"x/y\",\"binary_data_size\":7}}]}";
        Served served = answer(binary, "\3\0\0\0abc", true);
        assertEquals("x/y", served.contentType());
        assertArrayEquals("abc".getBytes(), served.body().array());
        assertArrayEquals(
                "text".getBytes(),
                answer(
                                "{\"outputs\":[{\"name\":\"r\",\"data\":[\"text\"],"
                                        + "\"parameters\":{}}]}",
                                "",
                                false)
                        .body()
                        .array());
    }

    @Test
    void malformedAnswersAreNoAnswers() {
        String json = "{\"outputs\":[{\"parameters\":{\"binary_data_size\":7}}]}";
        assertNull(answer(json, "\3\0\0\0ab", true), "shorter than it says");
        assertNull(answer(json, "\4\0\0\0abc", true), "its own length disagrees");
        assertNull(answer("{\"outputs\":[{\"parameters\":{\"binary_data_size\":-9}}]}", "", true));
        assertNull(answer("{\"outputs\":[{\"nam", "", false));
        assertNull(answer("{\"outputs\":[]}", "", false));
        assertNull(answer("[]", "", false));
        assertNull(answer("", "", false));
        assertNull(
                InferProtocol.answer(
                        response("Inference-Header-Content-Length: 99\r\n", "{}".getBytes()), ""));
        assertNull(
                InferProtocol.answer(
                        response("Inference-Header-Content-Length: x\r\n", "{}".getBytes()), ""));
        String other = "\"outputs\":[{\"data\":[\"t\"]}]}";
        assertNull(
                answer("{\"id\":\"another's\"," + other, "", false), "an answer to another call");
        assertEquals(
                "t", new String(answer("{\"id\":\"mine\"," + other, "", false).body().array()));
        String deep = "[".repeat(200_000);
        assertNull(answer("{\"a\":" + deep, "", false), "nested without end");
    }

    @Test
    void theIndexTellsCopiesStanding() {
        HttpMessage m =
                response(
                        "",
                        ("[{\"name\":\"a\",\"state\":\"READY\",\"copies\":3},{\"name\":\"b\","
                             + "\"state\":\"READY\"},{\"name\":\"c\",\"state\":\"LOADING\",\"copies\":1}]")
                                .getBytes());
        assertEquals(3, InferProtocol.copies(m, "a"));
        assertEquals(1, InferProtocol.copies(m, "b"));
        assertEquals(0, InferProtocol.copies(m, "c"));
        assertEquals(0, InferProtocol.copies(m, "d"));
        assertEquals(0, InferProtocol.copies(response("", "nonsense".getBytes()), "a"));
    }

    @Test
    void loadReportsAreReadInBothForms() {
        LoadMetrics text =
                LoadMetrics.read(
                        "TEXT cpu_utilization=0.5, named_metrics.queue=3,named_metrics.start=2,"
                            + "named_metrics.company=4,named_metrics.bad=x,named_metrics.nan=NaN,mem_utilization=0.2");
        assertEquals(Map.of("util", 0.5, "queue", 3.0), text.report());
        assertEquals(StartKind.COLD, text.start());
        assertEquals(4, text.company());
        LoadMetrics json =
                LoadMetrics.read(
                        "JSON {\"rps_fractional\":7,\"eps\":1,\"named_metrics\":{\"x1\":2,"
                                + "\"start\":1,\"copies\":5}}");
        assertEquals(Map.of("qps", 7.0, "eps", 1.0, "x1", 2.0), json.report());
        assertEquals(StartKind.WARM, json.start());
        assertEquals(5, json.copies());
        for (String none : new String[] {null, "", "BIN abc", "JSON {", "TEXT", "TEXT ,,=,"}) {
            assertEquals(Map.of(), LoadMetrics.read(none).report());
        }
        assertEquals(StartKind.UNKNOWN, LoadMetrics.read("TEXT named_metrics.start=77").start());
    }
}
