package waytrestle.controller;

/**
 * What a controller stands on: time, and the ways to invokers. Sockets in service, models in the
 * emulator.
 */
public interface Transport {
    /** Monotonic micros. */
    long now();

    void schedule(long micros, Runnable task);

    /**
     * A way to an invoker, kept until it is closed; lost hears that all connections there were
     * closed, young ones too.
     */
    InvokerClient connect(String invoker, Runnable lost);
}
