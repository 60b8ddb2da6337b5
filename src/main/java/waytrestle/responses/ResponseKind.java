package waytrestle.responses;

import waytrestle.scheduler.ResponseCode;

/**
 * What a response says, apart from whom it is held against. The statuses are those of HTTP (RFC
 * 9110) as servers of the Open Inference Protocol use them; docs/invokers.md has the table for
 * authors of invokers.
 */
enum ResponseKind {
    /** The function ran and responded. */
    SERVED(ResponseCode.OK),
    /** The function rejected the request: it would do so anywhere. */
    REJECTED(ResponseCode.REJECTED),
    /** The function is not loaded there, or is not known at all. */
    NOT_LOADED(ResponseCode.NOT_LOADED),
    /** The invoker had no capacity. */
    FULL(ResponseCode.FULL),
    /** The function or its server failed, and says so. */
    ERROR(ResponseCode.ERROR),
    /** What came is no response of the protocol. */
    MALFORMED(ResponseCode.ERROR),
    /** The connection broke with the request on it. */
    CONNECTION_LOST(ResponseCode.RESET),
    /** Nothing came within the time given. */
    TIMEOUT(ResponseCode.TIMEOUT),
    /** No connection could be made. */
    CONNECT_FAILED(ResponseCode.CONNECT_FAILED),
    /** Cancelled by this controller. */
    CANCELLED(ResponseCode.CANCELLED),
    /** Withheld by this controller. */
    NOT_SENT(ResponseCode.NOT_SENT);

    private static final int FIRST_CLIENT_ERROR = 400;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int LAST_SERVER_ERROR = 599;

    private final ResponseCode code;

    ResponseKind(ResponseCode code) {
        this.code = code;
    }

    /** The scheduler's code of it. */
    ResponseCode code() {
        return code;
    }

    static ResponseKind of(ExchangeResult result) {
        return switch (result.kind()) {
            case RESPONSE -> SERVED;
            case STATUS -> ofStatus(result.status());
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
            // Not supported: says so of the request, not of the moment.
            case 501 -> REJECTED;
            // Between this gateway and the server, not about the request.
            case 407, 408, 421, 425 -> MALFORMED;
            default -> ofStatusClass(status);
        };
    }

    private static ResponseKind ofStatusClass(int status) {
        if (status < FIRST_CLIENT_ERROR || status > LAST_SERVER_ERROR) {
            return MALFORMED;
        }
        return status < FIRST_SERVER_ERROR ? REJECTED : ERROR;
    }

    /** Whether it counts as a failure of the function or of the invoker. */
    boolean isFailure() {
        return this == ERROR || this == MALFORMED || this == CONNECTION_LOST;
    }

    /** Whether it is a response of the invoker that may carry a load report. */
    boolean isInvokerResponse() {
        return switch (this) {
            case SERVED, REJECTED, NOT_LOADED, FULL, ERROR -> true;
            default -> false;
        };
    }
}
