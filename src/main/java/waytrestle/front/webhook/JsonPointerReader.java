package waytrestle.front.webhook;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.filter.FilteringParserDelegate;
import com.fasterxml.jackson.core.filter.JsonPointerBasedFilter;
import com.fasterxml.jackson.core.filter.TokenFilter;
import java.io.IOException;

/**
 * Reads the string at a JSON pointer (RFC 6901), such as the function name in a payload. Stateless.
 */
public final class JsonPointerReader {
    private static final JsonFactory JSON = new JsonFactory();

    private JsonPointerReader() {}

    /**
     * Returns the string at the pointer; null if the JSON is malformed up to there or has no string
     * there. Reads the JSON as a stream and only as far as the pointer.
     */
    public static String textAt(String pointer, byte[] json) {
        try (JsonParser parser =
                new FilteringParserDelegate(
                        JSON.createParser(json),
                        new JsonPointerBasedFilter(pointer),
                        TokenFilter.Inclusion.ONLY_INCLUDE_ALL,
                        false)) {
            return parser.nextToken() == JsonToken.VALUE_STRING ? parser.getText() : null;
        } catch (IOException e) {
            return null;
        }
    }
}
