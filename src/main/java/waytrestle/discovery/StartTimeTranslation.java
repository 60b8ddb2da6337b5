package waytrestle.discovery;

import java.util.function.LongSupplier;

/**
 * Translates start times of invoker processes from Unix time to the monotonic clock.
 *
 * <p>The wall clock may have been stepped since this object was created, and it is unknown whether
 * the reported start time was taken before or after the step. So the start time is translated
 * twice, by the present wall clock and by a wall clock without steps, and the later result is used:
 * a step forward must not make a newly started invoker look warmed up. The result never lies in the
 * future: otherwise a step back would keep an invoker in slow start for as long as the step.
 *
 * <p>Immutable: may be used by any thread if the two clocks may.
 */
public final class StartTimeTranslation {
    private static final long MICROS_PER_MILLI = 1_000;

    /** The earliest result; 0 stands for a start time that is not reported. */
    private static final long EARLIEST_MICROS = 1;

    private final LongSupplier monotonicMicros;
    private final LongSupplier unixMillis;
    private final long firstMonotonicMicros;
    private final long firstUnixMillis;

    /**
     * Creates a translation that takes the present times of both clocks as its reference.
     *
     * @param monotonicMicros monotonic clock, in microseconds
     * @param unixMillis wall clock, in Unix milliseconds
     */
    public StartTimeTranslation(LongSupplier monotonicMicros, LongSupplier unixMillis) {
        this.monotonicMicros = monotonicMicros;
        this.unixMillis = unixMillis;
        this.firstMonotonicMicros = monotonicMicros.getAsLong();
        this.firstUnixMillis = unixMillis.getAsLong();
    }

    /**
     * Returns the time on the monotonic clock, in microseconds, that corresponds to a start time in
     * Unix milliseconds. The result is at least 1 and not after the present time.
     */
    public long toMonotonicMicros(long startedAtUnixMillis) {
        long nowMicros = monotonicMicros.getAsLong();
        long ageMillis = unixMillis.getAsLong() - startedAtUnixMillis;
        long byWallClockMicros = nowMicros - ageMillis * MICROS_PER_MILLI;
        long sinceFirstMillis = startedAtUnixMillis - firstUnixMillis;
        long withoutStepsMicros = firstMonotonicMicros + sinceFirstMillis * MICROS_PER_MILLI;
        long startMicros = Math.min(nowMicros, Math.max(byWallClockMicros, withoutStepsMicros));
        return Math.max(EARLIEST_MICROS, startMicros);
    }
}
