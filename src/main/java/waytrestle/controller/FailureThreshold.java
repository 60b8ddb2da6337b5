package waytrestle.controller;

import java.util.ArrayDeque;

/**
 * Whether the process goes on after a decision threw. One failed decision is one failed call; many
 * within a span mean that the module's state is broken, and a restart with a fresh one serves
 * better. Guards against a module that throws at each event while its process looks alive to
 * whoever spreads the clients.
 */
public final class FailureThreshold {
    private final int most;
    private final long span;
    private final ArrayDeque<Long> times = new ArrayDeque<>();

    public FailureThreshold(int most, long spanMicros) {
        this.most = most;
        this.span = spanMicros;
    }

    String description() {
        return most + " decisions failed within " + span / 1_000 + " ms";
    }

    /** Counts a fault; true when the process should stop. */
    public boolean exceededBy(long now) {
        times.add(now);
        while (times.peek() < now - span) {
            times.poll();
        }
        return times.size() > most;
    }
}
