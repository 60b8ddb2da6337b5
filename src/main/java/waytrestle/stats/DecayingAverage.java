package waytrestle.stats;

/**
 * A count and its time average, in which earlier counts lose weight exponentially. Times are in
 * microseconds.
 *
 * <p>Not thread-safe.
 */
public final class DecayingAverage {
    private final double timeConstantMicros;
    private int count;
    private double averageAtUpdate;
    private boolean started;
    private long updatedAtMicros;

    /**
     * Creates an average without a count; the weight of earlier counts falls to 1/e within the time
     * constant.
     */
    public DecayingAverage(double timeConstantMicros) {
        this.timeConstantMicros = timeConstantMicros;
    }

    /** Returns the count that was set last; 0 if none was set. */
    public int count() {
        return count;
    }

    /** Returns the average at the given time, which must not be before the last change. */
    public double average(long nowMicros) {
        return count
                + (averageAtUpdate - count)
                        * Math.exp((updatedAtMicros - nowMicros) / timeConstantMicros);
    }

    /** Returns the larger of the count and the average at the given time. */
    public double maxOfCountAndAverage(long nowMicros) {
        return Math.max(count, average(nowMicros));
    }

    /** Sets the count; the first one is also the average. */
    public void setCount(int newCount, long nowMicros) {
        averageAtUpdate = started ? average(nowMicros) : newCount;
        started = true;
        count = newCount;
        updatedAtMicros = nowMicros;
    }
}
