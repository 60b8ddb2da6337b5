package waytrestle.responses;

import waytrestle.scheduler.ResponseCode;

/**
 * What the end of an attempt comes to: the code that the module and the repeat rules hear, whether
 * the call ends with it, and whether what came is the function's own word, which the client gets if
 * the call ends with this attempt.
 */
public record Classification(
        ResponseCode code, boolean endsRequest, boolean functionError, boolean functionNotFound) {}
