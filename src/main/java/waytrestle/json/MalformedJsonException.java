package waytrestle.json;

/**
 * The input is not JSON, or a member of it is missing, of the wrong type or out of its range. The
 * message is one line that names the member.
 */
public class MalformedJsonException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates the error with its one line of explanation. */
    public MalformedJsonException(String message) {
        super(message);
    }
}
