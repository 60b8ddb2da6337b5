package waytrestle.responses;

/**
 * What came back of an attempt or an order, in terms of what was on the wire. A status of 0 means
 * that none came.
 */
public record ExchangeResult(Kind kind, int status) {
    /** How the exchange ended. */
    public enum Kind {
        /** An infer answer in its form. */
        RESPONSE("answer"),
        /** A whole message that says by its status that it is no infer answer. */
        STATUS("status"),
        /**
         * A message of success without the promised form, one for another call, or bytes that are
         * no HTTP.
         */
        MALFORMED("unreadable"),
        /** No connection, or it broke before the first byte of the request was taken. */
        NOT_CONNECTED("unreached"),
        /** It broke after the first byte. */
        CONNECTION_LOST("cut"),
        /** Nothing within the time given. */
        TIMEOUT("timeout"),
        /** Given up by this side. */
        CANCELLED("cancelled"),
        /** All connections to the invoker are in use here; nothing was sent. */
        NO_CAPACITY("no_room"),
        /** Held back by this side before anything was sent. */
        WITHHELD("withheld");

        private final String label;

        Kind(String label) {
            this.label = label;
        }
    }

    public static ExchangeResult of(Kind how) {
        return new ExchangeResult(how, 0);
    }

    /** As clients, logs and metrics are told it: a status, or what happened in place of one. */
    public String text() {
        return kind == Kind.STATUS
                ? Integer.toString(status)
                : kind == Kind.RESPONSE ? "200" : kind.label;
    }
}
