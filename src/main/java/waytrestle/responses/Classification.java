package waytrestle.responses;

import waytrestle.scheduler.ResponseCode;

/**
 * What the end of an attempt means for its request.
 *
 * @param code what the scheduler and the retry rules go by
 * @param endsRequest whether the request ends with this attempt
 * @param functionError whether the response is the function's own error, which the client gets if
 *     the request ends with this attempt
 * @param functionNotFound whether the function is known to no invoker
 */
public record Classification(
        ResponseCode code, boolean endsRequest, boolean functionError, boolean functionNotFound) {

    /** An end that leaves the request open. */
    static Classification undecided(ResponseCode code) {
        return new Classification(code, false, false, false);
    }
}
