package waytrestle.json;

import java.util.AbstractList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An immutable JSON object with typed look-ups by member name.
 *
 * <p>A member that is absent or {@code null} reads as the empty value of its type: 0, false, an
 * empty text, list or object. The {@code required} look-ups refuse it. A member of another type is
 * a {@link MalformedJsonException} that names the member, thrown by the look-up and not before.
 */
public final class JsonObject {
    private static final JsonObject EMPTY = new JsonObject(Map.of());

    private final Map<String, Object> members;

    /**
     * Wraps parsed members.
     *
     * @param members each a {@link JsonObject}, {@link List}, {@link String}, {@link Long}, {@link
     *     Double}, {@link Boolean} or null
     */
    JsonObject(Map<String, Object> members) {
        this.members = members;
    }

    /**
     * Reads one object with nothing after it.
     *
     * @param description names the text in the message of an error
     * @throws MalformedJsonException if the text is anything else
     */
    public static JsonObject parse(String text, String description) {
        return JsonObjectParser.parse(text, description);
    }

    /** Whether the member is present, be it {@code null}. */
    public boolean has(String name) {
        return members.containsKey(name);
    }

    /** A number; 0 if absent. */
    public double number(String name) {
        Object value = members.get(name);
        if (value == null) {
            return 0;
        }
        if (value instanceof Number number) {
            return number.doubleValue();
        }
        throw new MalformedJsonException(name + " must be a number");
    }

    /** A number; the given default if absent, but 0 if {@code null}. */
    public double numberOrDefault(String name, double defaultValue) {
        return has(name) ? number(name) : defaultValue;
    }

    /** A whole number, rounded if it has a fraction; 0 if absent. */
    public long wholeNumber(String name) {
        Object value = members.get(name);
        if (value == null) {
            return 0;
        }
        if (value instanceof Long whole) {
            return whole;
        }
        if (value instanceof Double fraction) {
            return Math.round(fraction);
        }
        throw new MalformedJsonException(name + " must be a whole number");
    }

    /** A whole number of at most 32 bits; higher bits are dropped. 0 if absent. */
    public int wholeInt(String name) {
        return (int) wholeNumber(name);
    }

    /** A whole number that must be present. */
    public long requiredWholeNumber(String name) {
        if (members.get(name) == null) {
            throw new MalformedJsonException(name + " is missing");
        }
        return wholeNumber(name);
    }

    /** A whole number of at most 32 bits that must be present; higher bits are dropped. */
    public int requiredWholeInt(String name) {
        return (int) requiredWholeNumber(name);
    }

    /** True or false; false if absent. */
    public boolean flag(String name) {
        Object value = members.get(name);
        if (value == null) {
            return false;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw new MalformedJsonException(name + " must be true or false");
    }

    /** A text; empty if absent. */
    public String text(String name) {
        Object value = members.get(name);
        if (value == null) {
            return "";
        }
        if (value instanceof String text) {
            return text;
        }
        throw new MalformedJsonException(name + " must be text");
    }

    /** A text that must be present and not empty. */
    public String requiredText(String name) {
        String text = text(name);
        if (text.isEmpty()) {
            throw new MalformedJsonException(name + " is missing");
        }
        return text;
    }

    /** An object; an empty one if absent. */
    public JsonObject object(String name) {
        Object value = members.get(name);
        return value == null ? EMPTY : asObject(value, name);
    }

    /**
     * An array of objects; empty if absent. An element that is no object is refused when it is
     * reached, so that errors come in the order of the input.
     */
    public List<JsonObject> objects(String name) {
        return objects(name, name);
    }

    /** As {@link #objects(String)}, with the name that an error gives to an element. */
    public List<JsonObject> objects(String name, String elementName) {
        List<?> elements = array(name);
        return elements.isEmpty() ? List.of() : new ObjectList(elements, elementName);
    }

    /** An array of texts; empty if absent. */
    public List<String> texts(String name) {
        List<String> texts = new ArrayList<>();
        for (Object element : array(name)) {
            if (!(element instanceof String text)) {
                throw new MalformedJsonException(name + " must hold texts");
            }
            texts.add(text);
        }
        return texts;
    }

    /** An array of numbers, with 0 for each element that is none; empty if absent. */
    public List<Double> numbers(String name) {
        List<Double> numbers = new ArrayList<>();
        for (Object element : array(name)) {
            numbers.add(element instanceof Number number ? number.doubleValue() : 0.0);
        }
        return numbers;
    }

    /** All members that are numbers, by name; the others are left out. */
    public Map<String, Double> numericMembers() {
        if (members.isEmpty()) {
            return Map.of();
        }
        Map<String, Double> numbers = new HashMap<>();
        for (Map.Entry<String, Object> member : members.entrySet()) {
            if (member.getValue() instanceof Number number) {
                numbers.put(member.getKey(), number.doubleValue());
            }
        }
        return numbers;
    }

    private List<?> array(String name) {
        Object value = members.get(name);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> list) {
            return list;
        }
        throw new MalformedJsonException(name + " must be an array");
    }

    private static JsonObject asObject(Object value, String name) {
        if (value instanceof JsonObject object) {
            return object;
        }
        throw new MalformedJsonException(name + " must be an object");
    }

    /** A view of an array that checks each element as it is read. */
    private static final class ObjectList extends AbstractList<JsonObject> {
        private final List<?> elements;
        private final String elementName;

        ObjectList(List<?> elements, String elementName) {
            this.elements = elements;
            this.elementName = elementName;
        }

        @Override
        public JsonObject get(int index) {
            return asObject(elements.get(index), elementName);
        }

        @Override
        public int size() {
            return elements.size();
        }
    }
}
