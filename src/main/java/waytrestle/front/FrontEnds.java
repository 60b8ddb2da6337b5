package waytrestle.front;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import waytrestle.Bytes;
import waytrestle.http.HttpServer;
import waytrestle.net.Loop;
import waytrestle.requests.RequestOutcome;
import waytrestle.scheduler.SchedulerSettings.RequestClass;

/** What fronts over HTTP share: names, the client's time, and the status of each end. */
public final class FrontEnds {
    private static final Pattern FUNCTION = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");
    private static final Pattern WAIT =
            Pattern.compile(
                    "(?:^|,)\\s*wait\\s*=\\s*\"?(\\d{1,9})\"?\\s*(?:[,;]|$)",
                    Pattern.CASE_INSENSITIVE);
    private static final int DIGESTED =
            64 * 1024; // bytes of a payload that tell it from another: a digest of more

    // would hold up the loop; the length tells besides

    private FrontEnds() {}

    public static boolean isFunctionName(String name) {
        return name != null && FUNCTION.matcher(name).matches();
    }

    /**
     * Micros left of the client's time: its class's, or less by {@code Prefer: wait} or as told. It
     * began when the client sent the first byte: what that may have waited here is taken off.
     */
    public static long timeLeftMicros(
            HttpServer.Exchange e, RequestClass kind, long toldMicros, long transitMicros) {
        String prefer = e.message().joinedHeader("prefer");
        Matcher wait = prefer == null ? null : WAIT.matcher(prefer);
        long whole =
                toldMicros > 0
                        ? Math.min(kind.deadlineMicros(), toldMicros)
                        : kind.deadlineMicros();
        if (wait != null && wait.find()) {
            whole = Math.min(whole, Long.parseLong(wait.group(1)) * 1_000_000);
        }
        return whole - transitMicros - (Loop.nowMicros() - e.earliestSentAtMicros());
    }

    public static int httpStatus(RequestOutcome end) {
        if (end instanceof RequestOutcome.Rejected refused) {
            return switch (refused.reason()) {
                case TOO_MANY_IN_FLIGHT,
                        IDEMPOTENCY_STORE_FULL,
                        TENANT_LIMIT_REACHED,
                        TENANT_QUOTA_EXCEEDED,
                        RETRY_BUDGET_EXHAUSTED ->
                        429;
                case FUNCTION_NOT_FOUND -> 404;
                case DEADLINE_EXCEEDED -> 504;
                case CIRCUIT_OPEN -> said(refused.attemptSummary().lastResponseText());
                default -> 503;
            };
        }
        return end instanceof RequestOutcome.Failed failed
                ? switch (failed.reason()) {
                    case DEADLINE_EXCEEDED, STILL_IN_FLIGHT -> 504;
                    case SIGNED_BEFORE_STORE, DEDUPLICATION_WINDOW_PASSED -> 409;
                    case FUNCTION_NOT_FOUND -> 404;
                    case RESPONSE_EVICTED -> 410;
                    case PAYLOAD_MISMATCH -> 422;
                    case INTERNAL_ERROR -> 500;
                    default -> 502;
                }
                : end instanceof RequestOutcome.FunctionError answered ? answered.status() : 200;
    }

    /** The status that a function last said of itself; 502 where what came was none. */
    private static int said(String last) {
        return last.matches("5\\d\\d") ? Integer.parseInt(last) : 502;
    }

    public static RequestOutcome.AttemptSummary attemptSummary(RequestOutcome end) {
        return end instanceof RequestOutcome.Rejected refused
                ? refused.attemptSummary()
                : end instanceof RequestOutcome.Failed failed
                        ? failed.attemptSummary()
                        : end instanceof RequestOutcome.FunctionError answered
                                ? answered.attemptSummary()
                                : RequestOutcome.AttemptSummary.NONE;
    }

    public static RequestOutcome.Reason reason(RequestOutcome end) {
        return end instanceof RequestOutcome.Rejected refused
                ? refused.reason()
                : ((RequestOutcome.Failed) end).reason();
    }

    public static String reasonCode(RequestOutcome end) {
        return reason(end).code();
    }

    /** Whether coming again is proved to do no harm. */
    public static boolean isRetryHarmless(RequestOutcome end) {
        return end instanceof RequestOutcome.Rejected
                || (end instanceof RequestOutcome.Failed failed && !failed.mayHaveRun())
                || (end instanceof RequestOutcome.FunctionError answered && !answered.mayHaveRun());
    }

    /**
     * Milliseconds after which a refused client may come again; 0 for other ends, and where that
     * cannot help.
     */
    public static long retryAfterMillis(RequestOutcome end) {
        return end instanceof RequestOutcome.Rejected refused
                        && refused.reason() != RequestOutcome.Reason.FUNCTION_NOT_FOUND
                ? Math.max(1, refused.retryAfterMicros() / 1_000)
                : 0;
    }

    /** Tells payloads apart: their length and beginning. */
    public static long payloadDigest(Bytes payload) {
        long h = 0xCBF29CE484222325L ^ payload.size();
        for (byte b : payload.slice(0, Math.min(DIGESTED, payload.size())).array()) {
            h = (h ^ (b & 0xFF)) * 0x100000001B3L;
        }
        h ^= h >>> 32;
        return h == 0 ? 1 : h;
    }
}
