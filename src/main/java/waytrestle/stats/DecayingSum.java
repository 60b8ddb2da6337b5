package waytrestle.stats;

/**
 * A sum whose terms lose weight exponentially with time.
 *
 * <p>Not thread-safe.
 */
public final class DecayingSum {
    private final double spanMicros;
    private double value;
    private long updatedAt;

    /** A sum of zero, whose terms fall to 1/e of their weight within the span. */
    public DecayingSum(double spanMicros) {
        this.spanMicros = spanMicros;
    }

    /** The sum at a time, which must not be before the last change. */
    public double value(long nowMicros) {
        return value == 0 ? 0 : value * Math.exp((updatedAt - nowMicros) / spanMicros);
    }

    /** Adds a term. */
    public void add(double term, long nowMicros) {
        value = value(nowMicros) + term;
        updatedAt = nowMicros;
    }

    /** Replaces the sum. */
    public void set(double sum, long nowMicros) {
        value = sum;
        updatedAt = nowMicros;
    }
}
