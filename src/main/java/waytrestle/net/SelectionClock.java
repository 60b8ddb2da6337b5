package waytrestle.net;

/**
 * Tells how long what a selection of an event loop has found may have lain in the kernel unseen.
 *
 * <p>Guards against acting on what is outdated: a process that was busy or stopped (SIGSTOP, a
 * frozen container) finds requests beside the events that forbid to run them, and clients beside
 * the news that they have gone.
 *
 * <p>A turn of the loop is {@link #begin}, perhaps {@link #expectWait}, then {@link #end}, which
 * asks for a further look at all channels until one was not interrupted by a stop.
 *
 * <p>Free of I/O and threads; all times are monotonic microseconds. Not thread-safe: used by its
 * event loop.
 */
final class SelectionClock {
    /** What came during a shorter turn or a shorter delay of the process counts as just come. */
    private static final long LONG_TURN_MICROS = 10_000;

    private long selectedAtMicros;
    private long selectedBeforeMicros;
    private long beganAtMicros;
    private long allowedMicros;
    private boolean findsWhatJustCame;

    SelectionClock(long nowMicros) {
        selectedAtMicros = nowMicros;
        selectedBeforeMicros = nowMicros;
    }

    /**
     * A selection begins.
     *
     * @return whether to look without waiting first, since what came during the last turn would
     *     pass for what comes during the wait
     */
    boolean begin(long nowMicros) {
        boolean turnWasLong = nowMicros - selectedAtMicros > LONG_TURN_MICROS;
        selectedBeforeMicros = selectedAtMicros;
        findsWhatJustCame = false;
        expectShortLook(nowMicros);
        return turnWasLong;
    }

    /** Nothing was found; the selection waits for at most so long. */
    void expectWait(long micros) {
        allowedMicros += micros;
        findsWhatJustCame = true;
    }

    /**
     * A selection or a further look has ended.
     *
     * @return whether the process was stopped meanwhile: it may have found only what came before
     *     the stop, so all channels are to be looked at again in the same turn
     */
    boolean end(long nowMicros) {
        boolean wasStopped = nowMicros - beganAtMicros > allowedMicros;
        selectedAtMicros = nowMicros;
        findsWhatJustCame &= !wasStopped;
        expectShortLook(nowMicros);
        return wasStopped;
    }

    /** The selection failed: when the channels were last looked at is not known. */
    void selectionFailed(long nowMicros) {
        selectedAtMicros = nowMicros;
        findsWhatJustCame = false;
    }

    /** When this turn's selection ended. */
    long currentSelectionMicros() {
        return selectedAtMicros;
    }

    /** When the selection before it ended: what this turn has found came after that. */
    long previousSelectionMicros() {
        return selectedBeforeMicros;
    }

    /** For how long something may have lain in the kernel unseen. */
    long unseenMicros(long nowMicros) {
        return nowMicros - (findsWhatJustCame ? selectedAtMicros : selectedBeforeMicros);
    }

    private void expectShortLook(long nowMicros) {
        beganAtMicros = nowMicros;
        allowedMicros = LONG_TURN_MICROS;
    }
}
