package waytrestle.config;

import java.util.List;

/** Thrown when a configuration file cannot be used; holds every error found in the file. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<String> errors;

    /**
     * Creates an exception whose message has one line per error.
     *
     * @param errors messages that name the file and, where it is known, the line and the key
     */
    public ConfigException(List<String> errors) {
        super(String.join("\n", errors));
        this.errors = errors;
    }

    /** Returns the error messages; null after deserialization. */
    public List<String> errors() {
        return errors;
    }
}
