package waytrestle.runtime;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Registers handlers of signals to the current process. Handlers run on a thread of the Java
 * runtime, not on an event loop.
 */
public final class ProcessSignals {
    /** Name of the signal that requests a reload of the configuration. */
    public static final String RELOAD = "HUP";

    /** Name of the signal that requests a graceful shutdown. */
    public static final String SHUTDOWN = "TERM";

    private ProcessSignals() {}

    /**
     * Registers a handler that runs at each signal of the given name, and replaces the previous
     * handler.
     *
     * @param name name of the signal without the prefix SIG
     * @return true if the handler receives the signal, false if the process was started with the
     *     signal ignored
     */
    public static boolean handle(String name, Runnable handler) {
        return Signal.handle(new Signal(name), signal -> handler.run()) != SignalHandler.SIG_IGN;
    }
}
