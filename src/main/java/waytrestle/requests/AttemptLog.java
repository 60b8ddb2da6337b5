package waytrestle.requests;

import java.util.ArrayList;
import java.util.List;
import waytrestle.requests.RequestOutcome.AttemptSummary;
import waytrestle.requests.RequestOutcome.FunctionError;
import waytrestle.scheduler.ResponseCode;

/**
 * Records the attempts of one request: which are in flight, how the last one ended, and since when
 * the function may have run.
 *
 * <p>An attempt is identified by its number within the request, counted from 0. Times are
 * monotonic, in microseconds. Not thread-safe: used by the controller's event loop.
 */
final class AttemptLog {
    /** Stands for a missing time: every attempt is proved not to have run. */
    static final long NEVER = 0;

    private static final class Attempt {
        final long forwardedAtMicros;
        boolean inFlight;
        boolean sent;

        Attempt(long forwardedAtMicros) {
            this.forwardedAtMicros = forwardedAtMicros;
        }

        boolean mayStillRun() {
            return inFlight && sent;
        }
    }

    /**
     * Indexed by attempt number. A number that was never forwarded has no element, or one that is
     * not in flight.
     */
    private final List<Attempt> attempts = new ArrayList<>(2);

    private int forwardedAttempts;

    /**
     * Forwarding time of the earliest failed attempt that may have run, {@link #NEVER} if there is
     * none.
     */
    private long completedMayHaveRunSinceMicros = NEVER;

    private ResponseCode lastCode;
    private String lastResponseText = "";
    private FunctionError functionError;

    /** Records that an attempt was forwarded, and is in flight until its end is recorded. */
    void recordForwarded(int number, long nowMicros) {
        while (attempts.size() <= number) {
            attempts.add(new Attempt(nowMicros));
        }
        attempts.get(number).inFlight = true;
        forwardedAttempts++;
    }

    /**
     * Records that an attempt in flight waits for its connection: nothing of it has been written,
     * so the function has not run if the attempt is withdrawn now.
     */
    void recordWaiting(int number) {
        if (isInFlight(number)) {
            attempts.get(number).sent = false;
        }
    }

    /** Records that an attempt in flight may be written from now on, so the function may run. */
    void recordSent(int number) {
        if (isInFlight(number)) {
            attempts.get(number).sent = true;
        }
    }

    /**
     * Records how an attempt ended; called also for an attempt that was withheld, that is, never
     * forwarded.
     *
     * @param responseText HTTP status of the response, or a word in place of one
     */
    void recordResponse(ResponseCode code, String responseText) {
        lastCode = code;
        // An attempt that was not sent has no response, so the previous response text is more
        // informative.
        if (code != ResponseCode.NOT_SENT || lastResponseText.isEmpty()) {
            lastResponseText = responseText;
        }
    }

    /**
     * Records that an attempt in flight ended without a response of the function.
     *
     * @param error the error returned by the function itself, or null if the attempt ended
     *     otherwise
     */
    void recordFailure(int number, ResponseCode code, FunctionError error) {
        Attempt attempt = attempts.get(number);
        attempt.inFlight = false;
        if (!code.provesNotRun()) {
            completedMayHaveRunSinceMicros =
                    earlier(completedMayHaveRunSinceMicros, attempt.forwardedAtMicros);
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

    /** Returns whether the function may still be running for an attempt in flight. */
    boolean anyMayStillRun() {
        return attempts.stream().anyMatch(Attempt::mayStillRun);
    }

    /**
     * Returns the forwarding time of the earliest attempt that may have run or may still run, or
     * {@link #NEVER} if the function is proved not to have run.
     */
    long mayHaveRunSinceMicros() {
        long earliestMicros = completedMayHaveRunSinceMicros;
        for (Attempt attempt : attempts) {
            if (attempt.mayStillRun()) {
                earliestMicros = earlier(earliestMicros, attempt.forwardedAtMicros);
            }
        }
        return earliestMicros;
    }

    boolean mayHaveRun() {
        return mayHaveRunSinceMicros() != NEVER;
    }

    /** Returns how the last attempt to end has ended, or null before any has. */
    ResponseCode lastCode() {
        return lastCode;
    }

    /** Returns the text of the last response: an HTTP status, a word, or empty without any. */
    String lastResponseText() {
        return lastResponseText;
    }

    /** Returns the function's own error if the last failed attempt ended with one, else null. */
    FunctionError functionError() {
        return functionError;
    }

    AttemptSummary summary() {
        return new AttemptSummary(forwardedAttempts, lastResponseText);
    }

    private static long earlier(long recordedMicros, long candidateMicros) {
        return recordedMicros == NEVER
                ? candidateMicros
                : Math.min(recordedMicros, candidateMicros);
    }
}
