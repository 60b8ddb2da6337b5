package waytrestle.standin;

import java.io.IOException;
import java.util.function.IntPredicate;

/** An invoker that a scripted day acts on, behind a socket or simulated. */
public interface Actor {
    String id();

    InvokerModel model();

    boolean up();

    void crash();

    /** Comes back cold. */
    void restart() throws IOException;

    /** Of answers: lost after the work was done, or garbage in their place. */
    void spoil(double lost, double garbled);

    /** Calls of these controllers vanish, both ways. */
    void cutOff(IntPredicate controllers);
}
