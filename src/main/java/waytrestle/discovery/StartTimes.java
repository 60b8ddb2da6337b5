package waytrestle.discovery;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Translates the start times of endpoints that the health API reports, in Unix time, to the
 * scheduler's monotonic clock, and caches the results. A start time that is reported again keeps
 * its first translation even if the two clocks drift apart: otherwise each snapshot would make a
 * running invoker look restarted.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class StartTimes {
    /** Stands for a start time that the health API does not report, on both clocks. */
    static final long NOT_REPORTED = 0;

    /**
     * Bounds the memory when endpoints come and go for months. Five times the number of endpoints
     * in the largest list.
     */
    private static final int MAX_CACHED = 100_000;

    private record StartTime(long unixMillis, long monotonicMicros) {}

    private final StartTimeTranslation translation;
    private final Map<String, StartTime> cachedById = new HashMap<>();

    /**
     * Creates an empty cache.
     *
     * @param monotonicMicros the scheduler's monotonic clock, in microseconds
     * @param unixMillis wall clock, in Unix milliseconds
     */
    StartTimes(LongSupplier monotonicMicros, LongSupplier unixMillis) {
        this.translation = new StartTimeTranslation(monotonicMicros, unixMillis);
    }

    /**
     * Returns the start time of an endpoint on the monotonic clock, in microseconds. Returns {@link
     * #NOT_REPORTED} for {@link #NOT_REPORTED} and then forgets the endpoint's earlier start time.
     *
     * @param id id of the endpoint
     * @param startedAtUnixMillis reported start time in Unix milliseconds, or {@link #NOT_REPORTED}
     */
    long toMonotonicMicros(String id, long startedAtUnixMillis) {
        if (startedAtUnixMillis == NOT_REPORTED) {
            cachedById.remove(id);
            return NOT_REPORTED;
        }
        StartTime cached = cachedById.get(id);
        if (cached != null && cached.unixMillis() == startedAtUnixMillis) {
            return cached.monotonicMicros();
        }
        if (cachedById.size() > MAX_CACHED) {
            cachedById.clear();
        }
        long startedAtMicros = translation.toMonotonicMicros(startedAtUnixMillis);
        cachedById.put(id, new StartTime(startedAtUnixMillis, startedAtMicros));
        return startedAtMicros;
    }
}
