package waytrestle.discovery;

import java.util.function.LongSupplier;

/**
 * Translates process starts, reported in Unix time, to the monotonic clock. The wall clock may have
 * been stepped since this process began, and whether whoever reports a start has seen the step is
 * not known. So a start is translated by the wall clock as it is and as it would be without steps,
 * and the later result counts: a step forward must not pass a cold invoker off as warm. No start
 * lies in the future: a step back must not keep an invoker cold for as long as the step.
 */
public final class StartTimeTranslation {
    private static final long MICROS_PER_MILLI = 1_000;

    /** Earliest result: 0 stands for a start that is not reported. */
    private static final long EARLIEST_MICROS = 1;

    private final LongSupplier monotonicMicros;
    private final LongSupplier unixMillis;
    private final long firstMonotonicMicros;
    private final long firstUnixMillis;

    /** Begins with both clocks as they are now. */
    public StartTimeTranslation(LongSupplier monotonicMicros, LongSupplier unixMillis) {
        this.monotonicMicros = monotonicMicros;
        this.unixMillis = unixMillis;
        this.firstMonotonicMicros = monotonicMicros.getAsLong();
        this.firstUnixMillis = unixMillis.getAsLong();
    }

    /** The monotonic time of a start; never 0. */
    public long toMonotonicMicros(long startedAtUnixMillis) {
        long now = monotonicMicros.getAsLong();
        long ageMillis = unixMillis.getAsLong() - startedAtUnixMillis;
        long byWallClock = now - ageMillis * MICROS_PER_MILLI;
        long sinceFirstMillis = startedAtUnixMillis - firstUnixMillis;
        long withoutSteps = firstMonotonicMicros + sinceFirstMillis * MICROS_PER_MILLI;
        long start = Math.min(now, Math.max(byWallClock, withoutSteps));
        return Math.max(EARLIEST_MICROS, start);
    }
}
