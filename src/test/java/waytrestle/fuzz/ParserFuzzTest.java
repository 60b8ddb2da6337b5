package waytrestle.fuzz;

import com.code_intelligence.jazzer.junit.FuzzTest;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import waytrestle.http.HttpError;
import waytrestle.http.HttpLimits;
import waytrestle.http.HttpMessage;
import waytrestle.http.HttpParser;
import waytrestle.invoker.InferProtocol;
import waytrestle.invoker.LoadMetrics;

/**
 * Coverage-guided fuzzing of what peers send. In an ordinary build each test runs over its corpus
 * beside this class; with JAZZER_FUZZ=1 one test searches for new inputs (docs/measurements.md).
 */
class ParserFuzzTest {
    private static final HttpLimits LIMITS = new HttpLimits(256, 16, 1_024, 4_096, 1, 1, 1, 1);

    private static String all(HttpParser parser, byte[] data, int step) {
        List<String> out = new ArrayList<>();
        try {
            for (int from = 0; from < data.length; from += step) {
                ByteBuffer in = ByteBuffer.wrap(data, from, Math.min(step, data.length - from));
                for (HttpMessage m = parser.next(in); m != null; m = parser.next(in)) {
                    out.add(
                            m.method()
                                    + m.status()
                                    + m.target()
                                    + m.headerCount()
                                    + m.content().hashCode());
                }
                if (in.hasRemaining()) {
                    throw new AssertionError("bytes left without a message");
                }
            }
        } catch (HttpError e) {
            out.add(e.status() + e.getMessage());
        }
        return out.toString();
    }

    private static void same(String a, String b) {
        if (!a.equals(b)) {
            throw new AssertionError("split differs: " + a + " and " + b);
        }
    }

    @FuzzTest(maxDuration = "60s")
    void requestParsingDoesNotDependOnChunkSize(byte[] data) {
        String whole = all(HttpParser.requests(LIMITS), data, Math.max(1, data.length));
        same(whole, all(HttpParser.requests(LIMITS), data, 1));
        same(whole, all(HttpParser.requests(LIMITS), data, 7));
    }

    @FuzzTest(maxDuration = "60s")
    void responseParsingDoesNotDependOnChunkSizeAndReadersRaiseNoUnexpectedException(byte[] data) {
        same(
                all(HttpParser.responses(LIMITS), data, Math.max(1, data.length)),
                all(HttpParser.responses(LIMITS), data, 1));
        try {
            HttpMessage m = HttpParser.responses(LIMITS).next(ByteBuffer.wrap(data));
            if (m != null) {
                InferProtocol.answer(m, "x");
                InferProtocol.whole(m);
                InferProtocol.copies(m, "f");
                LoadMetrics.read(m.header(LoadMetrics.HEADER));
            }
        } catch (HttpError expected) {
            // a breach of the protocol, told as such
        }
    }
}
