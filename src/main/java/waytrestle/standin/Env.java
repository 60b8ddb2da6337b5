package waytrestle.standin;

/** Time as a model sees it: the real clock of a loop, or simulated. */
public interface Env {
    long now();

    void after(long micros, Runnable task);
}
