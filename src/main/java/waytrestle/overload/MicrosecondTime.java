package waytrestle.overload;

/** Conversion of the microsecond times that this package is given. */
final class MicrosecondTime {
    private static final double MICROS_PER_SECOND = 1e6;

    private MicrosecondTime() {}

    static double toSeconds(long micros) {
        return micros / MICROS_PER_SECOND;
    }
}
