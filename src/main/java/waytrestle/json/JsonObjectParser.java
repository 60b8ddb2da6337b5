package waytrestle.json;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Parses texts to {@link JsonObject}s. Stateless. */
final class JsonObjectParser {
    private JsonObjectParser() {}

    /** Implements {@link JsonObject#parse}. */
    static JsonObject parse(String text, String description) {
        try (JsonParser parser = JsonStreams.FACTORY.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new MalformedJsonException(description + " must be a JSON object");
            }
            JsonObject object = readObject(parser);
            if (parser.nextToken() != null) {
                throw new MalformedJsonException(description + " has text after its JSON object");
            }
            return object;
        } catch (IOException e) {
            throw new MalformedJsonException(description + " is not JSON: " + firstLine(e));
        }
    }

    /** Returns the first line of an exception's message; the parser adds the location in others. */
    private static String firstLine(IOException cause) {
        return String.valueOf(cause.getMessage()).split("\n")[0];
    }

    private static JsonObject readObject(JsonParser parser) throws IOException {
        Map<String, Object> members = new HashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            members.put(name, readValue(parser));
        }
        return new JsonObject(members);
    }

    private static List<Object> readArray(JsonParser parser) throws IOException {
        List<Object> elements = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            elements.add(readValue(parser));
        }
        return elements;
    }

    private static Object readValue(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(parser);
            case START_ARRAY -> readArray(parser);
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT -> parser.getLongValue();
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            default -> null;
        };
    }
}
