package waytrestle.net;

/**
 * Tells from regular observations of how many turns an event loop has completed whether it is
 * stuck. Time is counted in observations, not by a clock: while the whole process does not run
 * (SIGSTOP, a pause of the runtime) nobody observes, so that its pause is not taken for a stall.
 *
 * <p>Free of I/O, clocks and threads. Not thread-safe.
 */
final class StallDetector {
    /** What an observation tells. */
    enum Verdict {
        /** The loop runs, or has not been stuck for long. */
        RUNNING,
        /** It has become stuck: told once for each stall. */
        STALLED,
        /** It runs again after a stall. */
        RECOVERED,
        /** It has been stuck for so long that it is given up. */
        GIVEN_UP
    }

    private final int stalledAfter;
    private final int givenUpAfter;
    private long lastTurns = -1;
    private int observationsWithoutTurn;

    /** Takes the numbers of observations in a row without a turn for which a verdict stands. */
    StallDetector(int stalledAfter, int givenUpAfter) {
        this.stalledAfter = stalledAfter;
        this.givenUpAfter = givenUpAfter;
    }

    /** Takes in the number of turns that the loop has completed by now. */
    Verdict observe(long turns) {
        if (turns != lastTurns) {
            lastTurns = turns;
            boolean wasStalled = observationsWithoutTurn >= stalledAfter;
            observationsWithoutTurn = 0;
            return wasStalled ? Verdict.RECOVERED : Verdict.RUNNING;
        }
        observationsWithoutTurn++;
        if (observationsWithoutTurn >= givenUpAfter) {
            return Verdict.GIVEN_UP;
        }
        return observationsWithoutTurn == stalledAfter ? Verdict.STALLED : Verdict.RUNNING;
    }
}
