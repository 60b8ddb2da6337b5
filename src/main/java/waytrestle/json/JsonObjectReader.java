package waytrestle.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamWriteFeature;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads one JSON line into maps and lists, with typed look-ups that name what is malformed. */
public final class JsonObjectReader {
    /** Reads and writes whatever the length of a line. */
    public static final JsonFactory FACTORY =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxStringLength(Integer.MAX_VALUE)
                                    .maxDocumentLength(-1)
                                    .build())
                    .disable(StreamWriteFeature.AUTO_CLOSE_TARGET)
                    .build();

    private JsonObjectReader() {}

    /** Says in one line what was wrong with the input. */
    public static final class Malformed extends MalformedJsonException {
        private static final long serialVersionUID = 1L;

        public Malformed(String message) {
            super(message);
        }
    }

    /** One line of the bench. */
    public static Map<String, Object> line(String text) {
        return object(text, "a batch");
    }

    /** One object and nothing after it; what names it where it is malformed. */
    public static Map<String, Object> object(String text, String what) {
        try (JsonParser in = FACTORY.createParser(text)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new Malformed(what + " must be a JSON object");
            }
            Map<String, Object> value = object(in);
            if (in.nextToken() != null) {
                throw new Malformed(what + " has text after its JSON object");
            }
            return value;
        } catch (IOException e) {
            throw new Malformed(
                    what + " is not JSON: " + String.valueOf(e.getMessage()).split("\n")[0]);
        }
    }

    private static Map<String, Object> object(JsonParser in) throws IOException {
        Map<String, Object> map = new HashMap<>();
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String key = in.currentName();
            in.nextToken();
            map.put(key, value(in));
        }
        return map;
    }

    private static Object value(JsonParser in) throws IOException {
        switch (in.currentToken()) {
            case START_OBJECT -> {
                return object(in);
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(in));
                }
                return list;
            }
            case VALUE_STRING -> {
                return in.getText();
            }
            case VALUE_NUMBER_INT -> {
                return in.getLongValue();
            }
            case VALUE_NUMBER_FLOAT -> {
                return in.getDoubleValue();
            }
            case VALUE_TRUE -> {
                return true;
            }
            case VALUE_FALSE -> {
                return false;
            }
            default -> {
                return null;
            }
        }
    }

    @SuppressWarnings("unchecked")
    public static Map<String, Object> map(Object value, String what) {
        if (value instanceof Map) {
            return (Map<String, Object>) value;
        }
        throw new Malformed(what + " must be an object");
    }

    @SuppressWarnings("unchecked")
    public static Map<String, Object> mapOrEmpty(Map<String, Object> in, String key) {
        Object value = in.get(key);
        return value == null ? Map.of() : map(value, key);
    }

    @SuppressWarnings("unchecked")
    public static List<Object> list(Map<String, Object> in, String key) {
        Object value = in.get(key);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List) {
            return (List<Object>) value;
        }
        throw new Malformed(key + " must be an array");
    }

    public static double number(Map<String, Object> in, String key) {
        Object value = in.get(key);
        if (value == null) {
            return 0;
        }
        if (value instanceof Number number) {
            return number.doubleValue();
        }
        throw new Malformed(key + " must be a number");
    }

    public static long whole(Map<String, Object> in, String key) {
        Object value = in.get(key);
        if (value == null) {
            return 0;
        }
        if (value instanceof Long l) {
            return l;
        }
        if (value instanceof Double d) {
            return Math.round(d);
        }
        throw new Malformed(key + " must be a whole number");
    }

    public static long required(Map<String, Object> in, String key) {
        if (in.get(key) == null) {
            throw new Malformed(key + " is missing");
        }
        return whole(in, key);
    }

    public static boolean flag(Map<String, Object> in, String key) {
        Object value = in.get(key);
        if (value == null) {
            return false;
        }
        if (value instanceof Boolean b) {
            return b;
        }
        throw new Malformed(key + " must be true or false");
    }

    public static String text(Map<String, Object> in, String key) {
        Object value = in.get(key);
        if (value == null) {
            return "";
        }
        if (value instanceof String string) {
            return string;
        }
        throw new Malformed(key + " must be text");
    }

    public static String requiredText(Map<String, Object> in, String key) {
        String value = text(in, key);
        if (value.isEmpty()) {
            throw new Malformed(key + " is missing");
        }
        return value;
    }
}
