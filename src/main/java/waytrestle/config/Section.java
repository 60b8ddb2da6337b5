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
 * A table of a TOML file, read key by key. Every fault is kept with its place so that all are told
 * at once; a faulty key reads as its least value and the whole is refused at the end. Keys that
 * nobody asked for are faults too.
 */
public final class Section {
    /** Faults of one file, in the order of their lines. */
    public static final class Errors {
        private record Fault(int line, String text) {}

        private final String file;
        private final List<Fault> faults = new ArrayList<>();

        public Errors(String file) {
            this.file = file;
        }

        public void add(int line, String key, String text) {
            faults.add(
                    new Fault(
                            line,
                            file + ":" + line + ": " + (key.isEmpty() ? "" : key + ": ") + text));
        }

        public boolean isEmpty() {
            return faults.isEmpty();
        }

        public List<String> messages() {
            return faults.stream()
                    .sorted(Comparator.comparingInt(Fault::line))
                    .map(Fault::text)
                    .distinct()
                    .toList();
        }
    }

    private final TomlTable table;
    private final String path;
    private final int line;
    private final Errors faults;
    private final Set<String> asked = new LinkedHashSet<>();
    private final List<Section> children = new ArrayList<>();

    public Section(TomlTable table, String path, int line, Errors faults) {
        this.table = table;
        this.path = path;
        this.line = line;
        this.faults = faults;
    }

    public String path() {
        return path;
    }

    public boolean has(String key) {
        return table != null && table.contains(List.of(key));
    }

    private Object get(String key) {
        asked.add(key);
        return has(key) ? table.get(List.of(key)) : null;
    }

    private int lineOf(String key) {
        TomlPosition at = has(key) ? table.inputPositionOf(List.of(key)) : null;
        return at == null ? line : at.line();
    }

    public void addError(String key, String text) {
        faults.add(
                lineOf(key), path.isEmpty() ? key : key.isEmpty() ? path : path + "." + key, text);
    }

    public Section subsection(String key) {
        Object value = get(key);
        if (value != null && !(value instanceof TomlTable)) {
            addError(key, "must be a table");
        }
        return child(value instanceof TomlTable t ? t : null, key, lineOf(key));
    }

    private Section child(TomlTable t, String key, int at) {
        Section made = new Section(t, path.isEmpty() ? key : path + "." + key, at, faults);
        children.add(made);
        return made;
    }

    /** A table as TOML text, for another reader to check; empty where absent. */
    public String toToml(String key) {
        return get(key) instanceof TomlTable t ? t.toToml() : "";
    }

    /** The tables of an array of tables; none where the key is absent. */
    public List<Section> subsections(String key) {
        Object value = get(key);
        List<Section> all = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (int i = 0; i < array.size(); i++) {
                if (array.get(i) instanceof TomlTable t) {
                    all.add(child(t, key + "[" + i + "]", array.inputPositionOf(i).line()));
                } else {
                    addError(key, "must hold tables");
                }
            }
        } else if (value != null) {
            addError(key, "must be an array of tables, [[" + key + "]]");
        }
        return all;
    }

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

    public String text(String key, String otherwise) {
        return has(key) ? text(key) : skip(key, otherwise);
    }

    private <T> T skip(String key, T otherwise) {
        asked.add(key);
        return otherwise;
    }

    public boolean flag(String key) {
        Object value = get(key);
        if (value == null) {
            addError(key, "is missing");
        } else if (!(value instanceof Boolean)) {
            addError(key, "must be true or false");
        }
        return value instanceof Boolean b && b;
    }

    public boolean flag(String key, boolean otherwise) {
        return has(key) ? flag(key) : skip(key, otherwise);
    }

    public double number(String key, double least, double most) {
        Object value = get(key);
        if (value == null) {
            addError(key, "is missing");
        } else if (!(value instanceof Number n)) {
            addError(key, "must be a number");
        } else if (n.doubleValue() < least
                || n.doubleValue() > most
                || Double.isNaN(n.doubleValue())) {
            addError(key, "must lie from " + plain(least) + " to " + plain(most) + ", not " + n);
        } else {
            return n.doubleValue();
        }
        return least;
    }

    public double number(String key, double least, double most, double otherwise) {
        return has(key) ? number(key, least, most) : skip(key, otherwise);
    }

    public long integer(String key, long least, long most) {
        Object value = get(key);
        if (value == null) {
            addError(key, "is missing");
        } else if (!(value instanceof Long n)) {
            addError(key, "must be a whole number");
        } else if (n < least || n > most) {
            addError(key, "must lie from " + least + " to " + most + ", not " + n);
        } else {
            return n;
        }
        return least;
    }

    public long integer(String key, long least, long most, long otherwise) {
        return has(key) ? integer(key, least, most) : skip(key, otherwise);
    }

    /** A time in milliseconds, fractions allowed, as micros. */
    public long microsFromMillis(String key, double least, double most) {
        return Math.round(number(key, least, most) * 1_000);
    }

    public long microsFromMillis(String key, double least, double most, double otherwise) {
        return Math.round(number(key, least, most, otherwise) * 1_000);
    }

    /** One of an enum's constants by its name in lower case. */
    public <E extends Enum<E>> E choice(String key, Class<E> type) {
        return choice(key, type, each -> each.name().toLowerCase(Locale.ROOT));
    }

    /** One of an enum's constants by the word that the settings have for it. */
    public <E extends Enum<E>> E choice(String key, Class<E> type, Function<E, String> word) {
        String given = text(key);
        List<String> words = new ArrayList<>();
        for (E each : type.getEnumConstants()) {
            if (word.apply(each).equals(given)) {
                return each;
            }
            words.add(word.apply(each));
        }
        if (!given.isEmpty()) {
            addError(key, "must be one of " + words + ", not \"" + given + "\"");
        }
        return type.getEnumConstants()[0];
    }

    /** Text of an array; empty where the key is absent. */
    public List<String> texts(String key) {
        Object value = get(key);
        List<String> all = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (int i = 0; i < array.size(); i++) {
                if (array.get(i) instanceof String s) {
                    all.add(s);
                } else {
                    faults.add(
                            array.inputPositionOf(i).line(),
                            path + "." + key,
                            "must hold text only");
                }
            }
        } else if (value != null) {
            addError(key, "must be an array of text");
        }
        return all;
    }

    /** The place of a name among others, told as a fault when it is none of them. */
    public int indexIn(String key, List<String> names, String what) {
        String given = text(key);
        int at = names.indexOf(given);
        if (at < 0 && !given.isEmpty()) {
            addError(key, "names no " + what + ": \"" + given + "\"");
        }
        return Math.max(0, at);
    }

    /** Faults for every key that was never asked for, here and below. */
    public void reportUnknownKeys() {
        if (table != null) {
            for (String key : table.keySet()) {
                if (!asked.contains(key)) {
                    addError(key, "is unknown; known here: " + String.join(", ", asked));
                }
            }
        }
        children.forEach(Section::reportUnknownKeys);
    }

    private static String plain(double number) {
        return number == Math.rint(number) && Math.abs(number) < 1e15
                ? Long.toString((long) number)
                : Double.toString(number);
    }
}
