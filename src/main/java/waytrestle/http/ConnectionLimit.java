package waytrestle.http;

import java.util.Iterator;
import java.util.LinkedHashMap;

/**
 * A bound on the connections of several clients together. At the bound the connection that has been
 * idle longest, at whichever client, gives way to a new one; when none is idle there is no room.
 */
public final class ConnectionLimit {
    private final int most;
    private final LinkedHashMap<Object, Runnable> idle = new LinkedHashMap<>();
    private int used;

    public ConnectionLimit(int most) {
        this.most = most;
    }

    boolean tryAcquire() {
        if (used >= most && !idle.isEmpty()) {
            Iterator<Runnable> oldest = idle.values().iterator();
            Runnable drop = oldest.next();
            oldest.remove();
            drop.run();
        }
        if (used >= most) {
            return false;
        }
        used++;
        return true;
    }

    void release() {
        used--;
    }

    void addIdle(Object connection, Runnable drop) {
        idle.put(connection, drop);
    }

    void removeIdle(Object connection) {
        idle.remove(connection);
    }

    public int openConnections() {
        return used;
    }
}
