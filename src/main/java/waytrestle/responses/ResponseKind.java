package waytrestle.responses;

import waytrestle.scheduler.ResponseCode;

/**
 * What a reply says, apart from whom it is held against. The statuses are those of HTTP (RFC 9110)
 * as servers of the Open Inference Protocol use them; docs/invokers.md has the table for whoever
 * writes an invoker.
 */
enum ResponseKind {
    /** The function ran and answered. */
    SERVED(ResponseCode.OK),
    /** The function's own word on what it was sent: it would say the same anywhere. */
    REJECTED(ResponseCode.REJECTED),
    /** The function does not stand there, or is not known at all. */
    NOT_LOADED(ResponseCode.NOT_LOADED),
    /** Not taken for want of room. */
    FULL(ResponseCode.FULL),
    /** The function or its server failed on the way, and says so. */
    ERROR(ResponseCode.ERROR),
    /** What came is no answer that anybody promised. */
    MALFORMED(ResponseCode.ERROR),
    /** The connection broke with the call on it. */
    CONNECTION_LOST(ResponseCode.RESET),
    TIMEOUT(ResponseCode.TIMEOUT),
    CONNECT_FAILED(ResponseCode.CONNECT_FAILED),
    CANCELLED(ResponseCode.CANCELLED),
    NOT_SENT(ResponseCode.NOT_SENT);

    final ResponseCode code;

    ResponseKind(ResponseCode code) {
        this.code = code;
    }

    static ResponseKind of(ExchangeResult reply) {
        return switch (reply.kind()) {
            case RESPONSE -> SERVED;
            case STATUS -> ofStatus(reply.status());
            case MALFORMED -> MALFORMED;
            case NOT_CONNECTED -> CONNECT_FAILED;
            case CONNECTION_LOST -> CONNECTION_LOST;
            case TIMEOUT -> TIMEOUT;
            case CANCELLED -> CANCELLED;
            case NO_CAPACITY -> FULL;
            case WITHHELD -> NOT_SENT;
        };
    }

    private static ResponseKind ofStatus(int status) {
        return switch (status) {
            case 404 -> NOT_LOADED;
            case 429, 503 -> FULL;
            case 501 -> REJECTED; // not supported: says so of the request, not of the moment
            case 407, 408, 421, 425 ->
                    MALFORMED; // between this gateway and the server, not about the call
            default ->
                    status >= 400 && status < 500
                            ? REJECTED
                            : status >= 500 && status < 600 ? ERROR : MALFORMED;
        };
    }

    /** Whether it counts as a failure of somebody. */
    boolean isFailure() {
        return this == ERROR || this == MALFORMED || this == CONNECTION_LOST;
    }
}
