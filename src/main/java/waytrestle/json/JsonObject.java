package waytrestle.json;

import java.util.AbstractList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An immutable JSON object with typed getters by member name.
 *
 * <p>For a member that is absent or {@code null}, a getter returns the empty value of its type: 0,
 * false, or an empty string, list or object. The {@code required} getters throw a {@link
 * MalformedJsonException} instead. For a member of another type every getter throws a {@link
 * MalformedJsonException} that names the member; parsing does not check types.
 */
public final class JsonObject {
    private static final JsonObject EMPTY = new JsonObject(Map.of());

    private final Map<String, Object> members;

    /**
     * Creates an object of parsed members.
     *
     * @param members the member values by name; each value is a {@link JsonObject}, {@link List},
     *     {@link String}, {@link Long}, {@link Double}, {@link Boolean} or null
     */
    JsonObject(Map<String, Object> members) {
        this.members = members;
    }

    /**
     * Parses a text that consists of one JSON object.
     *
     * @param description the text's name in exception messages
     * @throws MalformedJsonException if the text is not exactly one JSON object
     */
    public static JsonObject parse(String text, String description) {
        return JsonObjectParser.parse(text, description);
    }

    /** Returns whether the member is present; a {@code null} member is. */
    public boolean has(String name) {
        return members.containsKey(name);
    }

    /** Returns a number; 0 if absent or {@code null}. */
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

    /** Returns a number; the given default if absent, but 0 if {@code null}. */
    public double numberOrDefault(String name, double defaultValue) {
        return has(name) ? number(name) : defaultValue;
    }

    /** Returns a number rounded to a whole number; 0 if absent or {@code null}. */
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

    /** Returns the low 32 bits of a {@link #wholeNumber}; 0 if absent or {@code null}. */
    public int wholeInt(String name) {
        return (int) wholeNumber(name);
    }

    /** Returns a number rounded to a whole number; throws if absent or {@code null}. */
    public long requiredWholeNumber(String name) {
        if (members.get(name) == null) {
            throw new MalformedJsonException(name + " is missing");
        }
        return wholeNumber(name);
    }

    /** Returns the low 32 bits of a {@link #requiredWholeNumber}. */
    public int requiredWholeInt(String name) {
        return (int) requiredWholeNumber(name);
    }

    /** Returns a boolean; false if absent or {@code null}. */
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

    /** Returns a string; empty if absent or {@code null}. */
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

    /** Returns a string; throws if absent, {@code null} or empty. */
    public String requiredText(String name) {
        String text = text(name);
        if (text.isEmpty()) {
            throw new MalformedJsonException(name + " is missing");
        }
        return text;
    }

    /** Returns an object; an empty one if absent or {@code null}. */
    public JsonObject object(String name) {
        Object value = members.get(name);
        return value == null ? EMPTY : asObject(value, name);
    }

    /**
     * Returns an array of objects; empty if absent or {@code null}. The list throws a {@link
     * MalformedJsonException} when an element that is not an object is read from it, so that
     * callers that read in order report errors in the order of the input.
     */
    public List<JsonObject> objects(String name) {
        return objects(name, name);
    }

    /**
     * Returns an array of objects as {@link #objects(String)} does.
     *
     * @param elementName an element's name in exception messages
     */
    public List<JsonObject> objects(String name, String elementName) {
        List<?> elements = array(name);
        return elements.isEmpty() ? List.of() : new ObjectList(elements, elementName);
    }

    /** Returns an array of strings; empty if absent or {@code null}. */
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

    /**
     * Returns an array of numbers, with 0 in place of each element that is not a number; empty if
     * absent or {@code null}.
     */
    public List<Double> numbers(String name) {
        List<Double> numbers = new ArrayList<>();
        for (Object element : array(name)) {
            numbers.add(element instanceof Number number ? number.doubleValue() : 0.0);
        }
        return numbers;
    }

    /** Returns all members that are numbers, by name. */
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

    /** A view of an array that checks the type of an element when the element is read. */
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
