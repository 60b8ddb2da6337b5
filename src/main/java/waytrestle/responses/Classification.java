package waytrestle.responses;

import waytrestle.scheduler.ResponseCode;

/**
 * The consequences of the end of an attempt for its request.
 *
 * @param code response code for the scheduler and the retry rules
 * @param endsRequest whether the request ends with this attempt
 * @param functionError whether the response is an error of the function itself, which is sent to
 *     the client if the request ends with this attempt
 * @param functionNotFound whether the function counts as unknown to all invokers
 */
public record Classification(
        ResponseCode code, boolean endsRequest, boolean functionError, boolean functionNotFound) {

    /** Returns the classification of an attempt that leaves its request open. */
    static Classification undecided(ResponseCode code) {
        return new Classification(code, false, false, false);
    }
}
