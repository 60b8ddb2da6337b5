package waytrestle.gateway;

import waytrestle.net.Loop;

/** A host whose time is a loop's. */
public abstract class LoopHost implements Host {
    protected final Loop loop;

    protected LoopHost(Loop loop) {
        this.loop = loop;
    }

    @Override
    public long now() {
        return Loop.now();
    }

    @Override
    public void after(long micros, Runnable task) {
        loop.after(micros, task);
    }
}
