package waytrestle.net;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Counts the system calls that failed on one loop, by what was done about them, and reports each
 * for the log. Not thread-safe: used by the loop's thread.
 */
public final class SystemFaults {
    private final Map<String, Long> counts = new TreeMap<>();
    private Consumer<String> log = line -> {};

    /** From now on each fault is reported by a line. */
    public void reportTo(Consumer<String> receiver) {
        log = receiver;
    }

    /**
     * Notes a fault.
     *
     * @param operation what failed, as in {@code client.read}
     * @param reaction what is done about it, as in {@code retried}
     * @param error null where there is none
     */
    public void count(String operation, String reaction, Exception error) {
        counts.merge(operation + "." + reaction, 1L, Long::sum);
        log.accept(
                "net.fault operation="
                        + operation
                        + " reaction="
                        + reaction
                        + " error=\""
                        + (error == null ? "" : error.getMessage())
                        + "\"");
    }

    /** How often each happened, by {@code operation.reaction}. */
    public Map<String, Long> counts() {
        return counts;
    }
}
