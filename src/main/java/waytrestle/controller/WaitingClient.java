package waytrestle.controller;

import waytrestle.requests.RequestHandler.IncomingRequest;
import waytrestle.requests.RequestHandler.ResponseListener;

/**
 * A client that waits for its response.
 *
 * @param startedRequest the request that it started; null where it joined one or none was started
 */
record WaitingClient(
        ResponseListener listener,
        IncomingRequest incoming,
        long acceptedAtMicros,
        OpenRequest startedRequest) {
    /** The same client, once its request has been started. */
    WaitingClient withStartedRequest(OpenRequest request) {
        return new WaitingClient(listener, incoming, acceptedAtMicros, request);
    }
}
