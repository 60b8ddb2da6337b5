package waytrestle.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import waytrestle.discovery.StartTimeTranslation;
import waytrestle.net.Loop;

/**
 * Converts the start time of each invoker's present process from Unix time to the event loop's
 * monotonic clock.
 *
 * <p>A reported start time is converted once and the result is stored. Otherwise the converted
 * start time would change with every event while the wall clock drifts or is stepped.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class ProcessStartTimes {
    /** Start time of a process that started long ago or whose start time is not reported. */
    private static final long UNKNOWN_START_MICROS = 0;

    /** A reported start time in Unix milliseconds, and its conversion to the monotonic clock. */
    private record ProcessStart(long unixMillis, long loopMicros) {}

    private final StartTimeTranslation translation;
    private final Map<String, ProcessStart> byInvoker = new HashMap<>();

    ProcessStartTimes(LongSupplier wallMillis) {
        this.translation = new StartTimeTranslation(Loop::nowMicros, wallMillis);
    }

    /**
     * Returns the start time of an invoker's process in microseconds on the monotonic clock, or 0
     * if it is not reported.
     *
     * @param unixMillis the reported start time; 0 or less stands for one that is not reported
     */
    long startedAtMicros(String invoker, long unixMillis) {
        if (unixMillis <= 0) {
            return UNKNOWN_START_MICROS;
        }
        ProcessStart known = byInvoker.get(invoker);
        if (known == null || known.unixMillis() != unixMillis) {
            known = new ProcessStart(unixMillis, translation.toMonotonicMicros(unixMillis));
            byInvoker.put(invoker, known);
        }
        return known.loopMicros();
    }

    /** Removes an invoker's start time; does nothing if none is stored. */
    void remove(String invoker) {
        byInvoker.remove(invoker);
    }

    /** Removes the start times of all invokers that are not in the set. */
    void retainOnly(Set<String> invokers) {
        byInvoker.keySet().retainAll(invokers);
    }

    /** Returns the number of invokers with a reported start time. */
    int size() {
        return byInvoker.size();
    }
}
