package waytrestle.net;

import java.util.PriorityQueue;

/**
 * Holds timers in the order of their due times; timers due at the same time keep the order in which
 * they were added. Times are monotonic microseconds. Not thread-safe: used on the loop's thread.
 *
 * <p>A cancelled timer stays in the heap until it is due or until more than half of the timers are
 * cancelled, which rebuilds the heap without them. So cancelling is cheap, and a large heap holds
 * at most twice as many timers as are live.
 */
public final class TimerHeap {
    /** A task with its due time. */
    public static final class Timer implements Comparable<Timer> {
        private final long dueMicros;
        private final long order;
        private final TimerHeap heap;
        private Runnable task; // null once the timer was taken or cancelled

        private Timer(TimerHeap heap, long dueMicros, long order, Runnable task) {
            this.heap = heap;
            this.dueMicros = dueMicros;
            this.order = order;
            this.task = task;
        }

        /**
         * Cancels the timer, so that its task does not run. Does nothing if the timer was cancelled
         * or its task taken before.
         */
        public void cancel() {
            if (task != null) {
                task = null;
                heap.cancelledCount++;
                heap.rebuildIfMostlyCancelled();
            }
        }

        @Override
        public int compareTo(Timer other) {
            int byTime = Long.compare(dueMicros, other.dueMicros);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** A heap of up to this many timers is not rebuilt, since that would save nothing. */
    private static final int MAX_SIZE_WITHOUT_REBUILD = 64;

    private PriorityQueue<Timer> heap = new PriorityQueue<>();
    private long nextOrder;
    private int cancelledCount;

    /** Adds a task that is due at the given time. */
    public Timer add(long dueMicros, Runnable task) {
        Timer timer = new Timer(this, dueMicros, nextOrder++, task);
        heap.add(timer);
        return timer;
    }

    /** Returns the number of timers that are neither taken nor cancelled. */
    public int liveCount() {
        return heap.size() - cancelledCount;
    }

    /**
     * Returns the microseconds until the next live timer is due, 0 if it is due already and {@link
     * Long#MAX_VALUE} if there is no live timer.
     */
    public long microsUntilNext(long nowMicros) {
        removeCancelledHead();
        return heap.isEmpty() ? Long.MAX_VALUE : Math.max(0, heap.peek().dueMicros - nowMicros);
    }

    /** Removes and returns the next task that is due; null if none is due. */
    public Runnable pollDue(long nowMicros) {
        removeCancelledHead();
        if (heap.isEmpty() || heap.peek().dueMicros > nowMicros) {
            return null;
        }
        Timer timer = heap.poll();
        Runnable task = timer.task;
        timer.task = null;
        return task;
    }

    private void removeCancelledHead() {
        while (!heap.isEmpty() && heap.peek().task == null) {
            heap.poll();
            cancelledCount--;
        }
    }

    private void rebuildIfMostlyCancelled() {
        if (heap.size() > MAX_SIZE_WITHOUT_REBUILD && cancelledCount * 2 > heap.size()) {
            PriorityQueue<Timer> live = new PriorityQueue<>();
            for (Timer timer : heap) {
                if (timer.task != null) {
                    live.add(timer);
                }
            }
            heap = live;
            cancelledCount = 0;
        }
    }
}
