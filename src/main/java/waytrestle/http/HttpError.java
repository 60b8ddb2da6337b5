package waytrestle.http;

/**
 * Thrown for a message that violates the protocol or exceeds a limit. Carries the status of the
 * server's response to such a request, and no stack trace.
 */
public final class HttpError extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final int status;

    /** Creates an error with the response status and a message that names the violation. */
    public HttpError(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    /** Returns the status of the server's response. */
    public int status() {
        return status;
    }
}
