package waytrestle.controller;

import java.util.ArrayDeque;

/**
 * Decides whether the process goes on after a decision of the scheduler threw. One failed decision
 * fails one request; many within a time window mean that the scheduler's state is corrupt, and a
 * restart with a fresh one serves better. Symptom: a process that looks healthy to load balancers
 * while every decision in it throws.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
public final class FailureThreshold {
    private static final long MICROS_PER_MILLI = 1_000;

    private final int maxFailures;
    private final long windowMicros;
    private final ArrayDeque<Long> failureTimes = new ArrayDeque<>();

    /** Tolerates this many failures within any window of this length. */
    public FailureThreshold(int maxFailures, long windowMicros) {
        this.maxFailures = maxFailures;
        this.windowMicros = windowMicros;
    }

    String description() {
        return maxFailures + " decisions failed within " + windowMicros / MICROS_PER_MILLI + " ms";
    }

    /** Counts a failure; true when the process should stop. */
    public boolean recordFailure(long nowMicros) {
        failureTimes.add(nowMicros);
        while (failureTimes.peek() < nowMicros - windowMicros) {
            failureTimes.poll();
        }
        return failureTimes.size() > maxFailures;
    }
}
