package waytrestle.scheduler;

/**
 * Decides where each request of one controller runs. A scheduler is given one event at a time and
 * issues commands for it. It performs no I/O and reads no clock.
 *
 * <p>Not thread-safe: all calls come from the controller's event loop.
 */
public interface RequestScheduler {
    /** Value of {@link #estimateMicros()} if the last event's commands rest on no estimate. */
    long NO_ESTIMATE = -1;

    /**
     * Handles one event. Its commands are to be carried out at the time of the event and in order.
     *
     * @param nowMicros the time of the event on one monotonic clock, in microseconds
     * @param commands receives the commands in order
     */
    void handle(long nowMicros, SchedulerEvent event, SchedulerCommand.Sink commands);

    /**
     * Returns whether the invoker's readiness was confirmed recently enough for new work to begin
     * there. To be called right before work is sent.
     *
     * @param nowMicros the present time on the clock of {@link #handle}, in microseconds
     */
    default boolean mayStartWork(String invoker, long nowMicros) {
        return true;
    }

    /**
     * Returns the estimated time until the request of the last event would finish, in microseconds,
     * by which it was forwarded or rejected; {@link #NO_ESTIMATE} if there was no estimate.
     */
    default long estimateMicros() {
        return NO_ESTIMATE;
    }

    /** Returns the number of functions that the scheduler remembers, also without open requests. */
    default int rememberedFunctions() {
        return 0;
    }

    /**
     * Returns how many invokers were examined as candidates since the start, summed over all
     * decisions: what decisions cost by the size of the fleet.
     */
    default long examinedInvokers() {
        return 0;
    }
}
