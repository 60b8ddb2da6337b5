package waytrestle.controller;

/**
 * The clock, the timers and the invoker clients of a controller: over sockets in service, simulated
 * in a simulation. All methods are called, and all scheduled tasks run, on the controller's event
 * loop.
 */
public interface Transport {
    /** Returns the monotonic time. */
    long nowMicros();

    /** A task that was scheduled. */
    interface ScheduledTask {
        /** Prevents the task from running; does nothing if it has run or was cancelled. */
        void cancel();
    }

    /** Runs a task after a delay, never within this call, unless it is cancelled before. */
    ScheduledTask schedule(long delayMicros, Runnable task);

    /**
     * Creates the client of an invoker.
     *
     * @param connectionsLostListener called when the invoker has closed all connections though they
     *     were in use shortly before
     */
    InvokerClient openClient(String invoker, Runnable connectionsLostListener);
}
