package waytrestle.controller;

import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.requests.RequestHandler.ResponseListener;

/**
 * A client that waits for its response.
 *
 * @param acceptedAtMicros when the client's request was accepted, on the monotonic clock
 * @param startedRequest the request that was started for the client; null where the client joined
 *     another client's request or no request has been started
 * @param deadlineTimer the timer of the client's deadline; null where none is set
 */
record WaitingClient(
        ResponseListener listener,
        IncomingRequest incoming,
        long acceptedAtMicros,
        OpenRequest startedRequest,
        Transport.ScheduledTask deadlineTimer) {
    /** Creates a client without a started request and without a timer. */
    WaitingClient(ResponseListener listener, IncomingRequest incoming, long acceptedAtMicros) {
        this(listener, incoming, acceptedAtMicros, null, null);
    }

    /** Returns a copy of the client with the request that was started for it. */
    WaitingClient withStartedRequest(OpenRequest request) {
        return new WaitingClient(listener, incoming, acceptedAtMicros, request, deadlineTimer);
    }

    /** Returns a copy of the client with the timer of its deadline. */
    WaitingClient withDeadlineTimer(Transport.ScheduledTask timer) {
        return new WaitingClient(listener, incoming, acceptedAtMicros, startedRequest, timer);
    }

    /** Cancels the timer of the deadline; called once the client no longer waits. */
    void cancelDeadlineTimer() {
        if (deadlineTimer != null) {
            deadlineTimer.cancel();
        }
    }
}
