package waytrestle.requests;

/** A client that waits for the outcome of a request, alone or with others that sent the same. */
record WaitingClient(long id, PendingRequest request) {}
