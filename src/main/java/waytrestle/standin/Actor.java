package waytrestle.standin;

import java.io.IOException;
import java.util.function.IntPredicate;

/** An invoker that a scripted day acts on, behind a socket or simulated. */
public interface Actor {
    String id();

    InvokerModel model();

    boolean up();

    void crash();

    /** Is told to end soon: it fails its health checks, and still takes requests. */
    void terminate();

    /** Comes back cold. */
    void restart() throws IOException;

    /** Of answers: lost after the work was done, or garbage in their place. */
    void spoil(double lost, double garbled);

    /**
     * This share of functions, by name, runs and then answers by this status; 404 is not known, and
     * not loaded.
     */
    void functionsFail(double share, int status);

    /** Answers everything by this status at once; 0 ends that. */
    void fail(int status);

    /** What it says of itself from now on. */
    void tell(InvokerBody.Tells what);

    /** Calls of these controllers vanish, both ways. */
    void cutOff(IntPredicate controllers);
}
