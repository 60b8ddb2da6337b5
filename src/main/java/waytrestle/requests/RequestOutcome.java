package waytrestle.requests;

import waytrestle.Bytes;

/** How a request ends for the clients that wait for it. */
public sealed interface RequestOutcome {
    /**
     * A summary of the attempts of a request.
     *
     * @param forwardedAttempts number of attempts that were forwarded to invokers
     * @param lastResponseText HTTP status of the last response, or a word in place of one; empty
     *     without a response
     */
    record AttemptSummary(int forwardedAttempts, String lastResponseText) {
        /** The summary of a request of which no attempt was forwarded. */
        public static final AttemptSummary NONE = new AttemptSummary(0, "");
    }

    /**
     * The function's own response.
     *
     * @param jsonBytes length of the JSON part of an inference response, -1 for any other
     */
    record Served(String contentType, Bytes body, int jsonBytes) implements RequestOutcome {
        private static final int NO_JSON_PART = -1;

        /** Creates a response that is not an inference response. */
        public Served(String contentType, byte[] body) {
            this(contentType, Bytes.of(body), NO_JSON_PART);
        }
    }

    /**
     * An error returned by the function itself, passed on to the client unchanged.
     *
     * @param status HTTP status of the error
     * @param mayHaveRun whether the request may have had an effect that a retry would double
     */
    record FunctionError(
            int status,
            String contentType,
            Bytes body,
            boolean mayHaveRun,
            AttemptSummary attemptSummary)
            implements RequestOutcome {}

    /**
     * The request was rejected and has had no effect that a retry would double, so that a retry is
     * harmless.
     *
     * @param retryAfterMicros time after which the client may retry, 0 if none is advised
     */
    record Rejected(Reason reason, long retryAfterMicros, AttemptSummary attemptSummary)
            implements RequestOutcome {
        /** Creates a rejection of a request of which no attempt was forwarded. */
        public Rejected(Reason reason, long retryAfterMicros) {
            this(reason, retryAfterMicros, AttemptSummary.NONE);
        }
    }

    /**
     * The request failed without a response of the function.
     *
     * @param mayHaveRun whether the request may have had an effect that a retry would double
     */
    record Failed(Reason reason, boolean mayHaveRun, AttemptSummary attemptSummary)
            implements RequestOutcome {
        /** Creates a failure that reports no attempts. */
        public Failed(Reason reason, boolean mayHaveRun) {
            this(reason, mayHaveRun, AttemptSummary.NONE);
        }
    }

    /**
     * Why a request was rejected or failed. Codes and descriptions are part of the interface to
     * clients, metrics and logs, and do not change when a constant is renamed.
     */
    enum Reason {
        NO_FINISH_IN_TIME("no-finish-in-time", "no invoker is expected to finish in the time left"),
        OVERLOADED(
                "crowded", "even the best invoker would answer past the aim, for the crowd there"),
        NO_READY_INVOKER("no-invoker", "no invoker was ready in the time left"),
        INVOKERS_AT_CAPACITY("all-full", "every invoker that was tried was full"),
        UNREACHABLE("unreachable", "no invoker that was tried could be reached"),
        NOT_LOADED("not-loaded", "no invoker had the function loaded in the time left"),
        ATTEMPT_BUDGET_EXHAUSTED(
                "over-tries", "the attempts that calls may add to load are used up"),
        FUNCTION_NOT_FOUND("no-such-function", "no invoker knows this function"),
        CIRCUIT_OPEN(
                "function-failing",
                "this function fails at every invoker; it is tried again after a pause"),
        TOO_MANY_IN_FLIGHT("too-many-open", "too many calls are open"),
        IDEMPOTENCY_STORE_FULL("memory-full", "the memory of ids holds nothing that may be let go"),
        TENANT_LIMIT_REACHED("over-bound", "a bound of this tenant is reached"),
        TENANT_QUOTA_EXCEEDED(
                "over-share", "this tenant's share of what the fleet can do now is taken"),
        RETRY_BUDGET_EXHAUSTED("over-retries", "repeats have used up their share of load"),
        SHUTTING_DOWN("stopping", "the gateway is stopping"),
        DEADLINE_EXCEEDED("time-up", "the time ran out"),
        ATTEMPTS_FAILED("broken", "every attempt broke"),
        NO_RESPONSE("silent", "the invoker did not answer in the time given"),
        CONNECTION_LOST("lost", "the connection to the invoker broke with the call on it"),
        MALFORMED_RESPONSE("unreadable", "what the invokers sent was no answer"),
        INVOKER_ERROR("erred", "the invokers failed"),
        INTERNAL_ERROR("internal", "a decision failed"),
        STILL_IN_FLIGHT("still-open", "the first call of this id is still open; a repeat joins it"),
        ABANDONED("abandoned", "its client left while it may have been running"),
        SIGNED_BEFORE_STORE(
                "signed-before-memory",
                "signed before this gateway's memory of ids begins; it may have run"),
        RESPONSE_EVICTED("answer-let-go", "served before; the answer is no longer held"),
        DEDUPLICATION_WINDOW_PASSED(
                "window-passed", "may have run, and invokers no longer drop its repeats"),
        PAYLOAD_MISMATCH("other-payload", "this id came before with another payload");

        private final String code;
        private final String description;

        Reason(String code, String description) {
            this.code = code;
            this.description = description;
        }

        /** Returns an explanation of the reason for the client. */
        public String description() {
            return description;
        }

        /** Returns the name of the reason in problem types, metrics and logs. */
        public String code() {
            return code;
        }
    }
}
