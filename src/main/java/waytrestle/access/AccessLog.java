package waytrestle.access;

/**
 * Logs how requests ended. The caller asks {@link #shouldLog} first, so that no line is composed
 * for a request that is not logged.
 *
 * <p>Used by the controller's event loop.
 */
public interface AccessLog {
    /** An access log that logs nothing. */
    AccessLog OFF =
            new AccessLog() {
                @Override
                public boolean shouldLog(String id) {
                    return false;
                }

                @Override
                public void write(AccessLine line) {}
            };

    /** Returns whether a request with the given id is logged; the id is empty where it has none. */
    boolean shouldLog(String id);

    /** Logs an ended request, or drops the line if the log cannot keep up. */
    void write(AccessLine line);
}
