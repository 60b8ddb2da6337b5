package waytrestle.stats;

/**
 * A sum whose terms lose weight exponentially with time. Times are in microseconds.
 *
 * <p>Not thread-safe.
 */
public final class DecayingSum {
    private final double timeConstantMicros;
    private double value;
    private long updatedAtMicros;

    /** Creates a sum of zero; the weight of its terms falls to 1/e within the time constant. */
    public DecayingSum(double timeConstantMicros) {
        this.timeConstantMicros = timeConstantMicros;
    }

    /** Returns the sum at the given time, which must not be before the last change. */
    public double value(long nowMicros) {
        return value == 0
                ? 0
                : value * Math.exp((updatedAtMicros - nowMicros) / timeConstantMicros);
    }

    /** Adds a term to the sum. */
    public void add(double term, long nowMicros) {
        value = value(nowMicros) + term;
        updatedAtMicros = nowMicros;
    }

    /** Replaces the sum. */
    public void set(double sum, long nowMicros) {
        value = sum;
        updatedAtMicros = nowMicros;
    }
}
