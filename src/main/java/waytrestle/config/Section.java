package waytrestle.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * A table of a TOML file, read key by key. An invalid or missing value does not end the reading: it
 * adds an error with the line of the key and reads as a placeholder of the key's type, such as the
 * minimum of a number. So all errors of a file are reported at once, and the caller discards the
 * value that was read from a file with errors. A key that is never read is an error too.
 *
 * <p>An absent table reads as one in which every key is absent. Not thread-safe.
 */
public final class Section {
    /** Collects the errors of one file. */
    public static final class Errors {
        private record ErrorAtLine(int line, String message) {}

        private final String file;
        private final List<ErrorAtLine> errors = new ArrayList<>();

        /**
         * Creates an empty collection.
         *
         * @param file name of the file in the messages
         */
        public Errors(String file) {
            this.file = file;
        }

        /**
         * Adds an error.
         *
         * @param line line in the file, counted from 1
         * @param key path of the key; empty if the error concerns no key
         * @param text what is wrong, as a continuation of the key
         */
        public void add(int line, String key, String text) {
            errors.add(
                    new ErrorAtLine(
                            line,
                            file + ":" + line + ": " + (key.isEmpty() ? "" : key + ": ") + text));
        }

        /** Returns whether no error was added. */
        public boolean isEmpty() {
            return errors.isEmpty();
        }

        /** Returns the distinct messages in the order of their lines. */
        public List<String> messages() {
            return errors.stream()
                    .sorted(Comparator.comparingInt(ErrorAtLine::line))
                    .map(ErrorAtLine::message)
                    .distinct()
                    .toList();
        }
    }

    /** Null if the table is absent. */
    private final TomlTable table;

    /** Keys from the top-level table to this one, joined by dots; empty for the top-level table. */
    private final String path;

    /** Line of the table; for an absent table, that of the closest enclosing table. */
    private final int line;

    private final Errors errors;

    /** Keys that were read, whether present or not. */
    private final Set<String> readKeys = new LinkedHashSet<>();

    private final List<Section> children = new ArrayList<>();

    /**
     * Creates a section that no key has been read from.
     *
     * @param table the table; null if it is absent
     * @param path keys from the top-level table to this one, joined by dots
     * @param line line of errors that concern the table or an absent key
     * @param errors receives the errors of this section and of its subsections
     */
    public Section(TomlTable table, String path, int line, Errors errors) {
        this.table = table;
        this.path = path;
        this.line = line;
        this.errors = errors;
    }

    /**
     * Returns the keys from the top-level table to this one, joined by dots, with the index of a
     * table in an array as in {@code class[0]}.
     */
    public String path() {
        return path;
    }

    /** Returns whether the table has a key; does not count as reading it. */
    public boolean has(String key) {
        return table != null && table.contains(List.of(key));
    }

    private Object get(String key) {
        readKeys.add(key);
        return has(key) ? table.get(List.of(key)) : null;
    }

    private int lineOf(String key) {
        TomlPosition position = has(key) ? table.inputPositionOf(List.of(key)) : null;
        return position == null ? line : position.line();
    }

    /**
     * Adds an error.
     *
     * @param key the key in this table that the error concerns; empty for the table itself
     * @param text what is wrong, as a continuation of the key
     */
    public void addError(String key, String text) {
        errors.add(
                lineOf(key), path.isEmpty() ? key : key.isEmpty() ? path : path + "." + key, text);
    }

    /** Returns a table in this one; an absent one reads as a table without keys. */
    public Section subsection(String key) {
        Object value = get(key);
        if (value != null && !(value instanceof TomlTable)) {
            addError(key, "must be a table");
        }
        return child(value instanceof TomlTable t ? t : null, key, lineOf(key));
    }

    private Section child(TomlTable childTable, String key, int childLine) {
        Section child =
                new Section(childTable, path.isEmpty() ? key : path + "." + key, childLine, errors);
        children.add(child);
        return child;
    }

    /**
     * Returns a table in this one as TOML text; empty if it is absent. Its keys count as read: the
     * reader of the text has to check them.
     */
    public String toToml(String key) {
        return get(key) instanceof TomlTable t ? t.toToml() : "";
    }

