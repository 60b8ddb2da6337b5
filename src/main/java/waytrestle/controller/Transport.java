package waytrestle.controller;

/**
 * The clock, the timers and the invoker clients of a controller: sockets in service, models in a
 * simulation. Everything scheduled runs on the controller's event loop.
 */
public interface Transport {
    /** The monotonic time in microseconds. */
    long nowMicros();

    /** Runs a task after a delay. */
    void schedule(long micros, Runnable task);

    /**
     * Creates the client of an invoker.
     *
     * @param lost called when all connections to the invoker were closed by it, though used a
     *     moment ago
     */
    InvokerClient openClient(String invoker, Runnable lost);
}
