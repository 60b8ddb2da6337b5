package waytrestle.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Which messages the parser accepts, with which status it rejects others, and that the split of the
 * bytes into buffers makes no difference.
 */
class HttpParserTest {
    private static final HttpLimits SMALL_LIMITS = new HttpLimits(64, 4, 128, 32, 1, 1, 1, 1);

    /** Returns the bytes of a message whose line ends are written as {@code |}. */
    private static byte[] toBytes(String text) {
        return text.replace("|", "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    /**
     * Returns the messages parsed from bytes split at the given positions, and the error if any.
     */
    private static List<String> parse(HttpParser parser, byte[] all, int[] splits) {
        List<String> results = new ArrayList<>();
        int from = 0;
        try {
            for (int i = 0; i <= splits.length; i++) {
                int to =
                        i == splits.length
                                ? all.length
                                : Math.max(from, Math.min(all.length, splits[i]));
                ByteBuffer in = ByteBuffer.wrap(all, from, to - from);
                for (HttpMessage message = parser.next(in);
                        message != null;
                        message = parser.next(in)) {
                    results.add(describe(message));
                }
                assertEquals(0, in.remaining());
                from = to;
            }
        } catch (HttpError e) {
            results.add(e.status() + " " + e.getMessage());
        }
        return results;
    }

    private static String describe(HttpMessage message) {
        StringBuilder text =
                new StringBuilder(
                        message.method() + " " + message.target() + " " + message.status());
        for (int i = 0; i < message.headerCount(); i++) {
            text.append(" ")
                    .append(message.headerName(i))
                    .append('=')
                    .append(message.headerValue(i));
        }
        return text + " " + new String(message.body(), StandardCharsets.ISO_8859_1);
    }

    private static int rejectionStatus(String request) {
        HttpParser parser = HttpParser.requests(SMALL_LIMITS);
        return assertThrows(
                        HttpError.class,
                        () -> parser.next(ByteBuffer.wrap(toBytes(request))),
                        request)
                .status();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "400;POST / HTTP/1.1|Host: a|Content-Length: 3|Transfer-Encoding: chunked||abc",
                "400;POST / HTTP/1.1|Host: a|Content-Length: 3|Content-Length: 4||abcd",
                "400;POST / HTTP/1.1|Host: a|Content-Length: 3, 4||abcd",
                "400;POST / HTTP/1.1|Host: a|Content-Length: +3||abc",
                "400;POST / HTTP/1.1|Host: a|Content-Length: -1||abc",
                "400;POST / HTTP/1.1|Host : a||",
                "400;POST / HTTP/1.1|Host: a|X: b| folded||",
                "400;GET / HTTP/1.1||",
                "400;GET / HTTP/1.1|Host: a|Host: b||",
                "400;GET  / HTTP/1.1|Host: a||",
                "400;G@T / HTTP/1.1|Host: a||",
                "400;|||GET / HTTP/1.1|Host: a||",
                "505;GET / HTTP/2.0|Host: a||",
                "501;POST / HTTP/1.1|Host: a|Transfer-Encoding: gzip, chunked||",
                "400;POST / HTTP/1.0|Transfer-Encoding: chunked||0||",
                "400;POST / HTTP/1.1|Host: a|Transfer-Encoding: chunked||+1|a|0||",
                "400;POST / HTTP/1.1|Host: a|Transfer-Encoding: chunked||0x1|a|0||",
                "400;POST / HTTP/1.1|Host: a|Transfer-Encoding: chunked||1 |a|0||",
                "400;POST / HTTP/1.1|Host: a|Transfer-Encoding: chunked|||a|0||",
                "400;POST / HTTP/1.1|Host: a|Transfer-Encoding: chunked||123456789|a|0||",
                "400;POST / HTTP/1.1|Host: a|Transfer-Encoding: chunked||1|ab|0||",
                "413;POST / HTTP/1.1|Host: a|Content-Length: 33||",
                "413;POST / HTTP/1.1|Host: a|Transfer-Encoding:"
                        + " chunked||20|12345678901234567890123456789012|1|a|0||",
                "414;GET /123456789012345678901234567890123456789012345678901234567890"
                        + " HTTP/1.1|Host: a||",
                "431;GET / HTTP/1.1|Host: a|A: b|C: d|E: f|G: h||",
                "431;GET / HTTP/1.1|Host: a|A:"
                    + " 12345678901234567890123456789012345678901234567890123456789012345678901234567890"
                    + "1234567890123456789012345678901234567890123456789012345678901234567890||"
            })
    void rejectsAmbiguousMalformedOrOversizedRequests(int expectedStatus, String request) {
        assertEquals(expectedStatus, rejectionStatus(request));
    }

    @Test
    void rejectsBareCrBareLfAndControlCharacters() {
        assertEquals(400, rejectionStatus("GET / HTTP/1.1\nHost: a\n\n"));
        assertEquals(400, rejectionStatus("GET / HTTP/1.1\rHost: a||"));
        assertEquals(400, rejectionStatus("GET / HTTP/1.1|Host: a\u0000b||"));
    }

    @Test
    void parsesChunksWithExtensionsAndDiscardsTrailers() {
        HttpParser parser = HttpParser.requests(SMALL_LIMITS);
        HttpMessage m =
                parser.next(
                        ByteBuffer.wrap(
                                toBytes(
                                        "POST /p?q=1 HTTP/1.1|Host: a|Transfer-Encoding:"
                                            + " chunked||3;x=y|abc|A|0123456789|0|T: dropped||")));
        assertArrayEquals("abc0123456789".getBytes(), m.body());
        assertNull(m.header("t"));
        assertEquals("/p", m.path());
        assertEquals("1", m.queryParameter("q"));
        assertTrue(parser.isBetweenMessages());
    }

    @Test
    void acceptsRepeatedEqualContentLength() {
        HttpMessage m =
                HttpParser.requests(SMALL_LIMITS)
                        .next(
                                ByteBuffer.wrap(
                                        toBytes(
                                                "POST / HTTP/1.1|Host: a|Content-Length:"
                                                        + " 2|Content-Length: 2||ab")));
        assertEquals(2, m.body().length);
    }

    @Test
    void announcedContentLengthAllocatesNoMemoryBeforeBytesArrive() {
        HttpLimits large = new HttpLimits(1_000, 10, 1_000, 1 << 30, 1, 1, 1, 1);
        List<HttpParser> parsers = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) { // 1 GB each if the announced length were allocated
            HttpParser parser = HttpParser.requests(large);
            assertNull(
                    parser.next(
                            ByteBuffer.wrap(
                                    toBytes(
                                            "POST / HTTP/1.1|Host: a|Content-Length:"
                                                    + " 1000000000||x"))));
            parsers.add(parser);
        }
        assertEquals(1_000, parsers.size());
    }

