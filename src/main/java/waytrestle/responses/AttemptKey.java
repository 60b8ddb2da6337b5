package waytrestle.responses;

/** Identifies one attempt of one request; the attempts of a request are numbered from 0. */
record AttemptKey(long requestId, int attempt) {}
