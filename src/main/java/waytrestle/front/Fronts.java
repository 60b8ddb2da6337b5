package waytrestle.front;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import waytrestle.Bytes;
import waytrestle.ControlApi.RequestClass;
import waytrestle.calls.End;
import waytrestle.http.HttpServer;
import waytrestle.net.Loop;

/** What fronts over HTTP share: names, the client's time, and the status of each end. */
public final class Fronts {
    private static final Pattern FUNCTION = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");
    private static final Pattern WAIT =
            Pattern.compile(
                    "(?:^|,)\\s*wait\\s*=\\s*\"?(\\d{1,9})\"?\\s*(?:[,;]|$)",
                    Pattern.CASE_INSENSITIVE);
    private static final int DIGESTED =
            64 * 1024; // bytes of a payload that tell it from another: a digest of more

    // would hold up the loop; the length tells besides

    private Fronts() {}

    public static boolean isFunction(String name) {
        return name != null && FUNCTION.matcher(name).matches();
    }

    /**
     * Micros left of the client's time: its class's, or less by {@code Prefer: wait} or as told. It
     * began when the client sent the first byte: what that may have waited here is taken off.
     */
    public static long timeLeft(
            HttpServer.Exchange e, RequestClass kind, long toldMicros, long transitMicros) {
        String prefer = e.message().joined("prefer");
        Matcher wait = prefer == null ? null : WAIT.matcher(prefer);
        long whole =
                toldMicros > 0
                        ? Math.min(kind.deadlineMicros(), toldMicros)
                        : kind.deadlineMicros();
        if (wait != null && wait.find()) {
            whole = Math.min(whole, Long.parseLong(wait.group(1)) * 1_000_000);
        }
        return whole - transitMicros - (Loop.now() - e.since());
    }

    public static int status(End end) {
        if (end instanceof End.Refused refused) {
            return switch (refused.why()) {
                case TOO_MANY_OPEN, MEMORY_FULL, OVER_BOUND, OVER_SHARE, OVER_RETRIES -> 429;
                case NO_SUCH_FUNCTION -> 404;
                case TIME_UP -> 504;
                case FUNCTION_FAILING -> said(refused.tried().last());
                default -> 503;
            };
        }
        return end instanceof End.Failed failed
                ? switch (failed.why()) {
                    case TIME_UP, STILL_OPEN -> 504;
                    case SIGNED_BEFORE_MEMORY, WINDOW_PASSED -> 409;
                    case NO_SUCH_FUNCTION -> 404;
                    case ANSWER_LET_GO -> 410;
                    case OTHER_PAYLOAD -> 422;
                    case INTERNAL -> 500;
                    default -> 502;
                }
                : end instanceof End.Answered answered ? answered.status() : 200;
    }

    /** The status that a function last said of itself; 502 where what came was none. */
    private static int said(String last) {
        return last.matches("5\\d\\d") ? Integer.parseInt(last) : 502;
    }

    public static End.Tried tried(End end) {
        return end instanceof End.Refused refused
                ? refused.tried()
                : end instanceof End.Failed failed
                        ? failed.tried()
                        : end instanceof End.Answered answered ? answered.tried() : End.Tried.NONE;
    }

    public static End.Why why(End end) {
        return end instanceof End.Refused refused ? refused.why() : ((End.Failed) end).why();
    }

    public static String kind(End end) {
        return why(end).word();
    }

    /** Whether coming again is proved to do no harm. */
    public static boolean harmless(End end) {
        return end instanceof End.Refused
                || (end instanceof End.Failed failed && !failed.mayHaveRun())
                || (end instanceof End.Answered answered && !answered.mayHaveRun());
    }

    /**
     * Milliseconds after which a refused client may come again; 0 for other ends, and where that
     * cannot help.
     */
    public static long comeBackMillis(End end) {
        return end instanceof End.Refused refused && refused.why() != End.Why.NO_SUCH_FUNCTION
                ? Math.max(1, refused.comeBackAfterMicros() / 1_000)
                : 0;
    }

    /** Tells payloads apart: their length and beginning. */
    public static long digest(Bytes payload) {
        long h = 0xCBF29CE484222325L ^ payload.size();
        for (byte b : payload.slice(0, Math.min(DIGESTED, payload.size())).array()) {
            h = (h ^ (b & 0xFF)) * 0x100000001B3L;
        }
        h ^= h >>> 32;
        return h == 0 ? 1 : h;
    }
}
