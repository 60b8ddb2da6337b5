package waytrestle.controller;

import java.util.function.LongSupplier;

/** The wall clock, in the two units that the controller needs. */
record WallClock(LongSupplier millisSource) {
    private static final long MILLIS_PER_SECOND = 1_000;

    long millis() {
        return millisSource.getAsLong();
    }

    long seconds() {
        return Math.floorDiv(millis(), MILLIS_PER_SECOND);
    }
}
