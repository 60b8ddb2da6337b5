package waytrestle.http;

import java.util.Iterator;
import java.util.LinkedHashMap;

/**
 * Limits the total number of open connections of several {@link HttpClient}s. At the limit a new
 * connection replaces the one that has been idle longest, at whichever client; if no connection is
 * idle, no connection can be opened.
 *
 * <p>Not thread-safe: used by the event loop that all its clients share.
 */
public final class ConnectionLimit {
    private final int maxConnections;
    private final LinkedHashMap<Object, Runnable> closeActionByIdleConnection =
            new LinkedHashMap<>();
    private int openConnections;

    /** Creates a limit with no open connections. */
    public ConnectionLimit(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /**
     * Counts a connection that is about to be opened, after closing the longest idle one if the
     * limit is reached.
     *
     * @return false if the limit is reached and no connection is idle
     */
    boolean tryAcquire() {
        if (openConnections >= maxConnections && !closeActionByIdleConnection.isEmpty()) {
            Iterator<Runnable> oldest = closeActionByIdleConnection.values().iterator();
            Runnable closeAction = oldest.next();
            oldest.remove();
            closeAction.run();
        }
        if (openConnections >= maxConnections) {
            return false;
        }
        openConnections++;
        return true;
    }

    /** Stops counting a connection that has closed. */
    void release() {
        openConnections--;
    }

    /**
     * Marks a connection as idle from now on.
     *
     * @param closeAction closes the connection when its place is needed, and then calls {@link
     *     #release}
     */
    void addIdle(Object connection, Runnable closeAction) {
        closeActionByIdleConnection.put(connection, closeAction);
    }

    /** Marks a connection as not idle; does nothing if it is not marked as idle. */
    void removeIdle(Object connection) {
        closeActionByIdleConnection.remove(connection);
    }

    /** Returns the number of connections that are open or being opened, at all clients. */
    public int openConnections() {
        return openConnections;
    }
}
