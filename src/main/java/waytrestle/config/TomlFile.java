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
 * Reads a value from a TOML file. If the file has errors, all of them are reported in one {@link
 * ConfigException}: errors of the TOML syntax, or otherwise errors reported by the reader and keys
 * that the reader did not read.
 */
public final class TomlFile {
    private TomlFile() {}

    /**
     * Reads a file.
     *
     * @param reader builds the value from the top-level table and reports errors to it; must return
     *     normally even if there are errors
     * @throws ConfigException if the file cannot be read or has errors
     */
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

    /**
     * Parses the text of a file.
     *
     * @param name name of the file in error messages
     * @param reader builds the value from the top-level table and reports errors to it; must return
     *     normally even if there are errors
     * @throws ConfigException if the text has errors
     */
    public static <T> T parse(String text, String name, Function<Section, T> reader)
            throws ConfigException {
        Section.Errors errors = new Section.Errors(name);
        TomlParseResult toml = Toml.parse(text);
        toml.errors().forEach(error -> errors.add(error.position().line(), "", error.getMessage()));
        if (!errors.isEmpty()) {
            throw new ConfigException(errors.messages());
        }
        Section root = new Section(toml, "", 1, errors);
        T value = reader.apply(root);
        root.reportUnknownKeys();
        if (!errors.isEmpty()) {
            throw new ConfigException(errors.messages());
        }
        return value;
    }

    /**
     * Returns the value of {@code name} in each table of an array of tables, in order; a missing
     * name is returned as an empty string. Reports no errors, so that the names can be used before
     * the whole file is checked.
     *
     * @param text text of the file
     * @param key key of the array of tables at the top level
     */
    public static List<String> tableNames(String text, String key) {
        List<String> names = new ArrayList<>();
        new Section(Toml.parse(text), "", 1, new Section.Errors(""))
                .subsections(key)
                .forEach(section -> names.add(section.text("name")));
        return names;
    }
}
