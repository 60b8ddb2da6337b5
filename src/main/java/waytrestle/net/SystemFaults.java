package waytrestle.net;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Counts the failed system calls of one event loop by operation and reaction, and reports each as a
 * lineReceiver line. Not thread-safe: used on the loop's thread.
 */
public final class SystemFaults {
    private final Map<String, Long> counts = new TreeMap<>();
    private Consumer<String> lineReceiver = line -> {};

    /** Sets the receiver of a lineReceiver line for each later fault. */
    public void reportTo(Consumer<String> receiver) {
        lineReceiver = receiver;
    }

    /**
     * Counts and reports a fault.
     *
     * @param operation what failed, as in {@code client.read}
     * @param reaction what is done about the fault, as in {@code retried}
     * @param error the failure, null if there was no exception
     */
    public void count(String operation, String reaction, Exception error) {
        counts.merge(operation + "." + reaction, 1L, Long::sum);
        lineReceiver.accept(
                "net.fault operation="
                        + operation
                        + " reaction="
                        + reaction
                        + " error=\""
                        + (error == null ? "" : error.getMessage())
                        + "\"");
    }

    /**
     * Returns the number of faults so far, by {@code operation.reaction}. The map is not a copy: it
     * changes with each further fault.
     */
    public Map<String, Long> counts() {
        return counts;
    }
}
