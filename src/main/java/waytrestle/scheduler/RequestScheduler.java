package waytrestle.scheduler;

/**
 * Decides where each request of one controller runs. A scheduler is told what happens, one event at
 * a time, and answers with commands. It performs no I/O and reads no clock.
 *
 * <p>Not thread-safe: all calls come from the controller's event loop.
 */
public interface RequestScheduler {
    /** The value of {@link #estimateMicros()} where no estimate stood behind the last command. */
    long NO_ESTIMATE = -1;

    /**
     * Handles one event; the commands apply at that same time and in that order.
     *
     * @param nowMicros the time of the event on one monotonic clock, in microseconds
     */
    void handle(long nowMicros, SchedulerEvent event, SchedulerCommand.Sink commands);

    /**
     * Whether new work may begin at an invoker now, so far as that is a question of how old the
     * knowledge of its readiness is. To be asked right before work is sent.
     */
    default boolean mayStartWork(String invoker, long nowMicros) {
        return true;
    }

    /**
     * The finish-time estimate behind the attempt or rejection of the last event, in microseconds,
     * or {@link #NO_ESTIMATE}.
     */
    default long estimateMicros() {
        return NO_ESTIMATE;
    }
}
