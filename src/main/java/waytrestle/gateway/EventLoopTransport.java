package waytrestle.gateway;

import waytrestle.controller.Transport;
import waytrestle.net.Loop;

/** A host whose time is a loop's. */
public abstract class EventLoopTransport implements Transport {
    protected final Loop loop;

    protected EventLoopTransport(Loop loop) {
        this.loop = loop;
    }

    @Override
    public long nowMicros() {
        return Loop.nowMicros();
    }

    @Override
    public void schedule(long micros, Runnable task) {
        loop.after(micros, task);
    }
}
