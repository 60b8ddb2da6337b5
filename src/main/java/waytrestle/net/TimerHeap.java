package waytrestle.net;

import java.util.PriorityQueue;

/**
 * Timers by due time, ties in the order of setting. A cancelled timer stays in the heap until it is
 * due or until cancelled ones are the larger half, when the heap is built anew: cancelling is cheap
 * and the size stays bounded by twice the live timers.
 */
public final class TimerHeap {
    /** One timer; cancelling a second time, or after it ran, does nothing. */
    public static final class Timer implements Comparable<Timer> {
        private final long dueAt;
        private final long order;
        private final TimerHeap heap;
        private Runnable task;

        private Timer(TimerHeap heap, long dueAt, long order, Runnable task) {
            this.heap = heap;
            this.dueAt = dueAt;
            this.order = order;
            this.task = task;
        }

        /** Cancels it; the task will not run. */
        public void cancel() {
            if (task != null) {
                task = null;
                heap.cancelled++;
                heap.compact();
            }
        }

        @Override
        public int compareTo(Timer other) {
            int byTime = Long.compare(dueAt, other.dueAt);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private static final int SMALL = 64; // timers: below this a rebuild saves nothing

    private PriorityQueue<Timer> heap = new PriorityQueue<>();
    private long orders;
    private int cancelled;

    /** Adds a task that is due at a time. */
    public Timer add(long dueAt, Runnable task) {
        Timer timer = new Timer(this, dueAt, orders++, task);
        heap.add(timer);
        return timer;
    }

    /** Live timers. */
    public int liveCount() {
        return heap.size() - cancelled;
    }

    /** Micros until the next live timer; Long.MAX_VALUE without one. */
    public long microsUntilNext(long now) {
        skip();
        return heap.isEmpty() ? Long.MAX_VALUE : Math.max(0, heap.peek().dueAt - now);
    }

    /** Takes the next task that is due, or null. */
    public Runnable pollDue(long now) {
        skip();
        if (heap.isEmpty() || heap.peek().dueAt > now) {
            return null;
        }
        Timer timer = heap.poll();
        Runnable task = timer.task;
        timer.task = null;
        return task;
    }

    private void skip() {
        while (!heap.isEmpty() && heap.peek().task == null) {
            heap.poll();
            cancelled--;
        }
    }

    private void compact() {
        if (heap.size() > SMALL && cancelled * 2 > heap.size()) {
            PriorityQueue<Timer> live = new PriorityQueue<>();
            for (Timer timer : heap) {
                if (timer.task != null) {
                    live.add(timer);
                }
            }
            heap = live;
            cancelled = 0;
        }
    }
}
