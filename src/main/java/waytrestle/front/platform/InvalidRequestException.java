package waytrestle.front.platform;

/**
 * A message is not a valid request, so it is rejected before it reaches the core. The message text
 * is the response's body and the label it is counted by.
 */
final class InvalidRequestException extends Exception {
    private static final long serialVersionUID = 1L;
    private static final int BAD_REQUEST = 400;

    private final int status;

    /** Made without a stack trace: invalid requests may come in floods. */
    InvalidRequestException(int status, String description) {
        super(description, null, false, false);
        this.status = status;
    }

    /** A header's value is missing, given twice or out of range. */
    static InvalidRequestException badRequest(String description) {
        return new InvalidRequestException(BAD_REQUEST, description);
    }

    /** The HTTP status to reject it by. */
    int status() {
        return status;
    }
}
