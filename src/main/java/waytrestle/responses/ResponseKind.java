package waytrestle.responses;

import waytrestle.scheduler.ResponseCode;

/**
 * The kinds of results of an exchange with an invoker, regardless of whether a failure is
 * attributed to the function or to the invoker. The statuses are those of HTTP (RFC 9110) as
 * servers of the Open Inference Protocol use them; docs/invokers.md has the table for authors of
 * invokers.
 */
enum ResponseKind {
    /** The function ran and responded. */
    SERVED(ResponseCode.OK),
    /** The function rejected the request, and would at any invoker. */
    REJECTED(ResponseCode.REJECTED),
    /** The function is not loaded at the invoker, or not known to it. */
    NOT_LOADED(ResponseCode.NOT_LOADED),
    /** The invoker had no capacity. */
    FULL(ResponseCode.FULL),
    /** The function or its server reported a failure. */
    ERROR(ResponseCode.ERROR),
    /** What the invoker sent is not a valid response of the protocol. */
    MALFORMED(ResponseCode.ERROR),
    /** The connection broke after the first byte of the request was sent. */
    CONNECTION_LOST(ResponseCode.RESET),
    /** No response arrived within the time limit. */
    TIMEOUT(ResponseCode.TIMEOUT),
    /** No connection could be made. */
    CONNECT_FAILED(ResponseCode.CONNECT_FAILED),
    /** Cancelled by this controller. */
    CANCELLED(ResponseCode.CANCELLED),
    /** Withheld by this controller before anything was sent. */
    NOT_SENT(ResponseCode.NOT_SENT);

    private static final int FIRST_CLIENT_ERROR = 400;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int LAST_SERVER_ERROR = 599;

    private final ResponseCode code;

    ResponseKind(ResponseCode code) {
        this.code = code;
    }

    /** Returns the scheduler's response code for the kind. */
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
            // Not implemented: the request itself is not supported, now or later.
            case 501 -> REJECTED;
            // About the connection between this gateway and the server, not about the request.
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

    /** Returns whether the kind counts as a failure of the function or of the invoker. */
    boolean isFailure() {
        return this == ERROR || this == MALFORMED || this == CONNECTION_LOST;
    }

    /** Returns whether the kind is a response of the invoker, which may carry a load report. */
    boolean isInvokerResponse() {
        return switch (this) {
            case SERVED, REJECTED, NOT_LOADED, FULL, ERROR -> true;
            default -> false;
        };
    }
}
