package waytrestle.overload;

/** Converts times and durations in microseconds, the unit used throughout the package. */
final class MicrosecondTime {
    private static final double MICROS_PER_SECOND = 1e6;

    private MicrosecondTime() {}

    static double toSeconds(long micros) {
        return micros / MICROS_PER_SECOND;
    }
}
