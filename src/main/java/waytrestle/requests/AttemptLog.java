package waytrestle.requests;

import java.util.ArrayList;
import java.util.List;
import waytrestle.requests.RequestOutcome.AttemptSummary;
import waytrestle.requests.RequestOutcome.FunctionError;
import waytrestle.scheduler.ResponseCode;

/**
 * The attempts of one request: which are in flight, how the last one ended, and since when the
 * function may have run.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class AttemptLog {
    /** In place of a time: no attempt may have run. */
    static final long NEVER = 0;

    private static final class Attempt {
        final long forwardedAt;
        boolean inFlight;
        boolean sent;

        Attempt(long forwardedAt) {
            this.forwardedAt = forwardedAt;
        }

        boolean mayStillRun() {
            return inFlight && sent;
        }
    }

    /** By attempt number; a number that was never forwarded is not in flight. */
    private final List<Attempt> attempts = new ArrayList<>(2);

    private int forwardedAttempts;

    /** When the first completed attempt that is not proved never to have run was forwarded. */
    private long completedMayHaveRunSince = NEVER;

    private ResponseCode lastCode;
    private String lastResponseText = "";
    private FunctionError functionError;

    void recordForwarded(int number, long nowMicros) {
        while (attempts.size() <= number) {
            attempts.add(new Attempt(nowMicros));
        }
        attempts.get(number).inFlight = true;
        forwardedAttempts++;
    }

    /** Nothing of the attempt has been written so far: if it is withdrawn now, it has not run. */
    void recordWaiting(int number) {
        if (isInFlight(number)) {
            attempts.get(number).sent = false;
        }
    }

    /** The attempt may be written, and may run, from now on. */
    void recordSent(int number) {
        if (isInFlight(number)) {
            attempts.get(number).sent = true;
        }
    }

    /** Records what came back last, also of an attempt that was withheld. */
    void recordResponse(ResponseCode code, String responseText) {
        lastCode = code;
        // An attempt that was not sent has no response: the last real one says more.
        if (code != ResponseCode.NOT_SENT || lastResponseText.isEmpty()) {
            lastResponseText = responseText;
        }
    }

    /**
     * Records the end of an attempt in flight without a response to pass on.
     *
     * @param error the function's own error, or null if the attempt ended otherwise
     */
    void recordFailure(int number, ResponseCode code, FunctionError error) {
        Attempt attempt = attempts.get(number);
        attempt.inFlight = false;
        if (!code.provesNotRun()) {
            completedMayHaveRunSince = earlier(completedMayHaveRunSince, attempt.forwardedAt);
        }
        functionError = error;
    }

    boolean isInFlight(int number) {
        return number < attempts.size() && attempts.get(number).inFlight;
    }

    boolean anyInFlight() {
        for (Attempt attempt : attempts) {
            if (attempt.inFlight) {
                return true;
            }
        }
        return false;
    }

    boolean anyMayStillRun() {
        return attempts.stream().anyMatch(Attempt::mayStillRun);
    }

    /**
     * When the first attempt that has run, may have run or may still run was forwarded; {@link
     * #NEVER} if the function is proved not to have run.
     */
    long mayHaveRunSinceMicros() {
        long first = completedMayHaveRunSince;
        for (Attempt attempt : attempts) {
            if (attempt.mayStillRun()) {
                first = earlier(first, attempt.forwardedAt);
            }
        }
        return first;
    }

    boolean mayHaveRun() {
        return mayHaveRunSinceMicros() != NEVER;
    }

    /** How the attempt that completed last ended, or null before the first one has. */
    ResponseCode lastCode() {
        return lastCode;
    }

    String lastResponseText() {
        return lastResponseText;
    }

    /** The function's own error if the attempt that failed last ended with one, else null. */
    FunctionError functionError() {
        return functionError;
    }

    AttemptSummary summary() {
        return new AttemptSummary(forwardedAttempts, lastResponseText);
    }

    private static long earlier(long known, long candidate) {
        return known == NEVER ? candidate : Math.min(known, candidate);
    }
}
