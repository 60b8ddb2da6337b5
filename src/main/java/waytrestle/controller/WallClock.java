package waytrestle.controller;

import java.util.function.LongSupplier;

/**
 * The wall clock, in milliseconds and in seconds since the epoch.
 *
 * @param millisSource returns the time in milliseconds since the epoch
 */
record WallClock(LongSupplier millisSource) {
    private static final long MILLIS_PER_SECOND = 1_000;

    long millis() {
        return millisSource.getAsLong();
    }

    long seconds() {
        return Math.floorDiv(millis(), MILLIS_PER_SECOND);
    }
}
