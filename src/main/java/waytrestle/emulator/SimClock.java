package waytrestle.emulator;

import java.util.PriorityQueue;
import waytrestle.standin.Env;

/**
 * Simulated time: tasks in the order of their times, ties in the order of setting. Nothing waits.
 */
public final class SimClock implements Env {
    private record Task(long at, long order, Runnable run) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private static final long START =
            1_000_000_000L; // micros: times before the beginning stay positive

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long now = START, orders, done;

    @Override
    public long now() {
        return now;
    }

    @Override
    public void after(long micros, Runnable task) {
        tasks.add(new Task(now + Math.max(0, micros), orders++, task));
    }

    /** Tasks done so far. */
    public long done() {
        return done;
    }

    public void runUntil(long until) {
        while (!tasks.isEmpty() && tasks.peek().at() <= until) {
            Task next = tasks.poll();
            now = next.at();
            done++;
            next.run().run();
        }
        now = Math.max(now, until);
    }
}
