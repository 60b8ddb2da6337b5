package waytrestle.requests;

/** Classifies the text of the last response as far as the reason of an outcome depends on it. */
enum ResponseKind {
    /** The response did not conform to the invoker protocol. */
    MALFORMED,
    /** The invoker does not know the function. */
    NOT_FOUND,
    /** Any other text, an empty one included. */
    OTHER;

    /** The text by which the response classifier stands for a malformed response. */
    private static final String MALFORMED_TEXT = "unreadable";

    private static final String NOT_FOUND_STATUS = "404";

    /** Returns the kind of a response text, which is an HTTP status or a word in place of one. */
    static ResponseKind of(String responseText) {
        return switch (responseText) {
            case MALFORMED_TEXT -> MALFORMED;
            case NOT_FOUND_STATUS -> NOT_FOUND;
            default -> OTHER;
        };
    }
}
