package waytrestle.front;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import waytrestle.Bytes;
import waytrestle.http.HttpServer;
import waytrestle.net.Loop;
import waytrestle.requests.RequestOutcome;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/**
 * Functions that the front ends share: validation of function names, the time left for a request,
 * the HTTP form of an outcome, and payload digests. Stateless.
 */
public final class FrontEnds {
    private static final Pattern FUNCTION_NAME =
            Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");
    private static final Pattern PREFER_WAIT =
            Pattern.compile(
                    "(?:^|,)\\s*wait\\s*=\\s*\"?(\\d{1,9})\"?\\s*(?:[,;]|$)",
                    Pattern.CASE_INSENSITIVE);

    /** Number of leading payload bytes in a digest: hashing more would delay the event loop. */
    private static final int MAX_DIGESTED_BYTES = 64 * 1024;

    private FrontEnds() {}

    /**
     * Returns whether the name, null allowed, is a valid function name: 1 to 128 letters, digits,
     * dots, underscores and dashes, of which the first is a letter or digit.
     */
    public static boolean isFunctionName(String name) {
        return name != null && FUNCTION_NAME.matcher(name).matches();
    }

    /**
     * Returns the time left until the client's deadline in microseconds, negative if the deadline
     * has passed. The timeout is the shortest of the request class's deadline, the timeout in the
     * payload and the one of a {@code Prefer: wait} header. It starts when the client may have sent
     * the first byte, so the network transit and the time that the message may have waited in this
     * process are subtracted.
     *
     * @param payloadTimeoutMicros the timeout that the payload declares, 0 for none
     * @param transitMicros time assumed for the message's way from the client
     */
    public static long timeLeftMicros(
            HttpServer.Exchange exchange,
            RequestClass requestClass,
            long payloadTimeoutMicros,
            long transitMicros) {
        String prefer = exchange.message().joinedHeader("prefer");
        Matcher wait = prefer == null ? null : PREFER_WAIT.matcher(prefer);
        long timeoutMicros =
                payloadTimeoutMicros > 0
                        ? Math.min(requestClass.deadlineMicros(), payloadTimeoutMicros)
                        : requestClass.deadlineMicros();
        if (wait != null && wait.find()) {
            timeoutMicros = Math.min(timeoutMicros, Long.parseLong(wait.group(1)) * 1_000_000);
        }
        return timeoutMicros - transitMicros - (Loop.nowMicros() - exchange.earliestSentAtMicros());
    }

    /** Returns the HTTP status that tells a client an outcome. */
    public static int httpStatus(RequestOutcome outcome) {
        if (outcome instanceof RequestOutcome.Rejected rejected) {
            return switch (rejected.reason()) {
                case TOO_MANY_IN_FLIGHT,
                        IDEMPOTENCY_STORE_FULL,
                        TENANT_LIMIT_REACHED,
                        TENANT_QUOTA_EXCEEDED,
                        RETRY_BUDGET_EXHAUSTED ->
                        429;
                case FUNCTION_NOT_FOUND -> 404;
                case DEADLINE_EXCEEDED -> 504;
                case CIRCUIT_OPEN ->
                        serverErrorStatus(rejected.attemptSummary().lastResponseText());
                default -> 503;
            };
        }
        return outcome instanceof RequestOutcome.Failed failed
                ? switch (failed.reason()) {
                    case DEADLINE_EXCEEDED, STILL_IN_FLIGHT -> 504;
                    case SIGNED_BEFORE_STORE, DEDUPLICATION_WINDOW_PASSED -> 409;
                    case FUNCTION_NOT_FOUND -> 404;
                    case RESPONSE_EVICTED -> 410;
                    case PAYLOAD_MISMATCH -> 422;
                    case INTERNAL_ERROR -> 500;
                    default -> 502;
                }
                : outcome instanceof RequestOutcome.FunctionError functionError
                        ? functionError.status()
                        : 200;
    }

    /** Returns the status of the last response if it is a 5xx status, otherwise 502. */
    private static int serverErrorStatus(String lastResponseText) {
        return lastResponseText.matches("5\\d\\d") ? Integer.parseInt(lastResponseText) : 502;
    }

    /** Returns the attempts behind an outcome; {@code NONE} for a served request. */
    public static RequestOutcome.AttemptSummary attemptSummary(RequestOutcome outcome) {
        return outcome instanceof RequestOutcome.Rejected rejected
                ? rejected.attemptSummary()
                : outcome instanceof RequestOutcome.Failed failed
                        ? failed.attemptSummary()
                        : outcome instanceof RequestOutcome.FunctionError functionError
                                ? functionError.attemptSummary()
                                : RequestOutcome.AttemptSummary.NONE;
    }

    /**
     * Returns why a request was rejected or failed.
     *
     * @throws ClassCastException for an outcome of another type, which has no reason
     */
    public static RequestOutcome.Reason reason(RequestOutcome outcome) {
        return outcome instanceof RequestOutcome.Rejected rejected
                ? rejected.reason()
                : ((RequestOutcome.Failed) outcome).reason();
    }

    /** Returns the code of the reason for which a request was rejected or failed. */
    public static String reasonCode(RequestOutcome outcome) {
        return reason(outcome).code();
    }

    /**
     * Returns whether it is certain that a retry is harmless, because the request has had no effect
     * that a retry would double.
     */
    public static boolean isRetryHarmless(RequestOutcome outcome) {
        return outcome instanceof RequestOutcome.Rejected
                || (outcome instanceof RequestOutcome.Failed failed && !failed.mayHaveRun())
                || (outcome instanceof RequestOutcome.FunctionError functionError
                        && !functionError.mayHaveRun());
    }

    /**
     * Returns the time in milliseconds, at least 1, after which the client of a rejected request
     * may retry. Returns 0 for other outcomes and for an unknown function, where a retry cannot
     * help.
     */
    public static long retryAfterMillis(RequestOutcome outcome) {
        return outcome instanceof RequestOutcome.Rejected rejected
                        && rejected.reason() != RequestOutcome.Reason.FUNCTION_NOT_FOUND
                ? Math.max(1, rejected.retryAfterMicros() / 1_000)
                : 0;
    }

    /**
     * Returns a digest of a payload's length and beginning (64-bit FNV-1a with a final mixing
     * step), never 0. Payloads of equal length that differ only after the first 64 KiB have equal
     * digests.
     */
    public static long payloadDigest(Bytes payload) {
        long hash = 0xCBF29CE484222325L ^ payload.size();
        for (byte b : payload.slice(0, Math.min(MAX_DIGESTED_BYTES, payload.size())).array()) {
            hash = (hash ^ (b & 0xFF)) * 0x100000001B3L;
        }
        hash ^= hash >>> 32;
        return hash == 0 ? 1 : hash;
    }
}
