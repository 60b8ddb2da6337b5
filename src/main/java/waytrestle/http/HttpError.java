package waytrestle.http;

/** A message that breaks the protocol or a bound, with the status a server answers it by. */
public final class HttpError extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final int status;

    public HttpError(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    public int status() {
        return status;
    }
}
