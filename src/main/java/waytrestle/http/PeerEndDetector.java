package waytrestle.http;

/**
 * Distinguishes the end of a peer's process from closes of single connections. When the process
 * ends, all its connections close at about the same time, also idle ones that were used too
 * recently for a server to close them on its idle timeout.
 *
 * <p>Does no I/O and reads no clock. Not thread-safe.
 */
final class PeerEndDetector {
    /**
     * Time since its last use in which no server closes an idle connection. The shortest usual idle
     * timeout of servers is five seconds.
     */
    private static final long MIN_SERVER_IDLE_TIMEOUT_MICROS = 4_000_000;

    /** Time within which all connections of a process that ends are closed. */
    private static final long PROCESS_END_WINDOW_MICROS = 100_000;

    /** A time long past, so that subtracting it from the current time does not overflow. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private long recentlyUsedClosedAtMicros = NEVER;

    /**
     * Records that the peer has closed an idle connection.
     *
     * @param lastUsedAtMicros when the connection was last used
     */
    void idleConnectionClosed(long nowMicros, long lastUsedAtMicros) {
        if (nowMicros - lastUsedAtMicros < MIN_SERVER_IDLE_TIMEOUT_MICROS) {
            recentlyUsedClosedAtMicros = nowMicros;
        }
    }

    /**
     * Returns whether the close of the last open connection means that the peer's process has
     * ended. Returns true only once for each end.
     */
    boolean consumeProcessEnd(long nowMicros) {
        boolean ended = nowMicros - recentlyUsedClosedAtMicros < PROCESS_END_WINDOW_MICROS;
        if (ended) {
            recentlyUsedClosedAtMicros = NEVER;
        }
        return ended;
    }
}
