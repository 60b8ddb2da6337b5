package waytrestle.config;

import java.util.List;

/** A file that cannot be used, with every fault found in it. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<String> faults;

    public ConfigException(List<String> faults) {
        super(String.join("\n", faults));
        this.faults = faults;
    }

    public List<String> errors() {
        return faults;
    }
}
