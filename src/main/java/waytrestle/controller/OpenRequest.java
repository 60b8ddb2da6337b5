package waytrestle.controller;

import java.util.ArrayList;
import java.util.List;
import waytrestle.requests.RequestHandler.FunctionHints;
import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.requests.RequestHandler.ResponseListener;
import waytrestle.requests.SendHistory;

/**
 * A request that was started, until it has ended for its clients and none of its attempts is
 * outstanding. Holds its attempts, its send history and, until it has ended, its timers.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class OpenRequest {
    /** Initial list capacity: few requests have more attempts. */
    private static final int USUAL_ATTEMPTS = 2;

    private final long id;
    private final long deadlineMicros;
    private final IncomingRequest incoming;
    private final ResponseListener firstClient;
    private final FunctionHints functionHints;
    private final SendHistory sendHistory = new SendHistory();
    private final RequestTimers timers = new RequestTimers();
    private final List<Attempt> attempts = new ArrayList<>(USUAL_ATTEMPTS);
    private int outstandingAttempts;
    private boolean completed;
    private boolean functionResponded;

    OpenRequest(
            long id,
            long deadlineMicros,
            IncomingRequest incoming,
            ResponseListener firstClient,
            FunctionHints functionHints) {
        this.id = id;
        this.deadlineMicros = deadlineMicros;
        this.incoming = incoming;
        this.firstClient = firstClient;
        this.functionHints = functionHints;
    }

    long id() {
        return id;
    }

    /** Returns the deadline on the monotonic clock. */
    long deadlineMicros() {
        return deadlineMicros;
    }

    IncomingRequest incoming() {
        return incoming;
    }

    /** Returns the client whose request was started; others may have joined the request since. */
    ResponseListener firstClient() {
        return firstClient;
    }

    /** Returns what the request declares of its function, or else the configuration. */
    FunctionHints functionHints() {
        return functionHints;
    }

    /** Returns the attempts that the send guard has let pass. */
    SendHistory sendHistory() {
        return sendHistory;
    }

    /** Returns the timers that the scheduler has set for the request. */
    RequestTimers timers() {
        return timers;
    }

    /** Returns all attempts in the order of their numbers, also those never sent. */
    List<Attempt> attempts() {
        return attempts;
    }

    /** Adds an attempt, which counts as outstanding until {@link #attemptEnded}. */
    void addAttempt(Attempt attempt) {
        attempts.add(attempt);
        outstandingAttempts++;
    }

    /** Records that one outstanding attempt has ended. */
    void attemptEnded() {
        outstandingAttempts--;
    }

    boolean hasOutstandingAttempts() {
        return outstandingAttempts != 0;
    }

    /** Returns whether the request has ended for its clients; attempts may still be outstanding. */
    boolean isCompleted() {
        return completed;
    }

    /** Records that the request has ended for its clients, and cancels its timers. */
    void markCompleted() {
        completed = true;
        timers.cancelAll();
    }

    /** Returns whether the request ended with a result or an error of the function itself. */
    boolean functionResponded() {
        return functionResponded;
    }

    void setFunctionResponded(boolean functionResponded) {
        this.functionResponded = functionResponded;
    }
}