    /** Returns the tables of an array of tables; an empty list if the key is absent. */
    public List<Section> subsections(String key) {
        Object value = get(key);
        List<Section> sections = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (int i = 0; i < array.size(); i++) {
                if (array.get(i) instanceof TomlTable t) {
                    sections.add(child(t, key + "[" + i + "]", array.inputPositionOf(i).line()));
                } else {
                    addError(key, "must hold tables");
                }
            }
        } else if (value != null) {
            addError(key, "must be an array of tables, [[" + key + "]]");
        }
        return sections;
    }

    /** Returns a non-blank string. */
    public String text(String key) {
        Object value = get(key);
        if (value == null) {
            addError(key, "is missing");
        } else if (!(value instanceof String s) || s.isBlank()) {
            addError(key, "must be text");
        } else {
            return s;
        }
        return "";
    }

    /** Returns a non-blank string, or a default if the key is absent. */
    public String text(String key, String defaultValue) {
        return has(key) ? text(key) : readDefault(key, defaultValue);
    }

    private <T> T readDefault(String key, T defaultValue) {
        readKeys.add(key);
        return defaultValue;
    }

    /** Returns a boolean. */
    public boolean flag(String key) {
        Object value = get(key);
        if (value == null) {
            addError(key, "is missing");
        } else if (!(value instanceof Boolean)) {
            addError(key, "must be true or false");
        }
        return value instanceof Boolean b && b;
    }

    /** Returns a boolean, or a default if the key is absent. */
    public boolean flag(String key, boolean defaultValue) {
        return has(key) ? flag(key) : readDefault(key, defaultValue);
    }

    /** Returns a number from {@code min} to {@code max}, bounds included. */
    public double number(String key, double min, double max) {
        Object value = get(key);
        if (value == null) {
            addError(key, "is missing");
        } else if (!(value instanceof Number n)) {
            addError(key, "must be a number");
        } else if (n.doubleValue() < min
                || n.doubleValue() > max
                || Double.isNaN(n.doubleValue())) {
            addError(key, "must lie from " + format(min) + " to " + format(max) + ", not " + n);
        } else {
            return n.doubleValue();
        }
        return min;
    }

    /** Returns a number from {@code min} to {@code max}, or a default if the key is absent. */
    public double number(String key, double min, double max, double defaultValue) {
        return has(key) ? number(key, min, max) : readDefault(key, defaultValue);
    }

    /** Returns an integer from {@code min} to {@code max}, bounds included. */
    public long integer(String key, long min, long max) {
        Object value = get(key);
        if (value == null) {
            addError(key, "is missing");
        } else if (!(value instanceof Long n)) {
            addError(key, "must be a whole number");
        } else if (n < min || n > max) {
            addError(key, "must lie from " + min + " to " + max + ", not " + n);
        } else {
            return n;
        }
        return min;
    }

    /** Returns an integer from {@code min} to {@code max}, or a default if the key is absent. */
    public long integer(String key, long min, long max, long defaultValue) {
        return has(key) ? integer(key, min, max) : readDefault(key, defaultValue);
    }

    /**
     * Returns a time in microseconds, rounded; the file gives it in milliseconds, with fractions
     * allowed.
     *
     * @param min minimum in milliseconds
     * @param max maximum in milliseconds
     */
    public long microsFromMillis(String key, double min, double max) {
        return Math.round(number(key, min, max) * 1_000);
    }

    /**
     * Returns a time in microseconds, rounded, or a default if the key is absent; the file gives
     * the time in milliseconds, with fractions allowed.
     *
     * @param min minimum in milliseconds
     * @param max maximum in milliseconds
     * @param defaultValue default in milliseconds
     */
    public long microsFromMillis(String key, double min, double max, double defaultValue) {
        return Math.round(number(key, min, max, defaultValue) * 1_000);
    }

    /** Returns the constant of an enum whose name in lower case is the value of the key. */
    public <E extends Enum<E>> E choice(String key, Class<E> type) {
        return choice(key, type, constant -> constant.name().toLowerCase(Locale.ROOT));
    }

    /**
     * Returns the constant of an enum for which the value of the key stands.
     *
     * @param word returns the value that stands for a constant
     */
    public <E extends Enum<E>> E choice(String key, Class<E> type, Function<E, String> word) {
        String given = text(key);
        List<String> words = new ArrayList<>();
        for (E constant : type.getEnumConstants()) {
            if (word.apply(constant).equals(given)) {
                return constant;
            }
            words.add(word.apply(constant));
        }
        if (!given.isEmpty()) {
            addError(key, "must be one of " + words + ", not \"" + given + "\"");
        }
        return type.getEnumConstants()[0];
    }

    /** Returns the strings of an array; an empty list if the key is absent. */
    public List<String> texts(String key) {
        Object value = get(key);
        List<String> texts = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (int i = 0; i < array.size(); i++) {
                if (array.get(i) instanceof String s) {
                    texts.add(s);
                } else {
                    errors.add(
                            array.inputPositionOf(i).line(),
                            path + "." + key,
                            "must hold text only");
                }
            }
        } else if (value != null) {
            addError(key, "must be an array of text");
        }
        return texts;
    }

    /**
     * Returns the index in a list of the name that the key holds; 0 with an error if the list does
     * not contain the name.
     *
     * @param what what the names stand for, for the error message
     */
    public int indexIn(String key, List<String> names, String what) {
        String given = text(key);
        int index = names.indexOf(given);
        if (index < 0 && !given.isEmpty()) {
            addError(key, "names an undefined " + what + ": \"" + given + "\"");
        }
        return Math.max(0, index);
    }

    /** Adds an error for each key of this table and of its subsections that was never read. */
    public void reportUnknownKeys() {
        if (table != null) {
            for (String key : table.keySet()) {
                if (!readKeys.contains(key)) {
                    addError(key, "is unknown; known here: " + String.join(", ", readKeys));
                }
            }
        }
        children.forEach(Section::reportUnknownKeys);
    }

    /** Formats a number without a fraction if it is whole and small enough for a long. */
    private static String format(double number) {
        return number == Math.rint(number) && Math.abs(number) < 1e15
                ? Long.toString((long) number)
                : Double.toString(number);
    }
}
