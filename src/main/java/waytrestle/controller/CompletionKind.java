package waytrestle.controller;

import waytrestle.requests.RequestOutcome;

/**
 * How a request ended for one of its clients. Labels stand in metrics and in the access log, and do
 * not change with the names in the code.
 */
enum CompletionKind {
    SERVED("served"),
    REJECTED("refused"),
    FAILED("failed"),
    CLIENT_DISCONNECTED("left");

    /** Reason label of a function's response and of a client that disconnected: neither has one. */
    static final String NO_REASON = "";

    /** Reason label of an error that the function itself responded with. */
    private static final String FUNCTION_ERROR_REASON = "function";

    private final String label;

    CompletionKind(String label) {
        this.label = label;
    }

    String label() {
        return label;
    }

    /** Returns the kind of a client that got the given outcome. */
    static CompletionKind of(RequestOutcome outcome) {
        if (outcome instanceof RequestOutcome.Served) {
            return SERVED;
        }
        if (outcome instanceof RequestOutcome.Rejected) {
            return REJECTED;
        }
        return FAILED;
    }

    /** Returns the label of the reason for an outcome, or {@link #NO_REASON}. */
    static String reasonLabel(RequestOutcome outcome) {
        if (outcome instanceof RequestOutcome.Rejected rejected) {
            return rejected.reason().code();
        }
        if (outcome instanceof RequestOutcome.Failed failed) {
            return failed.reason().code();
        }
        if (outcome instanceof RequestOutcome.FunctionError) {
            return FUNCTION_ERROR_REASON;
        }
        return NO_REASON;
    }
}
