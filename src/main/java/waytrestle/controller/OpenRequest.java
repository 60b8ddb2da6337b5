package waytrestle.controller;

import java.util.ArrayList;
import java.util.List;
import waytrestle.requests.RequestHandler.FunctionHints;
import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.requests.RequestHandler.ResponseListener;
import waytrestle.requests.SendHistory;

/**
 * A request that the scheduler knows or that still has attempts outstanding.
 *
 * <p>Not thread-safe: used by the controller's event loop.
 */
final class OpenRequest {
    /** Attempts that most requests have, at most. */
    private static final int USUAL_ATTEMPTS = 2;

    private final long id;
    private final long deadlineMicros;
    private final IncomingRequest incoming;
    private final ResponseListener firstClient;
    private final FunctionHints functionHints;
    private final SendHistory sendHistory = new SendHistory();
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

    long deadlineMicros() {
        return deadlineMicros;
    }

    IncomingRequest incoming() {
        return incoming;
    }

    /** The client that started the request; others may have joined it since. */
    ResponseListener firstClient() {
        return firstClient;
    }

    FunctionHints functionHints() {
        return functionHints;
    }

    /** What has been sent of it, for the guard. */
    SendHistory sendHistory() {
        return sendHistory;
    }

    List<Attempt> attempts() {
        return attempts;
    }

    void addAttempt(Attempt attempt) {
        attempts.add(attempt);
        outstandingAttempts++;
    }

    void attemptEnded() {
        outstandingAttempts--;
    }

    boolean hasOutstandingAttempts() {
        return outstandingAttempts != 0;
    }

    /** Whether the request has ended for its clients. */
    boolean isCompleted() {
        return completed;
    }

    void markCompleted() {
        completed = true;
    }

    /** Whether it ended by a response of its function: a result or the function's own error. */
    boolean functionResponded() {
        return functionResponded;
    }

    void setFunctionResponded(boolean functionResponded) {
        this.functionResponded = functionResponded;
    }
}
