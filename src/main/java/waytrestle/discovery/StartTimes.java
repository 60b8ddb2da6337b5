package waytrestle.discovery;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Translates start times from the wall clock of the health API to the scheduler's monotonic clock.
 * A start that is reported again keeps the time it was first given, however the two clocks drift
 * apart: otherwise each snapshot would make a running invoker look restarted.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class StartTimes {
    static final long NOT_REPORTED = 0;

    /** Bounds the memory where endpoints come and go for months; five times the largest list. */
    private static final int MAX_CACHED = 100_000;

    private record StartTime(long unixMillis, long micros) {}

    private final StartTimeTranslation translation;
    private final Map<String, StartTime> cachedById = new HashMap<>();

    StartTimes(LongSupplier monotonicMicros, LongSupplier unixMillis) {
        this.translation = new StartTimeTranslation(monotonicMicros, unixMillis);
    }

    /** The monotonic time of an endpoint's start; {@link #NOT_REPORTED} stays as it is. */
    long toMonotonicMicros(String id, long startedAtUnixMillis) {
        if (startedAtUnixMillis == NOT_REPORTED) {
            cachedById.remove(id);
            return NOT_REPORTED;
        }
        StartTime cached = cachedById.get(id);
        if (cached != null && cached.unixMillis() == startedAtUnixMillis) {
            return cached.micros();
        }
        if (cachedById.size() > MAX_CACHED) {
            cachedById.clear();
        }
        long micros = translation.toMonotonicMicros(startedAtUnixMillis);
        cachedById.put(id, new StartTime(startedAtUnixMillis, micros));
        return micros;
    }
}
