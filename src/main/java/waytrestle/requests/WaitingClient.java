package waytrestle.requests;

/** A client that waits for the outcome of a request, which it may share with joined clients. */
record WaitingClient(long id, PendingRequest request) {}
