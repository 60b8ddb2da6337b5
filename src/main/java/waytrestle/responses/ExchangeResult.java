package waytrestle.responses;

/**
 * The result of an attempt, a preload request or a health check at the level of the protocol.
 *
 * @param status the HTTP status; 0 if there was none
 */
public record ExchangeResult(Kind kind, int status) {
    private static final int NO_STATUS = 0;

    /** How an exchange of a request and its response with an invoker ended. */
    public enum Kind {
        /** A well-formed response of the function. */
        RESPONSE("answer"),
        /** A complete message whose status says that it is no response of the function. */
        STATUS("status"),
        /**
         * A success message that is not well-formed or belongs to another request, or bytes that
         * are not HTTP.
         */
        MALFORMED("unreadable"),
        /** There was no connection, or it broke before the first byte of the request was sent. */
        NOT_CONNECTED("unreached"),
        /** The connection broke after the first byte of the request was sent. */
        CONNECTION_LOST("cut"),
        /** No response arrived within the time limit. */
        TIMEOUT("timeout"),
        /** Cancelled by this controller. */
        CANCELLED("cancelled"),
        /** All connections to the invoker are in use; nothing was sent. */
        NO_CAPACITY("no_room"),
        /** Withheld by this controller before anything was sent. */
        WITHHELD("withheld");

        private final String label;

        Kind(String label) {
            this.label = label;
        }
    }

    /** Returns a result without a status. */
    public static ExchangeResult of(Kind kind) {
        return new ExchangeResult(kind, NO_STATUS);
    }

    /**
     * Returns the text for clients, logs and metrics: the HTTP status, or a label of the kind if
     * there is no status.
     */
    public String text() {
        return switch (kind) {
            case STATUS -> Integer.toString(status);
            case RESPONSE -> "200";
            default -> kind.label;
        };
    }
}
