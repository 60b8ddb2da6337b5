package waytrestle.front.kserve;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import waytrestle.Bytes;

/**
 * Checks whether the body of a model's error response has the form that the Open Inference Protocol
 * defines: a JSON object with a string member {@code error}. Stateless.
 */
final class FunctionErrorBody {
    private static final JsonFactory JSON = new JsonFactory();

    /**
     * Limit of the bytes read of a body. A longer body is not parsed, and counts as no error
     * object.
     */
    private static final long MAX_PARSED_BYTES = 65_536;

    /** Limit of a message that is to be put into an error object, in characters. */
    private static final int MAX_MESSAGE_CHARACTERS = 1_000;

    private FunctionErrorBody() {}

    /**
     * Returns null if the body is an error object of the protocol, which can be passed on
     * unchanged. Otherwise returns the beginning of the body as text, possibly empty, which the
     * caller puts into an error object.
     */
    static String messageUnlessErrorObject(Bytes body) {
        if (body.size() <= MAX_PARSED_BYTES && isErrorObject(body.array())) {
            return null;
        }
        String text =
                new String(
                                body.slice(0, Math.min(body.size(), MAX_PARSED_BYTES)).array(),
                                StandardCharsets.UTF_8)
                        .strip();
        return text.substring(0, Math.min(MAX_MESSAGE_CHARACTERS, text.length()));
    }

    private static boolean isErrorObject(byte[] body) {
        boolean hasErrorText = false;
        try (JsonParser json = JSON.createParser(body)) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                return false;
            }
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                boolean isErrorField = json.currentName().equals("error");
                hasErrorText |= json.nextToken() == JsonToken.VALUE_STRING && isErrorField;
                json.skipChildren();
            }
            return hasErrorText
                    && json.currentToken() == JsonToken.END_OBJECT
                    && json.nextToken() == null;
        } catch (IOException e) {
            return false;
        }
    }
}
