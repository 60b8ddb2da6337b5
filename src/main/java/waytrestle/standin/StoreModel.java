package waytrestle.standin;

import java.util.function.Consumer;

/**
 * The store that all invokers fetch functions from: it slows when crowded and turns fetches away
 * past a limit.
 */
public final class StoreModel {
    private final Env env;
    private final int atOnce, refuseOver;
    private int fetching;
    private double slow = 1;
    private long fetches, refused;

    /** Up to so many fetches run at full speed; above the second bound they are turned away. */
    public StoreModel(Env env, int atOnce, int refuseOver) {
        this.env = env;
        this.atOnce = atOnce;
        this.refuseOver = refuseOver;
    }

    public void slow(double factor) {
        slow = factor;
    }

    public long fetches() {
        return fetches;
    }

    public long refused() {
        return refused;
    }

    /**
     * Fetches for as long as the time given, stretched by slowness and crowd; false when turned
     * away.
     */
    public void fetch(long micros, Consumer<Boolean> done) {
        if (fetching >= refuseOver) {
            refused++;
            env.after(1_000, () -> done.accept(false));
            return;
        }
        fetching++;
        fetches++;
        double crowd = Math.max(1, fetching / (double) atOnce);
        env.after(
                (long) (micros * slow * crowd),
                () -> {
                    fetching--;
                    done.accept(true);
                });
    }
}
