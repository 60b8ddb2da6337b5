package waytrestle.responses;

/**
 * What came back of an attempt or a preload request, in terms of the protocol.
 *
 * @param status the HTTP status; 0 if there was none
 */
public record ExchangeResult(Kind kind, int status) {
    private static final int NO_STATUS = 0;

    /** How the exchange ended. */
    public enum Kind {
        /** A well-formed response of the function. */
        RESPONSE("answer"),
        /** A complete message whose status says that it is no response of the function. */
        STATUS("status"),
        /**
         * A message of success that is not well-formed, one for another request, or bytes that are
         * no HTTP.
         */
        MALFORMED("unreadable"),
        /** No connection, or it broke before the first byte of the request was sent. */
        NOT_CONNECTED("unreached"),
        /** The connection broke after the first byte was sent. */
        CONNECTION_LOST("cut"),
        /** Nothing came within the time given. */
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

    /** A result without a status. */
    public static ExchangeResult of(Kind kind) {
        return new ExchangeResult(kind, NO_STATUS);
    }

    /** As clients, logs and metrics show it: a status, or what happened in place of one. */
    public String text() {
        return switch (kind) {
            case STATUS -> Integer.toString(status);
            case RESPONSE -> "200";
            default -> kind.label;
        };
    }
}
