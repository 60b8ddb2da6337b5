package waytrestle.responses;

/** Identifies one attempt of one request. */
record AttemptKey(long requestId, int attempt) {}
