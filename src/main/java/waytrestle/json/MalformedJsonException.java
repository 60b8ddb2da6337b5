package waytrestle.json;

/**
 * A text is not JSON, or a member of its JSON object is missing, of the wrong type or out of its
 * range. The message is one line that names the text or the member.
 */
public class MalformedJsonException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message of one line. */
    public MalformedJsonException(String message) {
        super(message);
    }
}
