package waytrestle.standin;

import waytrestle.net.Loop;

/** The real clock of a loop, on which all tasks run. */
public record LoopEnv(Loop loop) implements Env {
    @Override
    public long now() {
        return Loop.nowMicros();
    }

    @Override
    public void after(long micros, Runnable task) {
        loop.after(micros, task);
    }
}
