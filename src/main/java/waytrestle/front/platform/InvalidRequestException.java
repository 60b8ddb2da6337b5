package waytrestle.front.platform;

/**
 * An HTTP message is not a valid request and is rejected before it reaches the request handler. The
 * exception's message is the body of the response, and the metric label under which the rejection
 * is counted.
 */
final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1L;
    private static final int BAD_REQUEST = 400;

    private final int status;

    /** Creates an exception without a stack trace, since invalid requests may come in floods. */
    InvalidRequestException(int status, String description) {
        super(description, null, false, false);
        this.status = status;
    }

    /** Returns the exception for a header whose value is missing, repeated or invalid. */
    static InvalidRequestException badRequest(String description) {
        return new InvalidRequestException(BAD_REQUEST, description);
    }

    /** Returns the HTTP status of the response. */
    int status() {
        return status;
    }
}
