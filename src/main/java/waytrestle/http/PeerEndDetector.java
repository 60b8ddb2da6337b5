package waytrestle.http;

/**
 * Tells the end of a peer's process from the closing of single connections: all connections close
 * at about the same time, among them an idle one that no server would have closed for its age.
 *
 * <p>Free of I/O and clock. Not thread-safe.
 */
final class PeerEndDetector {
    /**
     * Micros since its use in which no server closes an idle connection: the shortest usual bound
     * is five seconds.
     */
    private static final long KEPT_BY_ANY_SERVER_MICROS = 4_000_000;

    /** Micros in which all connections of a process that ends close. */
    private static final long PROCESS_END_MICROS = 100_000;

    /** In place of a time: long past. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private long youngConnectionClosedAt = NEVER;

    /** The peer has closed an idle connection that was last used at this time. */
    void idleConnectionClosed(long nowMicros, long usedAtMicros) {
        if (nowMicros - usedAtMicros < KEPT_BY_ANY_SERVER_MICROS) {
            youngConnectionClosedAt = nowMicros;
        }
    }

    /** Whether its process has ended, now that no connection is left; true once for each end. */
    boolean consumeProcessEnd(long nowMicros) {
        boolean ended = nowMicros - youngConnectionClosedAt < PROCESS_END_MICROS;
        if (ended) {
            youngConnectionClosedAt = NEVER;
        }
        return ended;
    }
}
