package waytrestle.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import waytrestle.discovery.StartTimeTranslation;
import waytrestle.net.Loop;

/**
 * When each invoker's present process started, on the event loop's monotonic clock.
 *
 * <p>A reported start is converted once and then remembered. Guards against a start that moves with
 * every event while the wall clock drifts or is stepped.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class ProcessStartTimes {
    /** Start of an invoker of which none is reported, or that started long ago. */
    private static final long UNKNOWN_START_MICROS = 0;

    /** A reported start, and the same moment on the monotonic clock. */
    private record ProcessStart(long unixMillis, long loopMicros) {}

    private final StartTimeTranslation translation;
    private final Map<String, ProcessStart> byInvoker = new HashMap<>();

    ProcessStartTimes(LongSupplier wallMillis) {
        this.translation = new StartTimeTranslation(Loop::nowMicros, wallMillis);
    }

    /** Converts a start as reported in Unix milliseconds; 0 or less is not reported and gives 0. */
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

    /** Forgets an invoker. */
    void remove(String invoker) {
        byInvoker.remove(invoker);
    }

    /** Forgets all other invokers. */
    void retainOnly(Set<String> invokers) {
        byInvoker.keySet().retainAll(invokers);
    }

    /** Number of invokers with a reported start. */
    int size() {
        return byInvoker.size();
    }
}