    @Test
    void responseWithoutLengthEndsAtConnectionClose() {
        HttpParser parser = HttpParser.responses(SMALL_LIMITS);
        assertNull(parser.next(ByteBuffer.wrap(toBytes("HTTP/1.1 200 OK||abc"))));
        assertArrayEquals("abc".getBytes(), parser.finishAtClose().body());
        assertNull(HttpParser.responses(SMALL_LIMITS).finishAtClose());
    }

    @Provide
    Arbitrary<String> message() {
        Arbitrary<String> header =
                Combinators.combine(
                                Arbitraries.strings()
                                        .withCharRange('a', 'z')
                                        .ofMinLength(1)
                                        .ofMaxLength(6),
                                Arbitraries.strings().withCharRange(' ', '~').ofMaxLength(12))
                        .as((name, value) -> "x" + name + ":" + value + "|");
        Arbitrary<String> body =
                Arbitraries.strings().withCharRange('!', '~').excludeChars('|').ofMaxLength(20);
        Arbitrary<String> heads =
                header.filter(h -> h.indexOf('|') == h.length() - 1)
                        .list()
                        .ofMaxSize(2)
                        .map(l -> String.join("", l));
        Arbitrary<String> fixedLength =
                Combinators.combine(heads, body)
                        .as(
                                (h, b) ->
                                        "POST /a HTTP/1.1|Host: a|"
                                                + h
                                                + "Content-Length: "
                                                + b.length()
                                                + "||"
                                                + b);
        Arbitrary<String> chunked =
                Combinators.combine(heads, body.list().ofMaxSize(3))
                        .as(
                                (h, chunks) -> {
                                    StringBuilder out =
                                            new StringBuilder(
                                                    "PUT /b HTTP/1.1|Host: a|"
                                                            + h
                                                            + "Transfer-Encoding: chunked||");
                                    chunks.stream()
                                            .filter(c -> !c.isEmpty())
                                            .forEach(
                                                    c ->
                                                            out.append(
                                                                            Integer.toHexString(
                                                                                    c.length()))
                                                                    .append('|')
                                                                    .append(c)
                                                                    .append('|'));
                                    return out + "0||";
                                });
        Arbitrary<String> randomText =
                Arbitraries.strings().withChars("GET /HTP1.:|\r\n a0;").ofMaxLength(60);
        return Arbitraries.frequencyOf(
                Tuple.of(4, fixedLength), Tuple.of(4, chunked), Tuple.of(1, randomText));
    }

    /**
     * Valid messages and random text give the same messages and the same error, wherever the bytes
     * are split.
     */
    @Property(tries = 1_000, seed = "7715997163351985491")
    void anySplitOfTheBytesGivesSameMessagesAndError(
            @ForAll("messages") List<String> messages,
            @ForAll List<@IntRange(min = 0, max = 400) Integer> splits) {
        byte[] all = toBytes(String.join("", messages));
        HttpLimits limits = new HttpLimits(200, 8, 300, 100, 1, 1, 1, 1);
        List<String> whole = parse(HttpParser.requests(limits), all, new int[0]);
        int[] randomSplits = splits.stream().mapToInt(i -> i).sorted().toArray();
        assertEquals(whole, parse(HttpParser.requests(limits), all, randomSplits));
        int[] singleBytes = new int[all.length];
        for (int i = 0; i < singleBytes.length; i++) {
            singleBytes[i] = i;
        }
        assertEquals(whole, parse(HttpParser.requests(limits), all, singleBytes));
    }

    @Provide
    Arbitrary<List<String>> messages() {
        return message().list().ofMinSize(1).ofMaxSize(4);
    }
}
