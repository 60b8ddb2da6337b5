package waytrestle.net;

/**
 * Decides whether an event loop is stuck, from regular observations of how many turns it has
 * completed. Time is counted in observations, not by a clock: while the whole process does not run
 * (SIGSTOP, a pause of the Java runtime) there are no observations, so that its pause is not taken
 * for a stall of the loop.
 *
 * <p>Does no I/O, reads no clock and starts no thread. Not thread-safe.
 */
final class StallDetector {
    /** Result of an observation. */
    enum Verdict {
        /** The loop completes turns, or there is nothing new to report. */
        RUNNING,
        /** The loop has become stuck; returned once for each stall. */
        STALLED,
        /** The loop completes turns again after a stall. */
        RECOVERED,
        /** The loop has been stuck for so long that it is given up. */
        GIVEN_UP
    }

    private final int stalledAfterObservations;
    private final int givenUpAfterObservations;
    private long lastCompletedTurns = -1;
    private int observationsWithoutTurn;

    /**
     * Creates a detector.
     *
     * @param stalledAfterObservations number of observations in a row without a completed turn that
     *     make a stall
     * @param givenUpAfterObservations number of observations in a row without a completed turn
     *     after which the loop is given up
     */
    StallDetector(int stalledAfterObservations, int givenUpAfterObservations) {
        this.stalledAfterObservations = stalledAfterObservations;
        this.givenUpAfterObservations = givenUpAfterObservations;
    }

    /** Observes the number of turns that the loop has completed since its start. */
    Verdict observe(long completedTurns) {
        if (completedTurns != lastCompletedTurns) {
            lastCompletedTurns = completedTurns;
            boolean wasStalled = observationsWithoutTurn >= stalledAfterObservations;
            observationsWithoutTurn = 0;
            return wasStalled ? Verdict.RECOVERED : Verdict.RUNNING;
        }
        observationsWithoutTurn++;
        if (observationsWithoutTurn >= givenUpAfterObservations) {
            return Verdict.GIVEN_UP;
        }
        return observationsWithoutTurn == stalledAfterObservations
                ? Verdict.STALLED
                : Verdict.RUNNING;
    }
}
