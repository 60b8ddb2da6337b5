package waytrestle.net;

/**
 * Computes for how long the input that a selection of an event loop finds may have lain in the
 * kernel unseen.
 *
 * <p>Guards against acting on outdated input. A process that was busy or stopped (SIGSTOP, a frozen
 * container) finds requests together with events that forbid running them, and requests of clients
 * together with the end of these clients' connections.
 *
 * <p>In each turn the loop calls {@link #begin}, {@link #expectWait} if it is going to wait, and
 * {@link #end} after the selection. While {@code end} reports that the process was stopped, the
 * loop selects again without waiting and calls {@code end} again, up to a limit.
 *
 * <p>Does no I/O and reads no clock; all times are monotonic microseconds. Not thread-safe: used on
 * the loop's thread.
 */
final class SelectionClock {
    /**
     * A turn, or a selection without waiting, that lasts longer counts as long. Input that arrived
     * during a shorter one counts as just arrived.
     */
    private static final long LONG_TURN_MICROS = 10_000;

    private long currentSelectionMicros;
    private long previousSelectionMicros;
    private long selectionBeganMicros;
    private long maxSelectionMicros;
    private boolean inputJustArrived;

    SelectionClock(long nowMicros) {
        currentSelectionMicros = nowMicros;
        previousSelectionMicros = nowMicros;
    }

    /**
     * Records that the selection of a new turn begins.
     *
     * @return whether the loop has to select without waiting first, because the turn before was
     *     long: a waiting selection would make input that arrived during that turn look as if it
     *     had arrived during the wait
     */
    boolean begin(long nowMicros) {
        boolean turnWasLong = nowMicros - currentSelectionMicros > LONG_TURN_MICROS;
        previousSelectionMicros = currentSelectionMicros;
        inputJustArrived = false;
        expectNoWait(nowMicros);
        return turnWasLong;
    }

    /** Records that nothing was found so far and that the loop waits for at most this time. */
    void expectWait(long maxWaitMicros) {
        maxSelectionMicros += maxWaitMicros;
        inputJustArrived = true;
    }

    /**
     * Records that a selection has ended.
     *
     * @return whether the process was stopped during the selection. The selection may then have
     *     found only input that arrived before the stop, so the loop has to select again in the
     *     same turn.
     */
    boolean end(long nowMicros) {
        boolean wasStopped = nowMicros - selectionBeganMicros > maxSelectionMicros;
        currentSelectionMicros = nowMicros;
        inputJustArrived &= !wasStopped;
        expectNoWait(nowMicros);
        return wasStopped;
    }

    /**
     * Records that the selection failed. Input may have lain in the kernel since the selection of
     * the turn before.
     */
    void selectionFailed(long nowMicros) {
        currentSelectionMicros = nowMicros;
        inputJustArrived = false;
    }

    /** Returns when the present turn's last selection ended. */
    long currentSelectionMicros() {
        return currentSelectionMicros;
    }

    /**
     * Returns when the last selection of the turn before ended. What the present turn has found
     * arrived after that time.
     */
    long previousSelectionMicros() {
        return previousSelectionMicros;
    }

    /** Returns for how long input may have lain in the kernel unseen at the given time. */
    long unseenMicros(long nowMicros) {
        return nowMicros - (inputJustArrived ? currentSelectionMicros : previousSelectionMicros);
    }

    private void expectNoWait(long nowMicros) {
        selectionBeganMicros = nowMicros;
        maxSelectionMicros = LONG_TURN_MICROS;
    }
}
