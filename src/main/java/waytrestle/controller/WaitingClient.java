package waytrestle.controller;

import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.requests.RequestHandler.ResponseListener;

/**
 * A client that waits for its response.
 *
 * @param acceptedAtMicros when the client's request was accepted, on the monotonic clock
 * @param startedRequest the request that was started for the client; null where the client joined
 *     another client's request or no request has been started
 */
record WaitingClient(
        ResponseListener listener,
        IncomingRequest incoming,
        long acceptedAtMicros,
        OpenRequest startedRequest) {
    /** Returns a copy of the client with the request that was started for it. */
    WaitingClient withStartedRequest(OpenRequest request) {
        return new WaitingClient(listener, incoming, acceptedAtMicros, request);
    }
}
