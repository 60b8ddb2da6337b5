package waytrestle.requests;

/** What the text of a last response means for the reason of an outcome. */
enum ResponseKind {
    /** It was no response of the invoker protocol. */
    MALFORMED,
    /** The invoker does not know the function. */
    NOT_FOUND,
    /** Anything else. */
    OTHER;

    /** The text that the response classifier gives to a malformed response. */
    private static final String MALFORMED_TEXT = "unreadable";

    private static final String NOT_FOUND_STATUS = "404";

    /** Translates the text of a response: an HTTP status or a word in place of one. */
    static ResponseKind of(String responseText) {
        return switch (responseText) {
            case MALFORMED_TEXT -> MALFORMED;
            case NOT_FOUND_STATUS -> NOT_FOUND;
            default -> OTHER;
        };
    }
}
