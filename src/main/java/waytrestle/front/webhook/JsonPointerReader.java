package waytrestle.front.webhook;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.filter.FilteringParserDelegate;
import com.fasterxml.jackson.core.filter.JsonPointerBasedFilter;
import com.fasterxml.jackson.core.filter.TokenFilter;
import java.io.IOException;

/** Reads the function's name out of a payload. */
public final class JsonPointerReader {
    private static final JsonFactory JSON = new JsonFactory();

    private JsonPointerReader() {}

    /**
     * The text at a JSON pointer, read without building the payload's tree; null where there is
     * none.
     */
    public static String textAt(String pointer, byte[] body) {
        try (JsonParser json =
                new FilteringParserDelegate(
                        JSON.createParser(body),
                        new JsonPointerBasedFilter(pointer),
                        TokenFilter.Inclusion.ONLY_INCLUDE_ALL,
                        false)) {
            return json.nextToken() == JsonToken.VALUE_STRING ? json.getText() : null;
        } catch (IOException e) {
            return null;
        }
    }
}
