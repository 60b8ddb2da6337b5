package waytrestle.gateway;

import waytrestle.controller.Transport;
import waytrestle.net.Loop;

/** A transport whose clock and timers are those of an event loop. */
public abstract class EventLoopTransport implements Transport {
    protected final Loop loop;

    /** Creates a transport on the given event loop. */
    protected EventLoopTransport(Loop loop) {
        this.loop = loop;
    }

    @Override
    public long nowMicros() {
        return Loop.nowMicros();
    }

    @Override
    public ScheduledTask schedule(long delayMicros, Runnable task) {
        return loop.after(delayMicros, task)::cancel;
    }
}
