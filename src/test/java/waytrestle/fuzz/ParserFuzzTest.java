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
 * Fuzzes the parsing of HTTP requests of clients and HTTP responses of invokers. In an ordinary
 * build each test runs over its stored inputs in {@code src/test/resources}; with JAZZER_FUZZ=1 the
 * one selected test searches for new inputs, guided by coverage (docs/measurements.md).
 */
class ParserFuzzTest {
    private static final HttpLimits LIMITS = new HttpLimits(256, 16, 1_024, 4_096, 1, 1, 1, 1);

    /**
     * Parses data that arrives in chunks of the given size. Returns a summary of all messages, with
     * the error last if there is one.
     */
    private static String parse(HttpParser parser, byte[] data, int chunkBytes) {
        List<String> results = new ArrayList<>();
        try {
            for (int chunkStart = 0; chunkStart < data.length; chunkStart += chunkBytes) {
                ByteBuffer chunk =
                        ByteBuffer.wrap(
                                data, chunkStart, Math.min(chunkBytes, data.length - chunkStart));
                for (HttpMessage message = parser.next(chunk);
                        message != null;
                        message = parser.next(chunk)) {
                    results.add(
                            message.method()
                                    + message.status()
                                    + message.target()
                                    + message.headerCount()
                                    + message.content().hashCode());
                }
                if (chunk.hasRemaining()) {
                    throw new AssertionError(
                            "the parser returned no message but left bytes of the chunk unread");
                }
            }
        } catch (HttpError e) {
            results.add(e.status() + e.getMessage());
        }
        return results.toString();
    }

    private static void assertEqualResults(String first, String second) {
        if (!first.equals(second)) {
            throw new AssertionError(
                    "results for two chunk sizes differ: " + first + " and " + second);
        }
    }

    @FuzzTest(maxDuration = "60s")
    void requestParsingDoesNotDependOnChunkSize(byte[] data) {
        String unsplitResult = parse(HttpParser.requests(LIMITS), data, Math.max(1, data.length));
        assertEqualResults(unsplitResult, parse(HttpParser.requests(LIMITS), data, 1));
        assertEqualResults(unsplitResult, parse(HttpParser.requests(LIMITS), data, 7));
    }

    @FuzzTest(maxDuration = "60s")
    void responseParsingDoesNotDependOnChunkSizeAndReadersRaiseNoUnexpectedException(byte[] data) {
        assertEqualResults(
                parse(HttpParser.responses(LIMITS), data, Math.max(1, data.length)),
                parse(HttpParser.responses(LIMITS), data, 1));
        try {
            HttpMessage message = HttpParser.responses(LIMITS).next(ByteBuffer.wrap(data));
            if (message != null) {
                InferProtocol.answer(message, "x");
                InferProtocol.whole(message);
                InferProtocol.copies(message, "f");
                LoadMetrics.read(message.header(LoadMetrics.HEADER));
            }
        } catch (HttpError expected) {
            // the only exception that readers may throw for an invalid response
        }
    }
}
