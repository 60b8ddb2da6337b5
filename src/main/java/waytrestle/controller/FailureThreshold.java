package waytrestle.controller;

import java.util.ArrayDeque;

/**
 * Counts failed decisions of the scheduler, ones that threw, and tells when they are too many. One
 * failed decision fails one request; many within a time window mean that the scheduler's state is
 * corrupt, and a restart with a fresh state serves better. Guards against a process that looks
 * healthy to load balancers while every decision in it throws.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class FailureThreshold {
    private static final long MICROS_PER_MILLI = 1_000;

    private final int maxFailures;
    private final long windowMicros;
    private final ArrayDeque<Long> failureTimes = new ArrayDeque<>();

    /**
     * Creates a threshold that tolerates up to {@code maxFailures} within any {@code windowMicros}.
     */
    public FailureThreshold(int maxFailures, long windowMicros) {
        this.maxFailures = maxFailures;
        this.windowMicros = windowMicros;
    }

    /** Returns the number of failures and the window that are tolerated, in words. */
    String description() {
        return maxFailures + " decisions failed within " + windowMicros / MICROS_PER_MILLI + " ms";
    }

    /** Records a failure and returns whether there are now too many within the window. */
    public boolean recordFailure(long nowMicros) {
        failureTimes.add(nowMicros);
        while (failureTimes.peek() < nowMicros - windowMicros) {
            failureTimes.poll();
        }
        return failureTimes.size() > maxFailures;
    }
}
