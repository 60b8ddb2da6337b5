package waytrestle.controller;

import waytrestle.requests.RequestOutcome;

/** How a request ended for one of its clients, by the label of metrics and the access log. */
enum CompletionKind {
    SERVED("served"),
    REJECTED("refused"),
    FAILED("failed"),
    CLIENT_DISCONNECTED("left");

    /** The reason of a response that has none, and of a client that disconnected. */
    static final String NO_REASON = "";

    /** The reason of an error that the function itself responded with. */
    private static final String FUNCTION_ERROR_REASON = "function";

    private final String label;

    CompletionKind(String label) {
        this.label = label;
    }

    String label() {
        return label;
    }

    static CompletionKind of(RequestOutcome outcome) {
        if (outcome instanceof RequestOutcome.Served) {
            return SERVED;
        }
        if (outcome instanceof RequestOutcome.Rejected) {
            return REJECTED;
        }
        return FAILED;
    }

    /** The label of the reason for an outcome, or {@link #NO_REASON}. */
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
