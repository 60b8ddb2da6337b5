package waytrestle.config;

import java.util.List;

/** A file that cannot be used, with every fault found in it. */
public final class ConfigError extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<String> faults;

    public ConfigError(List<String> faults) {
        super(String.join("\n", faults));
        this.faults = faults;
    }

    public List<String> faults() {
        return faults;
    }
}
