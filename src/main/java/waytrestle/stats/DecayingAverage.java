package waytrestle.stats;

/**
 * A count together with its time average, in which the past loses weight exponentially.
 *
 * <p>Not thread-safe.
 */
public final class DecayingAverage {
    private final double spanMicros;
    private int count;
    private double averageBefore;
    private boolean started;
    private long updatedAt;

    /** An average without a count yet; the past falls to 1/e of its weight within the span. */
    public DecayingAverage(double spanMicros) {
        this.spanMicros = spanMicros;
    }

    /** The count that was set last. */
    public int count() {
        return count;
    }

    /** The average at a time, which must not be before the last change. */
    public double average(long nowMicros) {
        return count + (averageBefore - count) * Math.exp((updatedAt - nowMicros) / spanMicros);
    }

    /** The larger of count and average. */
    public double maxOfCountAndAverage(long nowMicros) {
        return Math.max(count, average(nowMicros));
    }

    /** Changes the count; the first one is also the average. */
    public void setCount(int newCount, long nowMicros) {
        averageBefore = started ? average(nowMicros) : newCount;
        started = true;
        count = newCount;
        updatedAt = nowMicros;
    }
}
