package waytrestle.access;

/**
 * Where ended requests are logged. It is asked first, so that a request that is not logged costs
 * nothing. Used by the controller's event loop.
 */
public interface AccessLog {
    /** Logs nothing. */
    AccessLog OFF =
            new AccessLog() {
                @Override
                public boolean shouldLog(String id) {
                    return false;
                }

                @Override
                public void write(AccessLine line) {}
            };

    /** Whether a request of this id is logged; the id is empty where the request has none. */
    boolean shouldLog(String id);

    /** Logs an ended request, or drops it where the log cannot keep up. */
    void write(AccessLine line);
}
