package waytrestle.controller;

import waytrestle.Bytes;
import waytrestle.invoker.LoadMetrics;
import waytrestle.requests.RequestOutcome.Served;
import waytrestle.responses.ExchangeResult;

/**
 * What an invoker client reports at the end of an attempt.
 *
 * @param exchangeResult how the exchange ended
 * @param functionResponse the function's response, only where the exchange ended with {@link
 *     ExchangeResult.Kind#RESPONSE}; null otherwise
 * @param contentType content type of a message that is no function response; empty without one
 * @param body body of a message that is no function response
 * @param metrics the load report that came with the message; {@link LoadMetrics#NONE} without one
 */
public record AttemptResult(
        ExchangeResult exchangeResult,
        Served functionResponse,
        String contentType,
        Bytes body,
        LoadMetrics metrics) {
    /** Returns a result without any message from the invoker. */
    public static AttemptResult of(ExchangeResult.Kind kind) {
        return new AttemptResult(ExchangeResult.of(kind), null, "", Bytes.NONE, LoadMetrics.NONE);
    }
}
