package waytrestle.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/**
 * Reads a whole TOML file by a reader of its sections, or says everything that is wrong with it.
 */
public final class TomlFile {
    private TomlFile() {}

    public static <T> T read(Path file, Function<Section, T> reader) throws ConfigException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new ConfigException(
                    List.of(
                            file
                                    + ": cannot be read: "
                                    + e.getClass().getSimpleName()
                                    + " "
                                    + e.getMessage()));
        }
        return parse(text, file.getFileName().toString(), reader);
    }

    public static <T> T parse(String text, String name, Function<Section, T> reader)
            throws ConfigException {
        Section.Errors faults = new Section.Errors(name);
        TomlParseResult toml = Toml.parse(text);
        toml.errors().forEach(e -> faults.add(e.position().line(), "", e.getMessage()));
        if (!faults.isEmpty()) {
            throw new ConfigException(faults.messages());
        }
        Section root = new Section(toml, "", 1, faults);
        T value = reader.apply(root);
        root.reportUnknownKeys();
        if (!faults.isEmpty()) {
            throw new ConfigException(faults.messages());
        }
        return value;
    }

    /** The names of an array of tables, for what must know them before the whole is checked. */
    public static List<String> tableNames(String text, String key) {
        List<String> all = new ArrayList<>();
        new Section(Toml.parse(text), "", 1, new Section.Errors(""))
                .subsections(key)
                .forEach(s -> all.add(s.text("name")));
        return all;
    }
}
