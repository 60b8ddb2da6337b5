package waytrestle.front.kserve;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import waytrestle.Bytes;

/**
 * Whether what a model said of its failure has the protocol's form: an object with an {@code error}
 * text.
 */
final class FunctionErrorBody {
    private static final JsonFactory JSON = new JsonFactory();
    private static final long READ = 65_536; // bytes of an error that are looked at
    private static final int TOLD = 1_000; // characters of any other text that are passed on

    private FunctionErrorBody() {}

    /** Null where the body is such an object; else the text to put into one. */
    static String messageUnlessErrorObject(Bytes body) {
        if (body.size() <= READ && isObject(body.array())) {
            return null;
        }
        String text =
                new String(
                                body.slice(0, Math.min(body.size(), READ)).array(),
                                StandardCharsets.UTF_8)
                        .strip();
        return text.substring(0, Math.min(TOLD, text.length()));
    }

    private static boolean isObject(byte[] body) {
        boolean error = false;
        try (JsonParser json = JSON.createParser(body)) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                return false;
            }
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                boolean named = json.currentName().equals("error");
                error |= json.nextToken() == JsonToken.VALUE_STRING && named;
                json.skipChildren();
            }
            return error && json.currentToken() == JsonToken.END_OBJECT && json.nextToken() == null;
        } catch (IOException e) {
            return false;
        }
    }
}
