package waytrestle.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import waytrestle.net.Loop;

/**
 * When each invoker's present process started, on the event loop's monotonic clock.
 *
 * <p>A reported start is converted once and then remembered. Guards against a start that moves with
 * every event while the wall clock drifts or is stepped. It is converted by the wall clock as it is
 * and as it would be without the steps since this process began, and the later start counts: a step
 * forward must not pass a cold invoker off as warm. No start lies in the future: a step back must
 * not keep an invoker cold for as long as the step.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class ProcessStartTimes {
    private static final long MICROS_PER_MILLI = 1_000;

    /** Start of an invoker of which none is reported, or that started long ago. */
    private static final long NOT_REPORTED = 0;

    /** Earliest start that is told apart from one that is not reported. */
    private static final long MIN_START_MICROS = 1;

    /** A reported start, and the same moment on the monotonic clock. */
    private record ProcessStart(long unixMillis, long loopMicros) {}

    private final LongSupplier wallMillis;
    private final Map<String, ProcessStart> byInvoker = new HashMap<>();

    private final LongSupplier loopMicros;
    private final long firstWallMillis;
    private final long firstLoopMicros;

    ProcessStartTimes(LongSupplier wallMillis) {
        this(wallMillis, Loop::now);
    }

    /**
     * Creates it empty.
     *
     * @param loopMicros the event loop's monotonic clock
     */
    ProcessStartTimes(LongSupplier wallMillis, LongSupplier loopMicros) {
        this.wallMillis = wallMillis;
        this.loopMicros = loopMicros;
        this.firstWallMillis = wallMillis.getAsLong();
        this.firstLoopMicros = loopMicros.getAsLong();
    }

    /** Converts a start as reported in Unix milliseconds; 0 or less is not reported and gives 0. */
    long startedAtMicros(String invoker, long unixMillis) {
        if (unixMillis <= 0) {
            return NOT_REPORTED;
        }
        ProcessStart known = byInvoker.get(invoker);
        if (known == null || known.unixMillis() != unixMillis) {
            known = new ProcessStart(unixMillis, toLoopMicros(unixMillis));
            byInvoker.put(invoker, known);
        }
        return known.loopMicros();
    }

    private long toLoopMicros(long unixMillis) {
        long now = loopMicros.getAsLong();
        long byWallClock = now - (wallMillis.getAsLong() - unixMillis) * MICROS_PER_MILLI;
        long withoutSteps = firstLoopMicros + (unixMillis - firstWallMillis) * MICROS_PER_MILLI;
        long start = Math.min(now, Math.max(byWallClock, withoutSteps));
        return Math.max(MIN_START_MICROS, start);
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
