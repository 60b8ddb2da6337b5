package waytrestle.runtime;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Signals to this process; handlers run on a thread of the runtime, not on an event loop. */
public final class ProcessSignals {
    /** The name of the signal that asks for a new configuration. */
    public static final String RELOAD = "HUP";

    /** The name of the signal that asks for a graceful shutdown. */
    public static final String SHUTDOWN = "TERM";

    private ProcessSignals() {}

    /**
     * Runs a handler at each signal of the name.
     *
     * @return whether signals come; false where whoever started the process had them ignored
     */
    public static boolean handle(String name, Runnable handler) {
        return Signal.handle(new Signal(name), signal -> handler.run()) != SignalHandler.SIG_IGN;
    }
}
